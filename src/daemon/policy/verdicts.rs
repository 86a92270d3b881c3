//! Verdicts kept in the table, so that they outlive every daemon.

use std::sync::Arc;

use platform_api::table::{ABSENT, CommitRequest, Condition, Write};

use crate::{
    coordination::rollout::{Verdict, VerdictKind},
    daemon::policy::Policy,
    transport::table::TableError,
};

/// The prefix of the rows that keep verdicts, followed by the version.
const KEY_PREFIX: &str = "verdict/";

impl Policy {
    /// Logs a verdict of this daemon.
    pub(super) fn log_verdict(&self, verdict: &Verdict) {
        let kind = verdict.kind;
        self.core.record_decision(
            &format!("version/{}", verdict.version),
            "judge",
            format_args!(
                "version={} verdict={kind:?} by={}",
                verdict.version, verdict.by
            ),
        );
    }

    /// Reads the kept verdicts.
    pub(super) async fn load_verdicts(self: &Arc<Self>) -> Result<(), TableError> {
        let rows = self.core.table.scan(KEY_PREFIX).await?;
        let now = self.core.clock.now();
        let mut state = self.lock();
        for row in rows {
            if let Ok(verdict) = serde_json::from_str::<Verdict>(&row.value) {
                state.trials.apply_verdict(now, &verdict);
            }
        }
        state.trials.set_verdicts_loaded();
        Ok(())
    }

    /// Keeps a verdict of this daemon; a row that is there already says the same.
    pub(super) async fn save_verdict(&self, verdict: &Verdict) -> Result<(), TableError> {
        if verdict.kind != VerdictKind::Ejected {
            return Ok(());
        }
        let key = format!("{KEY_PREFIX}{}", verdict.version);
        let value = serde_json::to_string(verdict).unwrap_or_default();
        let req = CommitRequest {
            conditions: vec![Condition {
                key: key.as_str().into(),
                version: ABSENT,
            }],
            writes: vec![Write {
                key: key.as_str().into(),
                value: Some(value),
            }],
        };
        self.core.table.commit(&req).await.map(|_| ())
    }
}
