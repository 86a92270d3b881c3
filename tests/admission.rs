//! Tests of admission: fairness against a reference scheduler, refusals, and scenario files.

use std::{
    collections::BTreeMap,
    fmt::Write,
    time::{Duration, Instant},
};

use compact_str::CompactString;
use datadriven::{TestCase, walk};
use hibiscusyoke::coordination::admission::{
    Admission, Admit, Arrival, QueueAction, RefusalCause, WaiterId,
};
use policy_support::generate;

mod policy_support;

const MINUTE: Duration = Duration::from_secs(60);

fn arrival(id: WaiterId, customer: &str, weight: u32, priority: u8, now: Instant) -> Arrival {
    Arrival {
        id,
        customer: customer.into(),
        weight,
        queue: 10_000,
        priority,
        deadline: now + 60 * MINUTE,
    }
}

/// Start-time fair queueing by a linear scan, without queue limits or deadlines.
#[derive(Default)]
struct ReferenceScheduler {
    waiting: Vec<Arrival>,
    virtual_finish: BTreeMap<CompactString, f64>,
    virtual_time: f64,
}

impl ReferenceScheduler {
    /// Maximum lead within which priorities count, in requests of weight 1.
    const MAX_PRIORITY_LEAD: f64 = 8.0;

    fn start(&self, customer: &str) -> f64 {
        let virtual_finish = self.virtual_finish.get(customer).copied().unwrap_or(0.0);
        virtual_finish.max(self.virtual_time)
    }

    fn charge(&mut self, customer: &CompactString, weight: u32) {
        let virtual_finish = self.start(customer) + 1.0 / f64::from(weight);
        self.virtual_finish.insert(customer.clone(), virtual_finish);
    }

    fn next(&mut self) -> Option<WaiterId> {
        let min_start = self
            .waiting
            .iter()
            .map(|a| self.start(&a.customer))
            .min_by(f64::total_cmp)?;
        let rank = |a: &Arrival| {
            let start = self.start(&a.customer);
            let own = self.waiting.iter().filter(|b| b.customer == a.customer);
            let highest = own.map(|b| b.priority).max().unwrap_or(0);
            let within_lead = start <= min_start + Self::MAX_PRIORITY_LEAD / f64::from(a.weight);
            (if within_lead { highest } else { 0 }, start)
        };
        let mut best = 0;
        for i in 1..self.waiting.len() {
            let (a, b) = (&self.waiting[best], &self.waiting[i]);
            let (x, y) = (rank(a), rank(b));
            let order = y.0.cmp(&x.0).then(x.1.total_cmp(&y.1));
            let order = order
                .then(a.customer.cmp(&b.customer))
                .then(b.priority.cmp(&a.priority))
                .then(a.deadline.cmp(&b.deadline))
                .then(a.id.cmp(&b.id));
            if order.is_gt() {
                best = i;
            }
        }
        self.virtual_time = self.virtual_time.max(min_start);
        let first = self.waiting.remove(best);
        self.charge(&first.customer, first.weight);
        Some(first.id)
    }
}

#[test]
fn dispatch_matches_reference_scheduler() {
    let now = Instant::now();
    let weights = [1, 3, 10, 1];
    let mut granted = 0;
    for seed in 0..60 {
        let events: Vec<(u8, u8, u8)> = (0..200).map(|i| generate(seed * 1_000 + i)).collect();
        let mut admission = Admission::default();
        let mut reference = ReferenceScheduler::default();
        admission.set_max_running(2);
        let mut running = 0;
        for (id, (action, customer, priority)) in events.into_iter().enumerate() {
            if action % 5 < 2 && running > 0 {
                admission.release(Duration::from_millis(100));
                running -= 1;
            } else {
                let which = usize::from(customer) % weights.len();
                let name = ["a", "b", "c", "d"][which];
                let arrival = arrival(id as WaiterId, name, weights[which], priority % 3, now);
                match admission.arrive(now, &arrival) {
                    Admit::Now => {
                        running += 1;
                        reference.charge(&arrival.customer, arrival.weight);
                    }
                    Admit::Queued => reference.waiting.push(arrival),
                    Admit::Refused(refused) => panic!("seed {seed}: {refused}"),
                }
            }
            for grant in admission.dispatch(now) {
                let expected = reference.next().map(QueueAction::Run);
                assert_eq!(Some(grant), expected, "seed {seed} event {id}");
                running += 1;
                granted += 1;
            }
            assert_eq!(running, admission.running());
        }
    }
    assert!(granted > 1_000, "too few requests dispatched: {granted}");
}

/// Serves `count` requests one by one and returns their customers in order.
fn serve(
    admission: &mut Admission,
    owner: &BTreeMap<WaiterId, &str>,
    count: usize,
) -> Vec<CompactString> {
    let now = Instant::now();
    let mut served = Vec::new();
    while served.len() < count {
        admission.release(Duration::from_millis(10));
        for grant in admission.dispatch(now) {
            let QueueAction::Run(id) = grant else {
                panic!("request refused");
            };
            served.push(owner[&id].into());
        }
    }
    served
}

#[test]
fn large_customer_does_not_starve_a_small_one() {
    let now = Instant::now();
    let mut admission = Admission::default();
    admission.set_max_running(1);
    let mut owner = BTreeMap::new();
    for id in 0..5_000 {
        let priority = 9;
        let _ = admission.arrive(now, &arrival(id, "large", 1, priority, now));
        owner.insert(id, "large");
    }
    for id in 5_000..5_050 {
        let _ = admission.arrive(now, &arrival(id, "small", 1, 0, now));
        owner.insert(id, "small");
    }
    let served = serve(&mut admission, &owner, 120);
    let small = served.iter().filter(|name| *name == "small").count();
    assert_eq!(small, 50, "the small customer was not served completely");
}

#[test]
fn backlogged_customers_share_by_weight() {
    let now = Instant::now();
    let mut admission = Admission::default();
    admission.set_max_running(1);
    let mut owner = BTreeMap::new();
    for id in 0..2_000 {
        let (name, weight) = if id % 2 == 0 {
            ("one", 1)
        } else {
            ("three", 3)
        };
        let _ = admission.arrive(now, &arrival(id, name, weight, 0, now));
        owner.insert(id, name);
    }
    let served = serve(&mut admission, &owner, 400);
    let three = served.iter().filter(|name| *name == "three").count();
    assert!((298..=302).contains(&three), "{three} of 400 requests");
}

#[test]
fn late_request_is_refused_on_arrival_with_retry_after() {
    let now = Instant::now();
    let mut admission = Admission::default();
    admission.set_max_running(4);
    for _ in 0..100 {
        admission.release(Duration::from_millis(400));
    }
    let mut refused = 0;
    for id in 0..100 {
        let arrival = Arrival {
            deadline: now + Duration::from_secs(2),
            ..arrival(id, "gate", 1, 0, now)
        };
        match admission.arrive(now, &arrival) {
            Admit::Now | Admit::Queued => {}
            Admit::Refused(r) => {
                refused += 1;
                assert_eq!(r.cause, RefusalCause::Deadline);
                assert!(r.retry_after >= Duration::from_millis(100));
                assert!(r.retry_after <= Duration::from_secs(2), "{r}");
            }
        }
    }
    // Ten requests per second are served: 4 run, and about 16 can be served within 1.6 s.
    assert_eq!(refused, 100 - 4 - 16);
    assert_eq!(admission.waiting(), 16);
}

#[test]
fn waiting_request_is_refused_when_it_would_be_late() {
    let now = Instant::now();
    let mut admission = Admission::default();
    admission.set_max_running(1);
    for id in 0..2 {
        let arrival = Arrival {
            deadline: now + Duration::from_secs(1),
            ..arrival(id, "gate", 1, 0, now)
        };
        assert!(!matches!(
            admission.arrive(now, &arrival),
            Admit::Refused(_)
        ));
    }
    assert!(admission.dispatch(now).is_empty());
    let actions = admission.dispatch(now + Duration::from_millis(950));
    assert!(
        matches!(actions[..], [QueueAction::Refuse(1, r)] if r.cause == RefusalCause::Deadline),
        "{actions:?}"
    );
}

/// Runs the directives of one scenario file.
struct Scenario {
    admission: Admission,
    start: Instant,
    now: Instant,
    next: WaiterId,
    owners: BTreeMap<WaiterId, CompactString>,
}

impl Scenario {
    fn arrive(&mut self, case: &mut TestCase) -> String {
        let customer: CompactString = case
            .take_arg::<String>("customer")
            .expect("customer")
            .into();
        let count: u64 = case.try_take_arg("count").expect("count").unwrap_or(1);
        let deadline: u64 = case
            .try_take_arg("deadline_ms")
            .expect("ms")
            .unwrap_or(60_000);
        let weight = case.try_take_arg("weight").expect("weight").unwrap_or(1);
        let queue = case.try_take_arg("queue").expect("queue").unwrap_or(100);
        let priority = case
            .try_take_arg("priority")
            .expect("priority")
            .unwrap_or(0);
        let mut out = String::new();
        for _ in 0..count {
            self.next += 1;
            let arrival = Arrival {
                id: self.next,
                customer: customer.clone(),
                weight,
                queue,
                priority,
                deadline: self.now + Duration::from_millis(deadline),
            };
            self.owners.insert(arrival.id, customer.clone());
            let result = match self.admission.arrive(self.now, &arrival) {
                Admit::Now => "now".to_owned(),
                Admit::Queued => "queued".to_owned(),
                Admit::Refused(refused) => refused.to_string(),
            };
            writeln!(out, "{customer}-{}: {result}", arrival.id).expect("text");
        }
        out
    }

    fn dispatch(&mut self) -> String {
        let mut out = String::new();
        for grant in self.admission.dispatch(self.now) {
            let (id, result) = match grant {
                QueueAction::Run(id) => (id, "run".to_owned()),
                QueueAction::Refuse(id, refused) => (id, refused.to_string()),
            };
            writeln!(out, "{}-{id}: {result}", self.owners[&id]).expect("text");
        }
        out
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        let out = match case.directive.as_str() {
            "places" => {
                self.admission
                    .set_max_running(case.take_arg("count").expect("count"));
                self.dispatch()
            }
            "arrive" => self.arrive(case),
            "release" => {
                let held: u64 = case.take_arg("held_ms").expect("held_ms");
                let count: u64 = case.try_take_arg("count").expect("count").unwrap_or(1);
                for _ in 0..count {
                    self.admission.release(Duration::from_millis(held));
                }
                self.dispatch()
            }
            "at" => {
                let at: u64 = case.take_arg("ms").expect("ms");
                self.now = self.start + Duration::from_millis(at);
                self.dispatch()
            }
            other => panic!("unknown directive {other}"),
        };
        case.expect_empty().expect("no unknown argument");
        out
    }
}

#[test]
fn scenarios_hold() {
    walk("tests/scenarios/admission", |file| {
        let start = Instant::now();
        let mut scenario = Scenario {
            admission: Admission::default(),
            start,
            now: start,
            next: 0,
            owners: BTreeMap::new(),
        };
        file.run(|case| scenario.run(case));
    });
}
