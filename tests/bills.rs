//! Scenarios of bills: `tests/scenarios/bills` says which are safe and what the invoice says.

mod bills_world;

use std::time::Duration;

use bills_world::{World, bill, table::Fault};
use compact_str::CompactString;
use datadriven::{DataDrivenError, TestCase, walk};
use hibiscusyoke::coordination::membership::MemberState;

#[test]
fn scenarios_bill_once() {
    walk("tests/scenarios/bills", |file| {
        let mut world = World::default();
        file.run(|case| run(&mut world, case.clone()).expect("a correct directive"));
    });
}

fn run(world: &mut World, mut case: TestCase) -> Result<String, DataDrivenError> {
    let said = match case.directive.as_str() {
        "daemon" => daemon(world, &mut case)?,
        "record" => {
            let name: String = case.take_arg("bill")?;
            let at: CompactString = case.take_arg("at")?;
            let request: Option<String> = case.try_take_arg("request")?;
            let at_ms: Option<u64> = case.try_take_arg("ms")?;
            let request = request.unwrap_or_else(|| name.clone());
            world.record(&name, &at, bill(&request, at_ms.unwrap_or(1)));
            format!("safe={}", world.is_safe(&name))
        }
        "safe" => {
            let name: String = case.take_arg("bill")?;
            format!("safe={}", world.is_safe(&name))
        }
        "table" => table(world, &mut case)?,
        "advance" => {
            world.advance(Duration::from_secs(case.take_arg("seconds")?));
            "ok".into()
        }
        "invoice" => {
            let invoice = world.invoice();
            let total = invoice.customers.get("gate").copied().unwrap_or_default();
            format!(
                "requests={} units={} cost={} duplicates={}",
                total.requests, total.units, total.cost, invoice.duplicates
            )
        }
        other => format!("no directive {other}"),
    };
    case.expect_empty()?;
    Ok(said + "\n")
}

fn daemon(world: &mut World, case: &mut TestCase) -> Result<String, DataDrivenError> {
    let name: CompactString = case.take_arg("name")?;
    if let Some(domain) = case.try_take_arg::<CompactString>("domain")? {
        if let Some(unflushed) = case.try_take_arg("unflushed")? {
            world.limits.unflushed = unflushed;
        }
        world.add_daemon(&name, &domain);
        return Ok("ok".into());
    }
    let verbs = [
        "spread", "flush", "adopt", "stop", "ready", "kill", "freeze", "wake", "dead", "alive",
    ];
    for verb in verbs {
        if case.take_flag(verb)? {
            return Ok(on_daemon(world, verb, &name));
        }
    }
    Ok("no verb".into())
}

fn on_daemon(world: &mut World, verb: &str, name: &str) -> String {
    match verb {
        "spread" => return world.spread(name),
        "flush" => return format!("written={}", world.flush(name)),
        "adopt" => return format!("adopted={}", world.adopt(name)),
        "stop" => world.adopt_all(name),
        "ready" => {
            let ready = world.daemons[name].own.may_take_work();
            return ready.map_or_else(|e| e.to_string(), |()| "ready".into());
        }
        "dead" => world.believe(name, MemberState::Dead),
        "alive" => world.believe(name, MemberState::Alive),
        verb => {
            let daemon = world.daemons.get_mut(name).expect("a daemon");
            daemon.alive &= verb != "kill";
            daemon.frozen = verb == "freeze";
        }
    }
    "ok".into()
}

fn table(world: &mut World, case: &mut TestCase) -> Result<String, DataDrivenError> {
    for verb in ["down", "up", "lose", "delay", "land"] {
        if !case.take_flag(verb)? {
            continue;
        }
        match verb {
            "down" | "up" => world.table.down = verb == "down",
            "lose" => world.table.next = Fault::Lose,
            "delay" => world.table.next = Fault::Delay,
            _ => world.table.land(),
        }
    }
    Ok("ok".into())
}
