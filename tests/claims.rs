//! Scenarios of claims: `tests/scenarios/claims` says what each request is told.

mod claims_world;

use std::time::Duration;

use claims_world::{Asked, World, table::Fault};
use compact_str::CompactString;
use datadriven::{DataDrivenError, TestCase, walk};

/// The deadline of a request that names none.
const DEADLINE_SECONDS: u64 = 5;

#[test]
fn scenarios_tell_the_truth() {
    walk("tests/scenarios/claims", |file| {
        let mut world = World::default();
        file.run(|case| run(&mut world, case.clone()).expect("a correct directive"));
    });
}

fn run(world: &mut World, mut case: TestCase) -> Result<String, DataDrivenError> {
    let said = match case.directive.as_str() {
        "daemon" => daemon(world, &mut case)?,
        "request" => request(world, &mut case)?,
        "table" => table(world, &mut case)?,
        "executions" => {
            let key: String = case.take_arg("key")?;
            world.executed(&key).to_string()
        }
        "advance" => {
            world.now += Duration::from_secs(case.take_arg("seconds")?);
            for daemon in world.daemons.values_mut() {
                daemon.registry.expire(world.now);
            }
            format!("{}s", world.elapsed().as_secs())
        }
        _ => {
            let name: String = case.take_arg("request")?;
            on_request(world, &case.directive, &name)
        }
    };
    case.expect_empty()?;
    Ok(said + "\n")
}

fn on_request(world: &mut World, directive: &str, name: &str) -> String {
    match directive {
        "step" => {
            world.step(name);
            world.describe(name)
        }
        "settle" => world.settle(name),
        "dispatch" => world.dispatch(name),
        "answer" => world.end(name, true),
        "break" => world.end(name, false),
        other => format!("no directive {other}"),
    }
}

fn daemon(world: &mut World, case: &mut TestCase) -> Result<String, DataDrivenError> {
    let name: CompactString = case.take_arg("name")?;
    if let Some(entries) = case.try_take_arg("entries")? {
        world.limits.entries = entries;
    }
    let verbs = ["start", "kill", "freeze", "wake", "flush", "close"];
    for verb in verbs {
        if !case.take_flag(verb)? {
            continue;
        }
        let done = match verb {
            "start" => {
                world.add_daemon(&name);
                format!("incarnation {}", world.daemons[&name].incarnation)
            }
            "flush" => format!("flushed={}", world.flush(&name)),
            "close" => format!("complete={}", world.close(&name)),
            verb => {
                let daemon = world.daemons.get_mut(&name).expect("a daemon");
                daemon.alive &= verb != "kill";
                daemon.frozen = verb == "freeze";
                "ok".into()
            }
        };
        return Ok(done);
    }
    Ok("no verb".into())
}

fn request(world: &mut World, case: &mut TestCase) -> Result<String, DataDrivenError> {
    let name: String = case.take_arg("name")?;
    let body: Option<CompactString> = case.try_take_arg("body")?;
    let deadline: Option<u64> = case.try_take_arg("deadline")?;
    let asked = Asked {
        at: case.take_arg("at")?,
        home: case.try_take_arg("home")?,
        key: case.take_arg("key")?,
        body: body.unwrap_or_else(|| "bale".into()),
        deadline: Duration::from_secs(deadline.unwrap_or(DEADLINE_SECONDS)),
    };
    Ok(world.send(&name, asked))
}

fn table(world: &mut World, case: &mut TestCase) -> Result<String, DataDrivenError> {
    if case.take_flag("down")? {
        world.table.down = true;
    } else if case.take_flag("up")? {
        world.table.down = false;
    } else if case.take_flag("lose")? {
        world.table.next = Fault::Lose;
    } else if case.take_flag("delay")? {
        world.table.next = Fault::Delay;
    } else if case.take_flag("land")? {
        world.table.land();
    }
    Ok("ok".into())
}
