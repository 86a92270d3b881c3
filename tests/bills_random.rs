//! Tests bills over random schedules with fixed seeds: durable bills are never lost, and the
//! invoice does not depend on the order or repetition of rows.

mod bills_simulation;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bills_simulation::{Simulation, bill, table::Fault};
use bolero::generator::bolero_generator::{
    TypeGenerator, ValueGenerator,
    driver::{Options, Rng},
    produce,
};
use compact_str::{CompactString, format_compact};
use hibiscusyoke::coordination::{
    bills::{Bill, BillRow, CustomerTotal, build_invoice},
    membership::MemberState,
};
use rand_xoshiro::{Xoroshiro128PlusPlus, rand_core::SeedableRng};

/// Number of schedules and of shuffled row sets.
const SEEDS: u64 = 300;
/// Number of events in a schedule.
const EVENTS_PER_SEED: usize = 250;
/// Name and failure domain of each daemon.
const FLEET: [[&str; 2]; 5] = [["a", "x"], ["b", "y"], ["c", "z"], ["d", "x"], ["e", "y"]];

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    /// The daemon, and a number that selects an earlier request to repeat if it is below 8.
    Record(u8, u8),
    SendToHolders(u8),
    SendToHolders2(u8),
    Flush(u8),
    Adopt(u8),
    Kill(u8),
    Freeze(u8, bool),
    Table(u8),
    Advance(u8),
}

/// Bill in one of seven rows, and in up to two further rows as a duplicate.
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
fn random_faults_lose_no_durable_bill() {
    let mut bills = 0;
    let mut duplicates = 0;
    for seed in 0..SEEDS {
        let mut sim = Simulation::default();
        for [daemon, domain] in FLEET {
            sim.add_daemon(daemon, domain);
        }
        let mut driver = driver(seed);
        let mut durable = BTreeSet::new();
        let mut killed = false;
        for number in 0..EVENTS_PER_SEED {
            let event = produce::<Event>()
                .generate(&mut driver)
                .expect("generated event");
            apply(&mut sim, number, event, &mut killed);
            for (bill, recorded) in &sim.bills {
                if sim.is_running(&recorded.at) && sim.is_durable(bill) {
                    durable.insert(bill.clone());
                }
            }
        }
        settle(&mut sim);
        let invoice = sim.invoice();
        let found = billed_requests(&sim);
        for bill in &durable {
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
        "the schedules cover too few cases"
    );
}

/// Returns the request of a bill, whose name is `<request>.<number>`.
fn request_of(bill: &str) -> &str {
    bill.split('.').next().unwrap_or_default()
}

/// Counts the bills in the table by request, without the invoice's code.
fn billed_requests(sim: &Simulation) -> BTreeMap<CompactString, u32> {
    let rows = sim.table.scan("bill/").expect("reachable table");
    let mut requests = BTreeMap::new();
    for row in rows {
        let row: BillRow = serde_json::from_str(&row.value).expect("valid bill row");
        for bill in row.bills {
            *requests.entry(bill.request_id).or_default() += 1;
        }
    }
    requests
}

fn apply(sim: &mut Simulation, number: usize, event: Event, killed: &mut bool) {
    match event {
        Event::Record(at, repeat) if sim.is_running(name(at)) => {
            let earlier = sim.bills.keys().nth(usize::from(repeat));
            let request = match earlier {
                Some(bill) if repeat < 8 => request_of(bill).into(),
                _ => format_compact!("r{number}"),
            };
            let bill = bill(&request, number as u64);
            sim.record(&format!("{request}.{number}"), name(at), bill);
        }
        Event::SendToHolders(at) | Event::SendToHolders2(at) if sim.is_running(name(at)) => {
            sim.send_to_holders(name(at));
        }
        Event::Flush(at) if sim.is_running(name(at)) => {
            sim.flush(name(at));
        }
        Event::Adopt(at) if sim.is_running(name(at)) => {
            sim.adopt(name(at));
        }
        Event::Kill(at) if !*killed && sim.is_running(name(at)) => {
            *killed = true;
            sim.daemons.get_mut(name(at)).expect("known daemon").alive = false;
            sim.set_member_state(name(at), MemberState::Dead);
        }
        Event::Freeze(at, frozen) => {
            let daemon = sim.daemons.get_mut(name(at)).expect("known daemon");
            daemon.frozen = frozen;
            if daemon.alive {
                let state = if frozen {
                    MemberState::Dead
                } else {
                    MemberState::Alive
                };
                sim.set_member_state(name(at), state);
            }
        }
        Event::Table(n) => match n % 6 {
            0 => sim.table.down = true,
            1 | 2 => sim.table.down = false,
            3 => sim.table.next = Fault::LoseReply,
            4 => sim.table.next = Fault::DelayWrite,
            _ => sim.table.deliver_delayed(),
        },
        Event::Advance(n) => sim.advance(Duration::from_millis(u64::from(n) * 40)),
        _ => {}
    }
}

/// Ends all faults except killed daemons, then writes all bills to the table.
fn settle(sim: &mut Simulation) {
    sim.table.down = false;
    sim.table.deliver_delayed();
    sim.table.next = Fault::None;
    sim.advance(Duration::from_secs(60));
    for [daemon, _] in FLEET {
        sim.daemons.get_mut(daemon).expect("known daemon").frozen = false;
        if sim.is_running(daemon) {
            sim.set_member_state(daemon, MemberState::Alive);
        }
    }
    for [daemon, _] in FLEET {
        if !sim.is_running(daemon) {
            continue;
        }
        sim.adopt(daemon);
        while sim.daemons[daemon].own.unflushed() > 0 {
            assert!(sim.flush(daemon), "a reachable table accepts rows");
        }
    }
    sim.table.deliver_delayed();
}

#[test]
fn order_and_repetition_do_not_change_the_invoice() {
    for seed in 0..SEEDS {
        let mut driver = driver(seed);
        let written: Vec<Written> = (0..40)
            .map(|_| produce().generate(&mut driver).expect("generated bill"))
            .collect();
        let rows = rows(&written);
        let whole = build_invoice(rows.iter().map(String::as_str));
        assert_eq!(
            whole.customers["gate"],
            reference_total(&written),
            "seed {seed}"
        );
        for _ in 0..8 {
            let mut late = rows.clone();
            for _ in 0..10 {
                let at: u8 = produce().generate(&mut driver).expect("generated number");
                late.push(rows[usize::from(at) % rows.len()].clone());
            }
            for at in (1..late.len()).rev() {
                let with: u8 = produce().generate(&mut driver).expect("generated number");
                late.swap(at, usize::from(with) % (at + 1));
            }
            let again = build_invoice(late.iter().map(String::as_str));
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
        .map(|row| serde_json::to_string(row).expect("serializable row"))
        .collect()
}

/// Returns the totals over the lowest bill of each request, found by sorting.
fn reference_total(written: &[Written]) -> CustomerTotal {
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
