//! Playing a plan: faults begin and end at their times, and may overlap.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    io,
    time::{Duration, Instant},
};

use stand_in::users::{table::Fault as TableFault, upstream::Behaviour};

use crate::{
    link::Link,
    plan::{Fault, Plan},
    site::Site,
};

/// How long a gateway may not be started again while it is still stopping.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// The begin or the end of a step of the plan, in order of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: Instant,
    step: usize,
    ends: bool,
}

/// Plays all faults of a plan, and undoes each.
///
/// # Errors
///
/// If a process can't be started or signalled.
pub(crate) async fn run(site: &mut Site, plan: &Plan) -> io::Result<()> {
    let start = Instant::now();
    let mut begun = HashMap::new();
    let mut events: BinaryHeap<Reverse<Event>> = (0..plan.len())
        .map(|step| {
            Reverse(Event {
                at: start + plan[step].at,
                step,
                ends: false,
            })
        })
        .collect();
    while let Some(Reverse(event)) = events.pop() {
        tokio::time::sleep_until(event.at.into()).await;
        let step = plan[event.step];
        if !event.ends {
            begun.insert(event.step, Instant::now());
            begin(site, step.fault).await?;
            events.push(Reverse(Event {
                at: event.at + step.length,
                ends: true,
                ..event
            }));
            continue;
        }
        let from = begun.get(&event.step).copied().unwrap_or(start);
        if !end(site, step.fault, from).await? {
            events.push(Reverse(Event {
                at: Instant::now() + RESTART_PAUSE,
                ..event
            }));
        }
    }
    Ok(())
}

async fn begin(site: &mut Site, fault: Fault) -> io::Result<()> {
    match fault {
        Fault::Kill(gateway) => site.fleet.kill(gateway).await?,
        Fault::Stop(gateway) => site.fleet.order_stop(gateway)?,
        Fault::Pause(gateway) => site.fleet.signal(gateway, "STOP")?,
        Fault::KillAll => {
            for gateway in 0..site.fleet.len() {
                site.fleet.kill(gateway).await?;
            }
        }
        Fault::Reload(gateway) => site.fleet.signal(gateway, "HUP")?,
        Fault::TableLink(gateway, link) => site.fleet.table_link(gateway).set(link),
        Fault::UpstreamLink(upstream, link) => site.places[upstream].link.set(link),
        Fault::Upstream(upstream, behaviour) => site.places[upstream].upstream.set(behaviour),
        Fault::Table(fault) => site.table.set_fault(fault),
        Fault::Compact => site.table.compact(),
        Fault::Drain(upstream) => site.set_state(upstream, "draining"),
        Fault::Configure => site.configure(),
    }
    Ok(())
}

/// Undoes a fault; tells whether that could be done by now.
async fn end(site: &mut Site, fault: Fault, from: Instant) -> io::Result<bool> {
    match fault {
        Fault::Kill(gateway) | Fault::Stop(gateway) => {
            if !site.fleet.restart(gateway).await? {
                return Ok(false);
            }
            site.fleet.note_disturbed(gateway, from);
        }
        Fault::Pause(gateway) => {
            site.fleet.resume(gateway)?;
            site.fleet.note_disturbed(gateway, from);
        }
        Fault::KillAll => {
            for gateway in 0..site.fleet.len() {
                if !site.fleet.restart(gateway).await? {
                    return Ok(false);
                }
            }
            for gateway in 0..site.fleet.len() {
                site.fleet.note_disturbed(gateway, from);
            }
        }
        Fault::TableLink(gateway, _) => {
            site.fleet.table_link(gateway).set(Link::Open);
            site.note_unsteady(from);
        }
        Fault::UpstreamLink(upstream, _) => {
            site.places[upstream].link.set(Link::Open);
            site.note_unsteady(from);
        }
        Fault::Upstream(upstream, _) => site.places[upstream].upstream.set(Behaviour::Serve),
        Fault::Table(_) => {
            site.table.set_fault(TableFault::None);
            site.note_unsteady(from);
        }
        Fault::Drain(upstream) => {
            site.note_drained(upstream, from);
            site.set_state(upstream, "ready");
        }
        Fault::Reload(_) | Fault::Compact | Fault::Configure => {}
    }
    Ok(true)
}
