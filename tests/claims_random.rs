//! Compares claims with a reference model over random schedules with fixed seeds.

mod claims_simulation;

use std::{collections::BTreeMap, time::Duration};

use bolero::generator::bolero_generator::{
    TypeGenerator, ValueGenerator,
    driver::{Options, Rng},
    produce,
};
use claims_simulation::{CallerRequest, Response, Simulation, answer_to, table::Fault};
use compact_str::{CompactString, format_compact};
use hibiscusyoke::coordination::claims::Reason;
use rand_xoshiro::{Xoroshiro128PlusPlus, rand_core::SeedableRng};

/// Number of schedules.
const SEEDS: u64 = 400;
/// Number of events in a schedule.
const EVENTS_PER_SEED: usize = 300;
const DAEMONS: [&str; 3] = ["a", "b", "c"];
/// Number of most recent requests that events choose from.
const RECENT_REQUESTS: usize = 6;
/// One in this many daemon and table events injects a fault.
const FAULT_ONE_IN: u8 = 6;
/// Number of keys for each home.
const KEYS_PER_HOME: u8 = 3;

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct NewRequest {
    at: u8,
    /// The daemon that the key is bound to, if any.
    home: u8,
    key: u8,
    /// One in eight requests has a different body, so that keys are reused with another request.
    body: u8,
    seconds: u8,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    NewRequest(NewRequest),
    RepeatRequest(u8, u8),
    Step(u8),
    Settle(u8),
    Dispatch(u8),
    SettleAndDispatch(u8),
    Answer(u8),
    Break(u8),
    Flush(u8),
    Daemon(u8, DaemonFault),
    Table(u8, TableFault),
    Advance(u8),
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum DaemonFault {
    Kill,
    Freeze,
    Resume,
    Resume2,
    Close,
    Stop,
    Replace,
    Replace2,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum TableFault {
    Down,
    Up,
    Up2,
    LoseReply,
    DelayWrite,
    DeliverDelayed,
}

/// Reference model: a single table that never fails and sees every execution immediately.
#[derive(Default)]
struct ReferenceModel {
    executed: BTreeMap<CompactString, CompactString>,
}

impl ReferenceModel {
    /// Returns the response to a request when nothing fails, or `None` if its key was reused.
    fn run(&mut self, caller_request: &CallerRequest) -> Option<Response> {
        let first = self
            .executed
            .entry(caller_request.key.clone())
            .or_insert_with(|| caller_request.body.clone());
        (*first == caller_request.body).then(|| Response::Answer(answer_to(caller_request)))
    }
}

fn events(seed: u64) -> impl Iterator<Item = Event> {
    let rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
    let options = Options::default().with_max_len(1 << 20);
    let mut driver = Rng::new(rng, &options);
    (0..EVENTS_PER_SEED).map(move |_| {
        produce::<Event>()
            .generate(&mut driver)
            .expect("generated event")
    })
}

fn caller_request(sim: &Simulation, draw: NewRequest) -> CallerRequest {
    let home = DAEMONS.get(usize::from(draw.home % 5)).map(|name| {
        let incarnation = sim.daemons[*name].incarnation;
        format_compact!("{name}{incarnation}")
    });
    let number = draw.key % KEYS_PER_HOME;
    CallerRequest {
        at: DAEMONS[usize::from(draw.at) % DAEMONS.len()].into(),
        key: format_compact!("{}.{number}", home.as_deref().unwrap_or("other")),
        home,
        body: if draw.body < 32 { "other" } else { "bale" }.into(),
        deadline: Duration::from_secs(1 + u64::from(draw.seconds % 30)),
    }
}

fn alive(sim: &Simulation, name: &str) -> bool {
    let daemon = &sim.daemons[name];
    daemon.alive && !daemon.frozen
}

/// Checks each response when it is decided.
struct Checker {
    responses: BTreeMap<CompactString, Response>,
}

impl Checker {
    fn check(&mut self, sim: &Simulation, context: &str) {
        let mut by_key: BTreeMap<&str, u32> = BTreeMap::new();
        for (executed, count) in &sim.executions {
            *by_key.entry(&executed.key).or_default() += count;
        }
        for (key, count) in by_key {
            assert!(count <= 1, "{key} executed {count} times, {context}");
        }
        for (name, request) in &sim.requests {
            let Some(response) = sim.response(name) else {
                continue;
            };
            if self.responses.contains_key(name) {
                continue;
            }
            let caller_request = &request.caller_request;
            self.check_response(
                sim,
                caller_request,
                &response,
                &format!("{name} {caller_request:?} {context}"),
            );
            self.responses.insert(name.clone(), response);
        }
    }

    fn check_response(
        &self,
        sim: &Simulation,
        caller_request: &CallerRequest,
        response: &Response,
        context: &str,
    ) {
        let same = |e: &&claims_simulation::Executed| {
            e.key == caller_request.key && e.body == caller_request.body
        };
        let ran = sim.executions.keys().any(|e| same(&e));
        match response {
            Response::Answer(answer) => {
                assert!(
                    ran,
                    "answer to a request that was never executed, {context}"
                );
                assert_eq!(*answer, answer_to(caller_request), "{context}");
            }
            Response::Refused(refused) if refused.not_run => {
                assert!(!ran, "reported as not executed, but it was, {context}");
                if refused.reason != Reason::KeyReused {
                    assert_eq!(sim.executed(&caller_request.key), 0, "{context}");
                }
            }
            _ => {}
        }
    }
}

#[test]
fn random_faults_never_execute_twice_or_deny_an_execution() {
    let mut ran = 0;
    let mut not_run = 0;
    for seed in 0..SEEDS {
        let mut sim = Simulation::default();
        for name in DAEMONS {
            sim.add_daemon(name);
        }
        let responses = BTreeMap::new();
        let mut checker = Checker { responses };
        for (number, event) in events(seed).enumerate() {
            apply(&mut sim, number, event);
            checker.check(&sim, &format!("seed {seed} event {number} {event:?}"));
        }
        ran += sim.executions.values().sum::<u32>();
        let is_not_run = |t: &&Response| matches!(t, Response::Refused(r) if r.not_run);
        not_run += checker.responses.values().filter(is_not_run).count();
    }
    println!("seeds 0..{SEEDS}: {ran} executions, {not_run} refusals as not executed");
    assert!(
        ran > 1_000 && not_run > 100,
        "the schedules cover too few cases"
    );
}

fn apply(sim: &mut Simulation, number: usize, event: Event) {
    let recent: Vec<CompactString> = recent_requests(sim);
    let name = |n: u8| recent[usize::from(n) % recent.len()].clone();
    let daemon = |n: u8| DAEMONS[usize::from(n) % DAEMONS.len()];
    match event {
        Event::NewRequest(draw) => {
            let caller_request = caller_request(sim, draw);
            send(sim, number, caller_request);
        }
        Event::RepeatRequest(n, at) => {
            let Some(earlier) = sim.requests.get(&name(n)) else {
                return;
            };
            let mut caller_request = earlier.caller_request.clone();
            caller_request.at = daemon(at).into();
            send(sim, number, caller_request);
        }
        Event::Daemon(n, daemon_fault) if n < u8::MAX / FAULT_ONE_IN => {
            apply_daemon_fault(sim, daemon(n), daemon_fault);
        }
        Event::Flush(n) => {
            if alive(sim, daemon(n)) {
                sim.flush(daemon(n));
            }
        }
        Event::Table(n, fault) if n < u8::MAX / FAULT_ONE_IN => match fault {
            TableFault::Down => sim.table.down = true,
            TableFault::Up | TableFault::Up2 => sim.table.down = false,
            TableFault::LoseReply => sim.table.next = Fault::LoseReply,
            TableFault::DelayWrite => sim.table.next = Fault::DelayWrite,
            TableFault::DeliverDelayed => sim.table.deliver_delayed(),
        },
        Event::Advance(seconds) => {
            // Mostly no time passes; a few steps are longer than the retention of claims.
            let seconds = match seconds {
                0..6 => 1_000,
                6..16 => 20,
                _ => 0,
            };
            sim.now += Duration::from_secs(seconds);
            for daemon in sim.daemons.values_mut() {
                daemon.registry.expire(sim.now);
            }
        }
        Event::Step(n) => with_request(sim, &name(n), |sim, name| {
            sim.step(name);
        }),
        Event::Settle(n) => with_request(sim, &name(n), |sim, name| drop(sim.settle(name))),
        Event::Dispatch(n) => with_request(sim, &name(n), |sim, name| drop(sim.dispatch(name))),
        Event::SettleAndDispatch(n) => with_request(sim, &name(n), |sim, name| {
            sim.settle(name);
            sim.dispatch(name);
        }),
        Event::Answer(n) => with_request(sim, &name(n), |sim, name| drop(sim.end(name, true))),
        Event::Break(n) => with_request(sim, &name(n), |sim, name| drop(sim.end(name, false))),
        Event::Daemon(..) | Event::Table(..) => {}
    }
}

/// Returns the names of the most recent requests, followed by a name that no request has.
fn recent_requests(sim: &Simulation) -> Vec<CompactString> {
    let mut open: Vec<(usize, CompactString)> = sim
        .requests
        .keys()
        .filter_map(|name| Some((name[1..].parse().ok()?, name.clone())))
        .collect();
    open.sort_by(|a, b| b.cmp(a));
    open.truncate(RECENT_REQUESTS);
    let names = open.into_iter().map(|(_, name)| name);
    names.chain(["none".into()]).collect()
}

fn with_request(sim: &mut Simulation, name: &str, act: impl Fn(&mut Simulation, &str)) {
    if sim.requests.contains_key(name) {
        act(sim, name);
    }
}

fn send(sim: &mut Simulation, number: usize, caller_request: CallerRequest) {
    if alive(sim, &caller_request.at) {
        sim.send(&format!("r{number}"), caller_request);
    }
}

fn apply_daemon_fault(sim: &mut Simulation, name: &str, daemon_fault: DaemonFault) {
    let daemon = sim.daemons.get_mut(name).expect("known daemon");
    match daemon_fault {
        DaemonFault::Kill => daemon.alive = false,
        DaemonFault::Freeze => daemon.frozen = true,
        DaemonFault::Resume | DaemonFault::Resume2 => daemon.frozen = false,
        DaemonFault::Close if daemon.alive && !daemon.frozen => {
            sim.close(name);
        }
        DaemonFault::Stop if daemon.alive && !daemon.frozen => {
            sim.close(name);
            apply_daemon_fault(sim, name, DaemonFault::Kill);
        }
        DaemonFault::Replace | DaemonFault::Replace2 if !daemon.alive => {
            sim.drop_requests_of(name);
            sim.add_daemon(name);
        }
        _ => {}
    }
}

#[test]
fn fault_free_schedules_match_the_reference_model() {
    for seed in 0..SEEDS {
        let mut sim = Simulation::default();
        let mut reference = ReferenceModel::default();
        for name in DAEMONS {
            sim.add_daemon(name);
        }
        for (number, event) in events(seed).enumerate() {
            match event {
                Event::NewRequest(draw) => {
                    let caller_request = caller_request(&sim, draw);
                    let name = format!("r{number}");
                    sim.send(&name, caller_request.clone());
                    sim.settle(&name);
                    sim.dispatch(&name);
                    sim.end(&name, true);
                    let response = sim.response(&name).expect("final response");
                    match reference.run(&caller_request) {
                        Some(answer) => {
                            assert_eq!(response, answer, "seed {seed} {name} {caller_request:?}");
                        }
                        None => assert!(
                            matches!(&response, Response::Refused(r) if r.reason == Reason::KeyReused),
                            "seed {seed} {name} {caller_request:?} {response:?}"
                        ),
                    }
                }
                Event::Daemon(n, DaemonFault::Close) => {
                    let name = DAEMONS[usize::from(n) % DAEMONS.len()];
                    assert!(sim.close(name), "seed {seed}");
                    sim.add_daemon(name);
                }
                Event::Flush(n) => {
                    sim.flush(DAEMONS[usize::from(n) % DAEMONS.len()]);
                }
                _ => {}
            }
        }
    }
}
