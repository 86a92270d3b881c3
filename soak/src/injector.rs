//! Fault injection: starts and ends the faults of a schedule, which may overlap.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    io,
    time::{Duration, Instant},
};

use stand_in::gateway::{table::Fault as TableFault, upstream::Behaviour};

use crate::{
    deployment::Deployment,
    proxy::LinkState,
    schedule::{Fault, Schedule},
};

/// Delay before another attempt to restart a gateway that is still stopping.
const RESTART_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Start or end of a scheduled fault, ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: Instant,
    step: usize,
    is_end: bool,
}

/// Injects all faults of a schedule and ends each of them.
///
/// # Errors
///
/// If a process can't be started or signalled.
pub(crate) async fn run(deployment: &mut Deployment, schedule: &Schedule) -> io::Result<()> {
    let start = Instant::now();
    let mut started = HashMap::new();
    let mut copies = HashMap::new();
    let mut events: BinaryHeap<Reverse<Event>> = (0..schedule.len())
        .map(|step| {
            Reverse(Event {
                at: start + schedule[step].at,
                step,
                is_end: false,
            })
        })
        .collect();
    while let Some(Reverse(event)) = events.pop() {
        tokio::time::sleep_until(event.at.into()).await;
        let step = schedule[event.step];
        if !event.is_end {
            started.insert(event.step, Instant::now());
            if step.fault == Fault::Restore {
                copies.insert(event.step, deployment.table.copy());
            }
            start_fault(deployment, step.fault).await?;
            events.push(Reverse(Event {
                at: event.at + step.duration,
                is_end: true,
                ..event
            }));
            continue;
        }
        let from = started.get(&event.step).copied().unwrap_or(start);
        if let Some(copy) = copies.remove(&event.step) {
            deployment.restore_table(&copy);
        }
        if !end_fault(deployment, step.fault, from).await? {
            events.push(Reverse(Event {
                at: Instant::now() + RESTART_RETRY_DELAY,
                ..event
            }));
        }
    }
    Ok(())
}

async fn start_fault(deployment: &mut Deployment, fault: Fault) -> io::Result<()> {
    match fault {
        Fault::Kill(gateway) => deployment.fleet.kill(gateway).await?,
        Fault::Stop(gateway) => deployment.fleet.request_stop(gateway)?,
        Fault::Pause(gateway) => deployment.fleet.signal(gateway, "STOP")?,
        Fault::KillAll => {
            for gateway in 0..deployment.fleet.len() {
                deployment.fleet.kill(gateway).await?;
            }
        }
        Fault::Reload(gateway) => deployment.fleet.signal(gateway, "HUP")?,
        Fault::TableLink(gateway, link) => deployment.fleet.table_proxy(gateway).set(link),
        Fault::UpstreamLink(upstream, link) => deployment.upstreams[upstream].proxy.set(link),
        Fault::CutOff(gateway, link) => deployment.set_upstream_links(gateway, link),
        Fault::Brittle(service, max_refusals) => {
            deployment.set_service_behaviour(service, Behaviour::Brittle(max_refusals));
        }
        Fault::Service(service, behaviour) => deployment.set_service_behaviour(service, behaviour),
        Fault::Upstream(upstream, behaviour) => deployment.upstreams[upstream]
            .upstream
            .set_behaviour(behaviour),
        Fault::Table(fault) => deployment.table.set_fault(fault),
        Fault::Compact => deployment.table.compact(),
        Fault::Drain(upstream) => deployment.drain(upstream),
        Fault::Leave(upstream) => deployment.upstreams[upstream]
            .upstream
            .set_behaviour(Behaviour::Leave),
        // The copy is taken now and restored at the end.
        Fault::Restore => {}
        Fault::Configure => deployment.publish_configuration(),
        Fault::ConfigureRoutes => deployment.change_routes(),
        Fault::OddRows(odd) => deployment.put_odd_rows(odd),
    }
    Ok(())
}

/// Ends a fault; returns `false` if that is not possible yet and must be retried.
async fn end_fault(deployment: &mut Deployment, fault: Fault, from: Instant) -> io::Result<bool> {
    match fault {
        Fault::Kill(gateway) | Fault::Stop(gateway) => {
            if !deployment.fleet.restart(gateway).await? {
                return Ok(false);
            }
            deployment.fleet.record_disruption(gateway, from);
        }
        Fault::Pause(gateway) => {
            deployment.fleet.resume(gateway)?;
            deployment.fleet.record_disruption(gateway, from);
        }
        Fault::KillAll => {
            for gateway in 0..deployment.fleet.len() {
                if !deployment.fleet.restart(gateway).await? {
                    return Ok(false);
                }
            }
            for gateway in 0..deployment.fleet.len() {
                deployment.fleet.record_disruption(gateway, from);
            }
        }
        Fault::TableLink(gateway, _) => {
            deployment.fleet.table_proxy(gateway).set(LinkState::Open);
            deployment.record_unstable(from);
        }
        Fault::UpstreamLink(upstream, _) => {
            deployment.upstreams[upstream].proxy.set(LinkState::Open);
            deployment.record_unstable(from);
        }
        Fault::CutOff(gateway, _) => {
            deployment.set_upstream_links(gateway, LinkState::Open);
            deployment.record_cut_off(gateway, from);
        }
        Fault::Brittle(service, _) => {
            deployment.set_service_behaviour(service, Behaviour::Serve);
            deployment.record_brittle(service, from);
        }
        Fault::Service(service, _) => deployment.set_service_behaviour(service, Behaviour::Serve),
        Fault::Upstream(upstream, _) => deployment.upstreams[upstream]
            .upstream
            .set_behaviour(Behaviour::Serve),
        Fault::Table(_) => {
            deployment.table.set_fault(TableFault::None);
            deployment.record_unstable(from);
        }
        Fault::Drain(upstream) => deployment.end_drain(upstream, from),
        Fault::Leave(upstream) => deployment.restart_left_upstream(upstream, from),
        Fault::ConfigureRoutes => deployment.change_routes(),
        Fault::OddRows(_) => deployment.remove_odd_rows(),
        Fault::Reload(_) | Fault::Compact | Fault::Restore | Fault::Configure => {}
    }
    Ok(true)
}
