//! The scenario language, with one directive for each event in a fleet.

use std::time::Duration;

use datadriven::TestCase;
use hibiscusyoke::{
    coordination::configuration::{
        edit::Edit,
        event::{Event, PullResult, Source},
        outcome::{Outcome, PublishRequest, Refusal},
        publisher::PublishResult,
    },
    state::{
        diff::Change,
        objects::{ServiceState, VersionState},
    },
};

use crate::{
    fleet::{Fleet, Loss},
    objects::small_set,
};

/// Maximum time until an accepted configuration is in force on all daemons.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Default)]
pub(crate) struct Script {
    fleet: Option<Fleet>,
}

impl Script {
    pub(crate) fn run(&mut self, mut case: TestCase) -> String {
        if case.directive == "fleet" {
            let daemons = case.take_arg("daemons").unwrap();
            case.expect_empty().unwrap();
            return self.begin(daemons);
        }
        let fleet = self
            .fleet
            .as_mut()
            .expect("the first directive creates a fleet");
        let output = directive(fleet, &mut case);
        case.expect_empty().unwrap();
        output
    }

    /// Creates a fleet in which a small set is in force as generation 1.
    fn begin(&mut self, daemons: usize) -> String {
        let mut fleet = Fleet::new(daemons);
        let changes = small_set().puts();
        let edit = Edit::Objects {
            changes,
            prune: false,
        };
        let request = request("first", edit, None);
        assert_eq!(fleet.begin("d1", request), None);
        fleet.commit("first", Loss::None);
        fleet.run(PROPAGATION_LIMIT);
        let output = describe_progress(&fleet, 1);
        self.fleet = Some(fleet);
        output
    }
}

fn directive(fleet: &mut Fleet, case: &mut TestCase) -> String {
    match case.directive.as_str() {
        "begin" => match begin(fleet, case).end {
            Some(end) => format_result(&end),
            None => "about to commit\n".into(),
        },
        "commit" => {
            let id = string_arg(case, "id");
            format_result_or_replaced(fleet.commit(&id, loss(case)))
        }
        "publish" => {
            let loss = loss(case);
            let started = begin(fleet, case);
            format_result_or_replaced(started.end.or_else(|| fleet.commit(&started.id, loss)))
        }
        "await" => await_everywhere(fleet, case.take_arg("generation").unwrap()),
        "reads" => reads(fleet, case.take_arg("seconds").unwrap()),
        "show" => show(fleet),
        _ => {
            apply_event(fleet, case);
            String::new()
        }
    }
}

/// Runs a directive that has no output.
fn apply_event(fleet: &mut Fleet, case: &mut TestCase) {
    match case.directive.as_str() {
        "run" => {
            let time = case.take_arg("ms").unwrap();
            fleet.run(Duration::from_millis(time));
        }
        "cut" => {
            let from = string_arg(case, "from");
            fleet.cut(&from, &string_arg(case, "to"));
        }
        "heal" => fleet.heal(),
        "freeze" => fleet.freeze(&string_arg(case, "daemon")),
        "thaw" => fleet.thaw(&string_arg(case, "daemon")),
        "replace" => fleet.start(&string_arg(case, "daemon")),
        "late" => deliver_late(fleet, case),
        "hear" => deliver_table_head(fleet, case),
        other => panic!("unknown directive {other}"),
    }
}

struct StartedPublication {
    id: String,
    end: Option<PublishResult>,
}

fn begin(fleet: &mut Fleet, case: &mut TestCase) -> StartedPublication {
    let id = string_arg(case, "id");
    let via = string_arg(case, "via");
    let base = case.try_take_arg("base").unwrap();
    let edit = edit(case);
    let end = fleet.begin(&via, request(&id, edit, base));
    StartedPublication { id, end }
}

fn request(id: &str, edit: Edit, base: Option<u64>) -> PublishRequest {
    PublishRequest {
        id: id.into(),
        operator: format!("operator-{id}").into(),
        edit,
        base,
        dry_run: false,
    }
}

fn edit(case: &mut TestCase) -> Edit {
    if let Some(name) = case.try_take_arg::<String>("domain").unwrap() {
        let state = service_state(&string_arg(case, "state"));
        return Edit::FailureDomain {
            name: name.into(),
            state,
        };
    }
    if let Some(name) = case.try_take_arg::<String>("version").unwrap() {
        let state = match string_arg(case, "state").as_str() {
            "withdrawn" => VersionState::Withdrawn,
            "draining" => VersionState::Draining,
            _ => VersionState::Enabled,
        };
        return Edit::Version {
            name: name.into(),
            state,
        };
    }
    Edit::Objects {
        changes: case.input.lines().map(change).collect(),
        prune: case.take_flag("prune").unwrap(),
    }
}

/// Parses a line `put KIND/NAME JSON` or `remove KIND/NAME`.
fn change(line: &str) -> Change {
    let (verb, rest) = line.split_once(' ').unwrap();
    match (verb, rest.split_once(' ')) {
        ("put", Some((id, json))) => Change::Put {
            id: id.parse().unwrap(),
            json: json.into(),
        },
        ("remove", None) => Change::Remove {
            id: rest.parse().unwrap(),
        },
        _ => panic!("not a change: {line}"),
    }
}

fn service_state(text: &str) -> ServiceState {
    match text {
        "out" => ServiceState::Out,
        _ => ServiceState::In,
    }
}

fn loss(case: &mut TestCase) -> Loss {
    match case.try_take_arg::<String>("lose").unwrap().as_deref() {
        None => Loss::None,
        Some("answer") => Loss::Answer,
        Some("answer-and-table") => Loss::AnswerAndTable,
        Some("daemon") => Loss::Daemon,
        Some("request") => Loss::Request,
        Some(other) => panic!("unknown loss {other}"),
    }
}

/// Delivers one response of the table to a frozen daemon, and nothing else.
fn deliver_table_head(fleet: &mut Fleet, case: &mut TestCase) {
    let daemon = string_arg(case, "daemon");
    let generation = case.take_arg("generation").unwrap();
    let sent = fleet.now;
    fleet.thaw(&daemon);
    let event = Event::TableHeadRead {
        sent,
        generation: Some(generation),
    };
    fleet.feed(&daemon, event);
    fleet.freeze(&daemon);
}

/// Delivers an old record and an old complete set to a daemon.
fn deliver_late(fleet: &mut Fleet, case: &mut TestCase) {
    let daemon = string_arg(case, "to");
    let generation: usize = case.take_arg("generation").unwrap();
    let record = fleet.history[generation - 1].clone();
    let mut objects = hibiscusyoke::state::objects::Objects::default();
    objects.apply(&record.changes).unwrap();
    fleet.feed(&daemon, Event::Pushed(record.clone()));
    let from = Source::Table;
    let pulled = PullResult::Whole(record.generation, Box::new(objects));
    fleet.feed(&daemon, Event::PullCompleted { from, pulled });
}

fn format_result_or_replaced(end: Option<PublishResult>) -> String {
    end.map_or_else(
        || "the daemon was replaced\n".into(),
        |end| format_result(&end),
    )
}

fn format_result(end: &PublishResult) -> String {
    let mut lines = vec![match end.outcome.generation() {
        Some(generation) => format!("{} generation={generation}", end.outcome),
        None => end.outcome.to_string(),
    }];
    lines.extend(end.differences.iter().map(ToString::to_string));
    match &end.outcome {
        Outcome::Refused(Refusal::Conflicts { conflicts }) => {
            lines.extend(conflicts.iter().map(ToString::to_string));
        }
        Outcome::Refused(Refusal::Faults { faults }) => {
            lines.extend(faults.iter().map(ToString::to_string));
        }
        _ => {}
    }
    lines.iter().map(|line| format!("{line}\n")).collect()
}

fn await_everywhere(fleet: &mut Fleet, generation: u64) -> String {
    let deadline = fleet.now + PROPAGATION_LIMIT;
    while fleet.now < deadline && !daemons_behind(fleet, generation).is_empty() {
        fleet.run(POLL_INTERVAL);
    }
    describe_progress(fleet, generation)
}

fn describe_progress(fleet: &Fleet, generation: u64) -> String {
    let behind = daemons_behind(fleet, generation);
    if behind.is_empty() {
        return format!("generation {generation} in force everywhere\n");
    }
    format!("generation {generation} not on {}\n", behind.join(" "))
}

fn daemons_behind(fleet: &Fleet, generation: u64) -> Vec<String> {
    let mut names = fleet.names();
    names.retain(|name| fleet.follower(name).generation() < generation);
    names
}

fn reads(fleet: &mut Fleet, seconds: u64) -> String {
    let before = fleet.table.reads;
    fleet.run(Duration::from_secs(seconds));
    let rate = (fleet.table.reads - before) / seconds;
    match rate {
        0..=200 => "at most 200 reads a second\n".into(),
        _ => format!("{rate} reads a second\n"),
    }
}

fn show(fleet: &Fleet) -> String {
    let line = |name: String| {
        let follower = fleet.follower(&name);
        let readiness = match follower.readiness(fleet.now) {
            Ok(()) => "ready".into(),
            Err(e) => format!("not ready: {e}"),
        };
        format!("{name} generation={} {readiness}\n", follower.generation())
    };
    fleet.names().into_iter().map(line).collect()
}

fn string_arg(case: &mut TestCase, arg: &str) -> String {
    case.take_arg(arg).unwrap()
}
