//! Runs the claim scenarios in `tests/scenarios/claims` and compares the response to each request.

mod claims_simulation;

use std::time::Duration;

use claims_simulation::{CallerRequest, Simulation, table::Fault};
use compact_str::CompactString;
use datadriven::{DataDrivenError, TestCase, walk};

/// Deadline of a request whose directive has no `deadline` argument.
const DEADLINE_SECONDS: u64 = 5;

#[test]
fn scenarios_produce_expected_responses() {
    walk("tests/scenarios/claims", |file| {
        let mut sim = Simulation::default();
        file.run(|case| run(&mut sim, case.clone()).expect("valid directive"));
    });
}

fn run(sim: &mut Simulation, mut case: TestCase) -> Result<String, DataDrivenError> {
    let output = match case.directive.as_str() {
        "daemon" => daemon(sim, &mut case)?,
        "request" => request(sim, &mut case)?,
        "table" => table(sim, &mut case)?,
        "executions" => {
            let key: String = case.take_arg("key")?;
            sim.executed(&key).to_string()
        }
        "advance" => {
            sim.now += Duration::from_secs(case.take_arg("seconds")?);
            for daemon in sim.daemons.values_mut() {
                daemon.registry.expire(sim.now);
            }
            format!("{}s", sim.elapsed().as_secs())
        }
        _ => {
            let name: String = case.take_arg("request")?;
            on_request(sim, &case.directive, &name)
        }
    };
    case.expect_empty()?;
    Ok(output + "\n")
}

fn on_request(sim: &mut Simulation, directive: &str, name: &str) -> String {
    match directive {
        "step" => {
            sim.step(name);
            sim.describe(name)
        }
        "settle" => sim.settle(name),
        "dispatch" => sim.dispatch(name),
        "answer" => sim.end(name, true),
        "break" => sim.end(name, false),
        other => format!("unknown directive {other}"),
    }
}

fn daemon(sim: &mut Simulation, case: &mut TestCase) -> Result<String, DataDrivenError> {
    let name: CompactString = case.take_arg("name")?;
    if let Some(entries) = case.try_take_arg("entries")? {
        sim.limits.max_claims = entries;
    }
    let verbs = ["start", "kill", "freeze", "wake", "flush", "close"];
    for verb in verbs {
        if !case.take_flag(verb)? {
            continue;
        }
        let done = match verb {
            "start" => {
                sim.add_daemon(&name);
                format!("incarnation {}", sim.daemons[&name].incarnation)
            }
            "flush" => format!("flushed={}", sim.flush(&name)),
            "close" => format!("complete={}", sim.close(&name)),
            verb => {
                let daemon = sim.daemons.get_mut(&name).expect("known daemon");
                daemon.alive &= verb != "kill";
                daemon.frozen = verb == "freeze";
                "ok".into()
            }
        };
        return Ok(done);
    }
    Ok("missing verb".into())
}

fn request(sim: &mut Simulation, case: &mut TestCase) -> Result<String, DataDrivenError> {
    let name: String = case.take_arg("name")?;
    let body: Option<CompactString> = case.try_take_arg("body")?;
    let deadline: Option<u64> = case.try_take_arg("deadline")?;
    let caller_request = CallerRequest {
        at: case.take_arg("at")?,
        home: case.try_take_arg("home")?,
        key: case.take_arg("key")?,
        body: body.unwrap_or_else(|| "bale".into()),
        deadline: Duration::from_secs(deadline.unwrap_or(DEADLINE_SECONDS)),
    };
    Ok(sim.send(&name, caller_request))
}

fn table(sim: &mut Simulation, case: &mut TestCase) -> Result<String, DataDrivenError> {
    if case.take_flag("down")? {
        sim.table.down = true;
    } else if case.take_flag("up")? {
        sim.table.down = false;
    } else if case.take_flag("lose")? {
        sim.table.next = Fault::LoseReply;
    } else if case.take_flag("delay")? {
        sim.table.next = Fault::DelayWrite;
    } else if case.take_flag("land")? {
        sim.table.deliver_delayed();
    }
    Ok("ok".into())
}
