//! Fault schedule of one seed.

use std::time::Duration;

use http::StatusCode;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro128PlusPlus;
use stand_in::gateway::{
    table::Fault as TableFault,
    upstream::{Behaviour, ErrorAnswer},
};

use crate::{deployment::UPSTREAMS, proxy::LinkState};

/// Minimum and maximum number of faults in a schedule.
const FAULTS_PER_SCHEDULE: std::ops::RangeInclusive<usize> = 4..=12;
/// Duration of a fault in milliseconds.
const FAULT_DURATIONS_MS: std::ops::RangeInclusive<u64> = 200..=4_000;

/// Separates the generator of the extra faults from that of the others.
const EXTRA_FAULTS_SEED: u64 = 0x4c49_4d49_5453;
/// Duration of an extra fault in milliseconds.
const EXTRA_DURATIONS_MS: std::ops::RangeInclusive<u64> = 1_000..=9_000;
/// Limit of an upstream in requests per 1,000 seconds.
const LIMITS_PER_KILOSECOND: std::ops::RangeInclusive<u32> = 500..=6_000;
/// Separates the generator of partitions and of brittle or silent upstreams from the others.
const PARTITION_FAULTS_SEED: u64 = 0x4355_545f_4f46_4600;
/// Separates the generator of links that carry no data from the others.
const SILENT_LINK_FAULTS_SEED: u64 = 0x5349_4c45_4e54_0000;
/// Separates the generator of odd rows from the others.
const ODD_ROW_SEED: u64 = 0x4f44_445f_524f_5753;
/// Separates the generator of errors after runs from the others.
const ERROR_ANSWER_SEED: u64 = 0x4552_524f_5253_0000;
/// Separates the generator of failing services from the others.
const SERVICE_FAULTS_SEED: u64 = 0x5345_5256_4943_4500;
/// Number of times that all gateways restart while a service fails.
const RESTARTS_WHILE_FAILING: std::ops::RangeInclusive<usize> = 0..=3;
/// Number of such errors in a schedule.
const ERROR_FAULTS: std::ops::RangeInclusive<usize> = 0..=2;
/// Statuses of upstreams that report a failure of a request that they have run.
const ERROR_STATUSES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];
/// Refusals a second that a brittle upstream bears.
const MAX_REFUSALS: std::ops::RangeInclusive<u32> = 2..=6;
/// Time for which an upstream is silent in milliseconds.
const SILENCES_MS: std::ops::RangeInclusive<u64> = 700..=1_500;
/// Rates of narrow links in bytes per second.
const LINK_RATES: std::ops::RangeInclusive<u32> = 400_000..=2_000_000;

/// A fault or a change that is injected into the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is killed and restarted later.
    Kill(usize),
    /// A gateway is signalled to stop and restarted later.
    Stop(usize),
    /// A gateway is paused and resumed later.
    Pause(usize),
    /// All gateways are killed and restarted later.
    KillAll,
    /// A gateway is signalled to reload its settings.
    Reload(usize),
    /// The connections between a gateway and the table are disturbed.
    TableLink(usize, LinkState),
    /// The connections to an upstream are disturbed.
    UpstreamLink(usize, LinkState),
    /// The connections between a gateway and all upstreams are disturbed.
    CutOff(usize, LinkState),
    /// All upstreams of a service say that they are brittle, and bear this many refusals a second.
    Brittle(&'static str, u32),
    /// All upstreams of a service misbehave.
    Service(&'static str, Behaviour),
    /// An upstream misbehaves.
    Upstream(usize, Behaviour),
    /// The table misbehaves.
    Table(TableFault),
    /// The table discards its history.
    Compact,
    /// The table is restored from a copy that is as old as the fault is long. Operators and upstreams
    /// write their rows again.
    Restore,
    /// An upstream announces that it leaves, and then restarts.
    Leave(usize),
    /// An upstream is drained and accepts requests again later.
    Drain(usize),
    /// The configuration is changed by operators.
    Configure,
    /// The configuration grows by many routes, or shrinks again.
    ConfigureRoutes,
    /// Another writer leaves rows among those of the upstreams that name none.
    OddRows(OddRow),
}

/// What is odd about a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OddRow {
    /// Its value is not base64.
    Unencoded,
    /// Its value is not JSON.
    NotJson,
    /// It is cold for an enormous time.
    EnormousColdTime,
}

/// A fault with its start time and duration.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// Start time, relative to the start of the fault injection.
    pub at: Duration,
    /// Duration of the fault.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Faults of one seed, ordered by start time.
pub type Schedule = Vec<ScheduledFault>;

/// Generates the fault schedule of a seed. Faults may overlap and affect the same component
/// several times.
pub fn generate(
    seed: u64,
    gateways: usize,
    upstreams: usize,
    injection_time: Duration,
) -> Schedule {
    let mut rng = Xoshiro128PlusPlus::seed_from_u64(seed);
    let steps = rng.random_range(FAULTS_PER_SCHEDULE);
    // Some seeds repeatedly target the same gateway and the same upstream.
    let focus = rng.random_bool(0.3);
    let (gateway, upstream) = (
        rng.random_range(0..gateways),
        rng.random_range(0..upstreams),
    );
    let mut schedule: Schedule = (0..steps)
        .map(|_| {
            let pick = |rng: &mut Xoshiro128PlusPlus, of, fixed| match focus {
                true => fixed,
                false => rng.random_range(0..of),
            };
            let gateway = pick(&mut rng, gateways, gateway);
            let upstream = pick(&mut rng, upstreams, upstream);
            ScheduledFault {
                at: injection_time.mul_f64(rng.random()),
                duration: Duration::from_millis(rng.random_range(FAULT_DURATIONS_MS)),
                fault: draw_fault(&mut rng, gateway, upstream),
            }
        })
        .collect();
    schedule.extend(extra_faults(seed, gateways, upstreams, injection_time));
    schedule.extend(partition_faults(seed, gateways, upstreams, injection_time));
    schedule.extend(silent_link_fault(seed, gateways, injection_time));
    schedule.extend(odd_rows(seed, injection_time));
    schedule.extend(error_answers(seed, upstreams, injection_time));
    schedule.extend(service_faults(seed, upstreams, gateways, injection_time));
    schedule.sort_by_key(|step| step.at);
    schedule
}

/// Draws upstreams with limits, narrow links and large configurations from a generator of their own, so
/// that the other faults of a seed stay as they were.
fn extra_faults(
    seed: u64,
    gateways: usize,
    upstreams: usize,
    injection_time: Duration,
) -> Schedule {
    let mut rng = Xoshiro128PlusPlus::seed_from_u64(seed ^ EXTRA_FAULTS_SEED);
    let mut schedule = Schedule::new();
    for fault in [
        Fault::Upstream(
            rng.random_range(0..upstreams),
            Behaviour::Limit(rng.random_range(LIMITS_PER_KILOSECOND)),
        ),
        Fault::TableLink(
            rng.random_range(0..gateways),
            LinkState::Limited(rng.random_range(LINK_RATES)),
        ),
        Fault::ConfigureRoutes,
    ] {
        let scheduled = ScheduledFault {
            at: injection_time.mul_f64(rng.random()),
            duration: Duration::from_millis(rng.random_range(EXTRA_DURATIONS_MS)),
            fault,
        };
        if rng.random_bool(0.5) {
            schedule.push(scheduled);
        }
    }
    schedule
}

/// Draws gateways that lose all upstreams, and brittle or silent upstreams, from a generator of their own.
fn partition_faults(
    seed: u64,
    gateways: usize,
    upstreams: usize,
    injection_time: Duration,
) -> Schedule {
    let mut rng = Xoshiro128PlusPlus::seed_from_u64(seed ^ PARTITION_FAULTS_SEED);
    let link = match rng.random_range(0..3) {
        0 => LinkState::Reset,
        1 => LinkState::RefusesNew {
            silences_open: true,
        },
        _ => LinkState::RefusesNew {
            silences_open: false,
        },
    };
    let service = UPSTREAMS[rng.random_range(0..upstreams)].service;
    let silent = Behaviour::SilentFor(rng.random_range(SILENCES_MS));
    let faults = [
        Fault::CutOff(rng.random_range(0..gateways), link),
        Fault::Brittle(service, rng.random_range(MAX_REFUSALS)),
        Fault::Upstream(rng.random_range(0..upstreams), silent),
    ];
    let drawn = faults.map(|fault| {
        let scheduled = ScheduledFault {
            at: injection_time.mul_f64(rng.random()),
            duration: Duration::from_millis(rng.random_range(EXTRA_DURATIONS_MS)),
            fault,
        };
        rng.random_bool(0.5).then_some(scheduled)
    });
    drawn.into_iter().flatten().collect()
}

/// Draws a gateway whose connections to upstreams are accepted but carry no data, from a generator of its own.
fn silent_link_fault(
    seed: u64,
    gateways: usize,
    injection_time: Duration,
) -> Option<ScheduledFault> {
    let mut rng = Xoshiro128PlusPlus::seed_from_u64(seed ^ SILENT_LINK_FAULTS_SEED);
    let link = match rng.random_bool(0.5) {
        true => LinkState::AcceptsOnly,
        false => LinkState::Silent,
    };
    let scheduled = ScheduledFault {
        at: injection_time.mul_f64(rng.random()),
        duration: Duration::from_millis(rng.random_range(EXTRA_DURATIONS_MS)),
        fault: Fault::CutOff(rng.random_range(0..gateways), link),
    };
    rng.random_bool(0.5).then_some(scheduled)
}

/// Draws rows that name no upstream, from a generator of its own.
fn odd_rows(seed: u64, injection_time: Duration) -> Option<ScheduledFault> {
    let mut rng = Xoshiro128PlusPlus::seed_from_u64(seed ^ ODD_ROW_SEED);
    let odd = match rng.random_range(0..3) {
        0 => OddRow::Unencoded,
        1 => OddRow::NotJson,
        _ => OddRow::EnormousColdTime,
    };
    let scheduled = ScheduledFault {
        at: injection_time.mul_f64(rng.random()),
        duration: Duration::from_millis(rng.random_range(EXTRA_DURATIONS_MS)),
        fault: Fault::OddRows(odd),
    };
    rng.random_bool(0.5).then_some(scheduled)
}

/// Draws upstreams that run requests and answer with a status that promises that they have not, from a generator of
/// their own.
fn error_answers(seed: u64, upstreams: usize, injection_time: Duration) -> Schedule {
    let mut rng = Xoshiro128PlusPlus::seed_from_u64(seed ^ ERROR_ANSWER_SEED);
    let faults = rng.random_range(ERROR_FAULTS);
    (0..faults)
        .map(|_| {
            let error = ErrorAnswer {
                status: ERROR_STATUSES[rng.random_range(0..ERROR_STATUSES.len())],
                retry_after_s: rng.random_bool(0.3).then_some(1),
                is_signed: rng.random_bool(0.8),
            };
            ScheduledFault {
                at: injection_time.mul_f64(rng.random()),
                duration: Duration::from_millis(rng.random_range(EXTRA_DURATIONS_MS)),
                fault: Fault::Upstream(rng.random_range(0..upstreams), Behaviour::FailWith(error)),
            }
        })
        .collect()
}

/// Draws a service all of whose upstreams fail, so that each request is retried as often as the retry budget allows,
/// while gateways restart or pause, from a generator of its own.
fn service_faults(
    seed: u64,
    upstreams: usize,
    gateways: usize,
    injection_time: Duration,
) -> Schedule {
    let mut rng = Xoshiro128PlusPlus::seed_from_u64(seed ^ SERVICE_FAULTS_SEED);
    if rng.random_bool(0.5) {
        return Schedule::new();
    }
    let behaviour = match rng.random_bool(0.5) {
        true => Behaviour::Fail,
        false => Behaviour::BreakAfter(1),
    };
    let service = UPSTREAMS[rng.random_range(0..upstreams)].service;
    let mut schedule = vec![ScheduledFault {
        at: Duration::ZERO,
        duration: injection_time,
        fault: Fault::Service(service, behaviour),
    }];
    let restarts = rng.random_range(RESTARTS_WHILE_FAILING);
    let faults = std::iter::repeat_n(Fault::KillAll, restarts)
        .chain((1..gateways).map(Fault::Pause).filter(|_| restarts == 0));
    schedule.extend(faults.map(|fault| ScheduledFault {
        at: injection_time.mul_f64(rng.random()),
        duration: Duration::from_millis(rng.random_range(FAULT_DURATIONS_MS)),
        fault,
    }));
    schedule
}

fn draw_fault(rng: &mut Xoshiro128PlusPlus, gateway: usize, upstream: usize) -> Fault {
    match rng.random_range(0..19) {
        0 | 1 => Fault::Kill(gateway),
        2 | 3 => Fault::Stop(gateway),
        4 | 5 => Fault::Pause(gateway),
        6 => Fault::Reload(gateway),
        7 => Fault::TableLink(gateway, draw_link(rng)),
        8 | 9 => Fault::UpstreamLink(upstream, draw_link(rng)),
        10 | 11 => Fault::Upstream(upstream, draw_behaviour(rng)),
        12 => Fault::Table(draw_table_fault(rng)),
        13 => match rng.random_bool(0.5) {
            true => Fault::Compact,
            false => Fault::KillAll,
        },
        14 => Fault::Drain(upstream),
        15 | 16 => Fault::Restore,
        17 => Fault::Leave(upstream),
        _ => Fault::Configure,
    }
}

fn draw_link(rng: &mut impl Rng) -> LinkState {
    match rng.random_range(0..5) {
        0 => LinkState::Delayed(Duration::from_millis(rng.random_range(10..400))),
        1 => LinkState::Reset,
        2 => LinkState::Silent,
        3 => LinkState::RequestsLost,
        _ => LinkState::AnswersLost,
    }
}

fn draw_behaviour(rng: &mut impl Rng) -> Behaviour {
    match rng.random_range(0..8) {
        0 => Behaviour::Fail,
        1 => Behaviour::Refuse,
        2 => Behaviour::Break,
        3 => draw_interruption(rng),
        4 => Behaviour::Foreign,
        5 => Behaviour::Unsigned,
        6 => Behaviour::RefuseWithPause(rng.random_range(1..4)),
        _ => Behaviour::Hang,
    }
}

fn draw_interruption(rng: &mut impl Rng) -> Behaviour {
    match rng.random_range(0..10) {
        events @ 0..5 => Behaviour::BreakAfter(events),
        5 => Behaviour::EndEmpty,
        events => Behaviour::EndAfter(events - 5),
    }
}

fn draw_table_fault(rng: &mut impl Rng) -> TableFault {
    match rng.random_range(0..3) {
        0 => TableFault::Silent,
        1 => TableFault::Busy,
        _ => TableFault::LostAnswers,
    }
}
