//! Bills over fixed random schedules: whatever order and repetition, the invoice is the same.

mod bills_world;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bills_world::{World, bill, table::Fault};
use bolero::generator::bolero_generator::{
    TypeGenerator, ValueGenerator,
    driver::{Options, Rng},
    produce,
};
use compact_str::{CompactString, format_compact};
use hibiscusyoke::coordination::{
    bills::{Bill, BillRow, CustomerTotal, fold},
    membership::MemberState,
};
use rand_xoshiro::{Xoroshiro128PlusPlus, rand_core::SeedableRng};

/// The number of schedules and of shuffles.
const SEEDS: u64 = 300;
/// The number of events in a schedule.
const EVENTS: usize = 250;
/// Names and failure domains.
const FLEET: [[&str; 2]; 5] = [["a", "x"], ["b", "y"], ["c", "z"], ["d", "x"], ["e", "y"]];

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    /// At which daemon, and whether an earlier request is repeated there.
    Record(u8, u8),
    Spread(u8),
    Spread2(u8),
    Flush(u8),
    Adopt(u8),
    Kill(u8),
    Freeze(u8, bool),
    Table(u8),
    Advance(u8),
}

/// One bill in one of a few rows, which may be written again.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Written {
    request: u8,
    at: u8,
    row: u8,
    copies: u8,
}

fn driver(seed: u64) -> Rng<Xoroshiro128PlusPlus> {
    let options = Options::default().with_max_len(1 << 20);
    Rng::new(Xoroshiro128PlusPlus::seed_from_u64(seed), &options)
}

fn name(n: u8) -> &'static str {
    FLEET[usize::from(n) % FLEET.len()][0]
}

#[test]
fn random_faults_lose_no_bill_that_was_safe() {
    let mut bills = 0;
    let mut duplicates = 0;
    for seed in 0..SEEDS {
        let mut world = World::default();
        for [daemon, domain] in FLEET {
            world.add_daemon(daemon, domain);
        }
        let mut driver = driver(seed);
        let mut released = BTreeSet::new();
        let mut killed = false;
        for number in 0..EVENTS {
            let event = produce::<Event>().generate(&mut driver).expect("an event");
            apply(&mut world, number, event, &mut killed);
            for (bill, handed_in) in &world.bills {
                if world.runs(&handed_in.at) && world.is_safe(bill) {
                    released.insert(bill.clone());
                }
            }
        }
        settle(&mut world);
        let invoice = world.invoice();
        let found = billed_requests(&world);
        for bill in &released {
            let request = request_of(bill);
            assert!(
                found.contains_key(request),
                "seed {seed}: {bill} is missing"
            );
        }
        let total = invoice.customers.get("gate").copied().unwrap_or_default();
        assert_eq!(total.requests, found.len() as u64, "seed {seed}");
        bills += total.requests;
        duplicates += invoice.duplicates;
    }
    println!("seeds 0..{SEEDS}: {bills} requests billed, {duplicates} duplicates left out");
    assert!(
        bills > 1_000 && duplicates > 100,
        "the schedules reach too little"
    );
}

/// A bill's name is `<request>.<number>`.
fn request_of(bill: &str) -> &str {
    bill.split('.').next().unwrap_or_default()
}

/// The naive reading of the table: each request once.
fn billed_requests(world: &World) -> BTreeMap<CompactString, u32> {
    let rows = world.table.scan("bill/").expect("a table that is up");
    let mut requests = BTreeMap::new();
    for row in rows {
        let row: BillRow = serde_json::from_str(&row.value).expect("a row of bills");
        for bill in row.bills {
            *requests.entry(bill.request_id).or_default() += 1;
        }
    }
    requests
}

fn apply(world: &mut World, number: usize, event: Event, killed: &mut bool) {
    match event {
        Event::Record(at, repeat) if world.runs(name(at)) => {
            let earlier = world.bills.keys().nth(usize::from(repeat));
            let request = match earlier {
                Some(bill) if repeat < 8 => request_of(bill).into(),
                _ => format_compact!("r{number}"),
            };
            let bill = bill(&request, number as u64);
            world.record(&format!("{request}.{number}"), name(at), bill);
        }
        Event::Spread(at) | Event::Spread2(at) if world.runs(name(at)) => {
            world.spread(name(at));
        }
        Event::Flush(at) if world.runs(name(at)) => {
            world.flush(name(at));
        }
        Event::Adopt(at) if world.runs(name(at)) => {
            world.adopt(name(at));
        }
        Event::Kill(at) if !*killed && world.runs(name(at)) => {
            *killed = true;
            world.daemons.get_mut(name(at)).expect("a daemon").alive = false;
            world.believe(name(at), MemberState::Dead);
        }
        Event::Freeze(at, frozen) => {
            let daemon = world.daemons.get_mut(name(at)).expect("a daemon");
            daemon.frozen = frozen;
            if daemon.alive {
                let state = if frozen {
                    MemberState::Dead
                } else {
                    MemberState::Alive
                };
                world.believe(name(at), state);
            }
        }
        Event::Table(n) => match n % 6 {
            0 => world.table.down = true,
            1 | 2 => world.table.down = false,
            3 => world.table.next = Fault::Lose,
            4 => world.table.next = Fault::Delay,
            _ => world.table.land(),
        },
        Event::Advance(n) => world.advance(Duration::from_millis(u64::from(n) * 40)),
        _ => {}
    }
}

/// All come back but the dead, and all is written.
fn settle(world: &mut World) {
    world.table.down = false;
    world.table.land();
    world.table.next = Fault::None;
    world.advance(Duration::from_secs(60));
    for [daemon, _] in FLEET {
        world.daemons.get_mut(daemon).expect("a daemon").frozen = false;
        if world.runs(daemon) {
            world.believe(daemon, MemberState::Alive);
        }
    }
    for [daemon, _] in FLEET {
        if !world.runs(daemon) {
            continue;
        }
        world.adopt(daemon);
        while world.daemons[daemon].own.unflushed() > 0 {
            assert!(world.flush(daemon), "a table that is up takes rows");
        }
    }
    world.table.land();
}

#[test]
fn order_and_repetition_do_not_change_the_invoice() {
    for seed in 0..SEEDS {
        let mut driver = driver(seed);
        let written: Vec<Written> = (0..40)
            .map(|_| produce().generate(&mut driver).expect("a bill"))
            .collect();
        let rows = rows(&written);
        let whole = fold(rows.iter().map(String::as_str));
        assert_eq!(whole.customers["gate"], naive(&written), "seed {seed}");
        for _ in 0..8 {
            let mut late = rows.clone();
            for _ in 0..10 {
                let at: u8 = produce().generate(&mut driver).expect("a number");
                late.push(rows[usize::from(at) % rows.len()].clone());
            }
            for at in (1..late.len()).rev() {
                let with: u8 = produce().generate(&mut driver).expect("a number");
                late.swap(at, usize::from(with) % (at + 1));
            }
            let again = fold(late.iter().map(String::as_str));
            assert_eq!(again.customers, whole.customers, "seed {seed}");
        }
    }
}

fn billed(written: &Written) -> Bill {
    Bill {
        units: u64::from(written.copies),
        ..bill(
            &format!("r{}", written.request % 24),
            u64::from(written.at % 4),
        )
    }
}

fn rows(written: &[Written]) -> Vec<String> {
    let mut rows: BTreeMap<u8, BillRow> = BTreeMap::new();
    for one in written {
        for copy in 0..=one.copies % 3 {
            let row = rows.entry(one.row.wrapping_add(copy) % 7).or_default();
            row.bills.push(billed(one));
        }
    }
    rows.values()
        .map(|row| serde_json::to_string(row).expect("JSON"))
        .collect()
}

/// For each request the least bill of all, found by sorting.
fn naive(written: &[Written]) -> CustomerTotal {
    let mut bills: Vec<Bill> = written.iter().map(billed).collect();
    bills.sort();
    let mut seen = BTreeSet::new();
    bills.retain(|bill| seen.insert(bill.request_id.clone()));
    CustomerTotal {
        requests: bills.len() as u64,
        units: bills.iter().map(|b| b.units).sum(),
        cost: bills.iter().map(|b| b.cost).sum(),
    }
}
