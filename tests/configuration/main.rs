//! Scenario and differential tests of validating, publishing and following configuration.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod differential;
mod fleet;
mod language;
mod objects;
mod table;

#[test]
fn scenarios_configuration() {
    datadriven::walk("tests/scenarios/configuration", |file| {
        let mut script = language::Script::default();
        file.run(|case| script.run(case.clone()));
    });
}
