//! Verdicts stored in the table, so that they survive the restart of all daemons.

use std::sync::Arc;

use platform_api::table::{ABSENT, CommitRequest, Condition, Write};

use crate::{
    coordination::rollout::{Verdict, VerdictKind},
    daemon::policy::Policy,
    transport::table::TableError,
};

/// Prefix of the row keys of verdicts; the version follows.
const KEY_PREFIX: &str = "verdict/";

impl Policy {
    /// Records a verdict in the decision log.
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

    /// Loads the stored verdicts.
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

    /// Stores an ejection in the table.
    ///
    /// A conflict is ignored, because an existing row contains the same ejection.
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
