//! Textual description of a request's progress for the scenario output.

use hibiscusyoke::coordination::claims::Step;
use platform_api::table::ABSENT;

use super::{Progress, Response, Simulation};

impl Simulation {
    pub(crate) fn describe(&self, name: &str) -> String {
        let request = &self.requests[name];
        match &request.progress {
            Progress::Pending(step) => match step {
                Step::Run(_) => "runs".into(),
                Step::Insert(write) if write.version == ABSENT => "inserts".into(),
                Step::Insert(_) => "takes over".into(),
                Step::Read(_) => "reads back".into(),
                Step::AskHolder(_, holder) => format!("asks {}", holder.daemon),
                Step::Wait => "waits".into(),
                Step::Repeat(_) => "repeats".into(),
                Step::Refuse(refused) => format!("refuses {}", refused.reason),
            },
            Progress::Held(_) => "held".into(),
            Progress::Sent(_) => "sent".into(),
            Progress::Response(Response::Answer(a)) => {
                String::from_utf8_lossy(&a.body).into_owned()
            }
            Progress::Response(Response::Nothing) => "no response".into(),
            Progress::Response(Response::Refused(refused)) => {
                let run = if refused.not_run {
                    "not_run"
                } else {
                    "unknown"
                };
                format!("{run}: {}", refused.reason)
            }
        }
    }
}
