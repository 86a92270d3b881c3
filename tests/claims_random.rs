//! Claims against a naive single table, over fixed random schedules.

mod claims_world;

use std::{collections::BTreeMap, time::Duration};

use bolero::generator::bolero_generator::{
    TypeGenerator, ValueGenerator,
    driver::{Options, Rng},
    produce,
};
use claims_world::{Asked, Told, World, answer_to, table::Fault};
use compact_str::{CompactString, format_compact};
use hibiscusyoke::coordination::claims::Reason;
use rand_xoshiro::{Xoroshiro128PlusPlus, rand_core::SeedableRng};

/// The number of schedules.
const SEEDS: u64 = 400;
/// The number of events in a schedule.
const EVENTS: usize = 300;
const DAEMONS: [&str; 3] = ["a", "b", "c"];
/// The number of requests that events choose from.
const RECENT: usize = 6;
/// One in this many events that could bring a fault does.
const FAULTS: u8 = 6;
/// The number of keys of each home.
const KEYS: u8 = 3;

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Ask {
    at: u8,
    /// Which daemon the key is bound to, if any.
    home: u8,
    key: u8,
    /// One in eight requests reuses its key with another body.
    body: u8,
    seconds: u8,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    Ask(Ask),
    AskAgain(u8, u8),
    Step(u8),
    Settle(u8),
    Dispatch(u8),
    SettleAndDispatch(u8),
    Answer(u8),
    Break(u8),
    Flush(u8),
    Daemon(u8, Fate),
    Table(u8, Weather),
    Advance(u8),
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Fate {
    Kill,
    Freeze,
    Wake,
    Wake2,
    Close,
    Stop,
    Replace,
    Replace2,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Weather {
    Down,
    Up,
    Up2,
    Lose,
    Delay,
    Land,
}

/// The obvious implementation: one table that never fails and sees every execution at once.
#[derive(Default)]
struct Naive {
    executed: BTreeMap<CompactString, CompactString>,
}

impl Naive {
    /// What a request is told when nothing fails.
    fn run(&mut self, asked: &Asked) -> Option<Told> {
        let first = self
            .executed
            .entry(asked.key.clone())
            .or_insert_with(|| asked.body.clone());
        (*first == asked.body).then(|| Told::Answer(answer_to(asked)))
    }
}

fn events(seed: u64) -> impl Iterator<Item = Event> {
    let rng = Xoroshiro128PlusPlus::seed_from_u64(seed);
    let options = Options::default().with_max_len(1 << 20);
    let mut driver = Rng::new(rng, &options);
    (0..EVENTS).map(move |_| produce::<Event>().generate(&mut driver).expect("an event"))
}

fn asked(world: &World, ask: Ask) -> Asked {
    let home = DAEMONS.get(usize::from(ask.home % 5)).map(|name| {
        let incarnation = world.daemons[*name].incarnation;
        format_compact!("{name}{incarnation}")
    });
    let number = ask.key % KEYS;
    Asked {
        at: DAEMONS[usize::from(ask.at) % DAEMONS.len()].into(),
        key: format_compact!("{}.{number}", home.as_deref().unwrap_or("other")),
        home,
        body: if ask.body < 32 { "other" } else { "bale" }.into(),
        deadline: Duration::from_secs(1 + u64::from(ask.seconds % 30)),
    }
}

fn alive(world: &World, name: &str) -> bool {
    let daemon = &world.daemons[name];
    daemon.alive && !daemon.frozen
}

/// Checks each telling at the moment when it is made.
struct Judge {
    told: BTreeMap<CompactString, Told>,
}

impl Judge {
    fn check(&mut self, world: &World, context: &str) {
        let mut by_key: BTreeMap<&str, u32> = BTreeMap::new();
        for (executed, count) in &world.executions {
            *by_key.entry(&executed.key).or_default() += count;
        }
        for (key, count) in by_key {
            assert!(count <= 1, "{key} executed {count} times, {context}");
        }
        for (name, request) in &world.requests {
            let Some(told) = world.told(name) else {
                continue;
            };
            if self.told.contains_key(name) {
                continue;
            }
            let asked = &request.asked;
            self.check_told(world, asked, &told, &format!("{name} {asked:?} {context}"));
            self.told.insert(name.clone(), told);
        }
    }

    fn check_told(&self, world: &World, asked: &Asked, told: &Told, context: &str) {
        let same = |e: &&claims_world::Executed| e.key == asked.key && e.body == asked.body;
        let ran = world.executions.keys().any(|e| same(&e));
        match told {
            Told::Answer(answer) => {
                assert!(ran, "an answer to what never ran, {context}");
                assert_eq!(*answer, answer_to(asked), "{context}");
            }
            Told::Refused(refused) if refused.not_run => {
                assert!(!ran, "not run, but it ran, {context}");
                if refused.reason != Reason::KeyReused {
                    assert_eq!(world.executed(&asked.key), 0, "{context}");
                }
            }
            _ => {}
        }
    }
}

#[test]
fn random_faults_never_run_twice_nor_deny_a_run() {
    let mut ran = 0;
    let mut not_run = 0;
    for seed in 0..SEEDS {
        let mut world = World::default();
        for name in DAEMONS {
            world.add_daemon(name);
        }
        let told = BTreeMap::new();
        let mut judge = Judge { told };
        for (number, event) in events(seed).enumerate() {
            apply(&mut world, number, event);
            judge.check(&world, &format!("seed {seed} event {number} {event:?}"));
        }
        ran += world.executions.values().sum::<u32>();
        let denied = |t: &&Told| matches!(t, Told::Refused(r) if r.not_run);
        not_run += judge.told.values().filter(denied).count();
    }
    println!("seeds 0..{SEEDS}: {ran} executions, {not_run} refusals not run");
    assert!(
        ran > 1_000 && not_run > 100,
        "the schedules reach too little"
    );
}

fn apply(world: &mut World, number: usize, event: Event) {
    let recent: Vec<CompactString> = recent_requests(world);
    let name = |n: u8| recent[usize::from(n) % recent.len()].clone();
    let daemon = |n: u8| DAEMONS[usize::from(n) % DAEMONS.len()];
    match event {
        Event::Ask(ask) => {
            let asked = asked(world, ask);
            send(world, number, asked);
        }
        Event::AskAgain(n, at) => {
            let Some(earlier) = world.requests.get(&name(n)) else {
                return;
            };
            let mut asked = earlier.asked.clone();
            asked.at = daemon(at).into();
            send(world, number, asked);
        }
        Event::Daemon(n, fate) if n < u8::MAX / FAULTS => befall(world, daemon(n), fate),
        Event::Flush(n) => {
            if alive(world, daemon(n)) {
                world.flush(daemon(n));
            }
        }
        Event::Table(n, weather) if n < u8::MAX / FAULTS => match weather {
            Weather::Down => world.table.down = true,
            Weather::Up | Weather::Up2 => world.table.down = false,
            Weather::Lose => world.table.next = Fault::Lose,
            Weather::Delay => world.table.next = Fault::Delay,
            Weather::Land => world.table.land(),
        },
        Event::Advance(seconds) => {
            // Mostly short, at times longer than claims are remembered.
            let seconds = match seconds {
                0..6 => 1_000,
                6..16 => 20,
                _ => 0,
            };
            world.now += Duration::from_secs(seconds);
            for daemon in world.daemons.values_mut() {
                daemon.registry.expire(world.now);
            }
        }
        Event::Step(n) => on(world, &name(n), |world, name| {
            world.step(name);
        }),
        Event::Settle(n) => on(world, &name(n), |world, name| drop(world.settle(name))),
        Event::Dispatch(n) => on(world, &name(n), |world, name| drop(world.dispatch(name))),
        Event::SettleAndDispatch(n) => on(world, &name(n), |world, name| {
            world.settle(name);
            world.dispatch(name);
        }),
        Event::Answer(n) => on(world, &name(n), |world, name| drop(world.end(name, true))),
        Event::Break(n) => on(world, &name(n), |world, name| drop(world.end(name, false))),
        Event::Daemon(..) | Event::Table(..) => {}
    }
}

/// The requests sent last; a name that stands for none if there is none yet.
fn recent_requests(world: &World) -> Vec<CompactString> {
    let mut open: Vec<(usize, CompactString)> = world
        .requests
        .keys()
        .filter_map(|name| Some((name[1..].parse().ok()?, name.clone())))
        .collect();
    open.sort_by(|a, b| b.cmp(a));
    open.truncate(RECENT);
    let names = open.into_iter().map(|(_, name)| name);
    names.chain(["none".into()]).collect()
}

fn on(world: &mut World, name: &str, act: impl Fn(&mut World, &str)) {
    if world.requests.contains_key(name) {
        act(world, name);
    }
}

fn send(world: &mut World, number: usize, asked: Asked) {
    if alive(world, &asked.at) {
        world.send(&format!("r{number}"), asked);
    }
}

fn befall(world: &mut World, name: &str, fate: Fate) {
    let daemon = world.daemons.get_mut(name).expect("a daemon");
    match fate {
        Fate::Kill => daemon.alive = false,
        Fate::Freeze => daemon.frozen = true,
        Fate::Wake | Fate::Wake2 => daemon.frozen = false,
        Fate::Close if daemon.alive && !daemon.frozen => {
            world.close(name);
        }
        Fate::Stop if daemon.alive && !daemon.frozen => {
            world.close(name);
            befall(world, name, Fate::Kill);
        }
        Fate::Replace | Fate::Replace2 if !daemon.alive => {
            world.forget_requests_of(name);
            world.add_daemon(name);
        }
        _ => {}
    }
}

#[test]
fn calm_schedules_tell_what_the_naive_table_tells() {
    for seed in 0..SEEDS {
        let mut world = World::default();
        let mut naive = Naive::default();
        for name in DAEMONS {
            world.add_daemon(name);
        }
        for (number, event) in events(seed).enumerate() {
            match event {
                Event::Ask(ask) => {
                    let asked = asked(&world, ask);
                    let name = format!("r{number}");
                    world.send(&name, asked.clone());
                    world.settle(&name);
                    world.dispatch(&name);
                    world.end(&name, true);
                    let told = world.told(&name).expect("an end");
                    match naive.run(&asked) {
                        Some(answer) => assert_eq!(told, answer, "seed {seed} {name} {asked:?}"),
                        None => assert!(
                            matches!(&told, Told::Refused(r) if r.reason == Reason::KeyReused),
                            "seed {seed} {name} {asked:?} {told:?}"
                        ),
                    }
                }
                Event::Daemon(n, Fate::Close) => {
                    let name = DAEMONS[usize::from(n) % DAEMONS.len()];
                    assert!(world.close(name), "seed {seed}");
                    world.add_daemon(name);
                }
                Event::Flush(n) => {
                    world.flush(DAEMONS[usize::from(n) % DAEMONS.len()]);
                }
                _ => {}
            }
        }
    }
}
