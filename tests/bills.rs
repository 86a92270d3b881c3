//! Runs the bill scenarios in `tests/scenarios/bills` and compares the durable bills and the
//! invoice.

mod bills_simulation;

use std::time::Duration;

use bills_simulation::{Simulation, bill, table::Fault};
use compact_str::CompactString;
use datadriven::{DataDrivenError, TestCase, walk};
use hibiscusyoke::coordination::membership::MemberState;

#[test]
fn scenarios_produce_expected_invoices() {
    walk("tests/scenarios/bills", |file| {
        let mut sim = Simulation::default();
        file.run(|case| run(&mut sim, case.clone()).expect("valid directive"));
    });
}

fn run(sim: &mut Simulation, mut case: TestCase) -> Result<String, DataDrivenError> {
    let output = match case.directive.as_str() {
        "daemon" => daemon(sim, &mut case)?,
        "record" => {
            let name: String = case.take_arg("bill")?;
            let at: CompactString = case.take_arg("at")?;
            let request: Option<String> = case.try_take_arg("request")?;
            let at_ms: Option<u64> = case.try_take_arg("ms")?;
            let request = request.unwrap_or_else(|| name.clone());
            sim.record(&name, &at, bill(&request, at_ms.unwrap_or(1)));
            format!("safe={}", sim.is_durable(&name))
        }
        "safe" => {
            let name: String = case.take_arg("bill")?;
            format!("safe={}", sim.is_durable(&name))
        }
        "table" => table(sim, &mut case)?,
        "advance" => {
            sim.advance(Duration::from_secs(case.take_arg("seconds")?));
            "ok".into()
        }
        "invoice" => {
            let invoice = sim.invoice();
            let total = invoice.customers.get("gate").copied().unwrap_or_default();
            format!(
                "requests={} units={} cost={} duplicates={}",
                total.requests, total.units, total.cost, invoice.duplicates
            )
        }
        other => format!("unknown directive {other}"),
    };
    case.expect_empty()?;
    Ok(output + "\n")
}

fn daemon(sim: &mut Simulation, case: &mut TestCase) -> Result<String, DataDrivenError> {
    let name: CompactString = case.take_arg("name")?;
    if let Some(domain) = case.try_take_arg::<CompactString>("domain")? {
        if let Some(unflushed) = case.try_take_arg("unflushed")? {
            sim.limits.max_unflushed = unflushed;
        }
        sim.add_daemon(&name, &domain);
        return Ok("ok".into());
    }
    let verbs = [
        "spread", "flush", "adopt", "stop", "ready", "kill", "freeze", "wake", "dead", "alive",
    ];
    for verb in verbs {
        if case.take_flag(verb)? {
            return Ok(on_daemon(sim, verb, &name));
        }
    }
    Ok("missing verb".into())
}

fn on_daemon(sim: &mut Simulation, verb: &str, name: &str) -> String {
    match verb {
        "spread" => return sim.send_to_holders(name),
        "flush" => return format!("written={}", sim.flush(name)),
        "adopt" => return format!("adopted={}", sim.adopt(name)),
        "stop" => sim.adopt_all(name),
        "ready" => {
            let ready = sim.daemons[name].own.may_take_work();
            return ready.map_or_else(|e| e.to_string(), |()| "ready".into());
        }
        "dead" => sim.set_member_state(name, MemberState::Dead),
        "alive" => sim.set_member_state(name, MemberState::Alive),
        verb => {
            let daemon = sim.daemons.get_mut(name).expect("known daemon");
            daemon.alive &= verb != "kill";
            daemon.frozen = verb == "freeze";
        }
    }
    "ok".into()
}

fn table(sim: &mut Simulation, case: &mut TestCase) -> Result<String, DataDrivenError> {
    for verb in ["down", "up", "lose", "delay", "land"] {
        if !case.take_flag(verb)? {
            continue;
        }
        match verb {
            "down" | "up" => sim.table.down = verb == "down",
            "lose" => sim.table.next = Fault::LoseReply,
            "delay" => sim.table.next = Fault::DelayWrite,
            _ => sim.table.deliver_delayed(),
        }
    }
    Ok("ok".into())
}
