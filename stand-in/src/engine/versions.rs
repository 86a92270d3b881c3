//! Versions of an engine: whether they are loaded, and their quality.

use std::{collections::BTreeMap, time::Duration};

use compact_str::CompactString;

use crate::{
    engine::{config::VersionConfig, text::Prompt},
    stats::VersionStats,
};

/// Versions of an engine with their statistics.
#[derive(Default)]
pub(crate) struct Versions(BTreeMap<CompactString, Version>);

struct Version {
    cfg: VersionConfig,
    loaded: bool,
    quality_drop: f64,
    record: VersionStats,
}

/// Quality and pace of one answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerProfile {
    pub(crate) quality: f64,
    pub(crate) pace: f64,
}

impl Versions {
    pub(crate) fn new(versions: &[VersionConfig]) -> Self {
        let mut own = Self::default();
        for cfg in versions {
            own.entry(&cfg.name).cfg = cfg.clone();
            own.entry(&cfg.name).loaded = cfg.loaded;
        }
        own
    }

    /// Starts an answer if the version is loaded.
    pub(crate) fn begin(&mut self, name: &str, prompt: &Prompt) -> Option<AnswerProfile> {
        let version = self.0.get_mut(name).filter(|v| v.loaded)?;
        version.record.begun += 1;
        if version.quality_drop > 0.0 {
            version.record.begun_bad += 1;
        }
        Some(AnswerProfile {
            quality: prompt.quality(name, version.cfg.skill - version.quality_drop),
            pace: version.cfg.pace,
        })
    }

    pub(crate) fn count_token(&mut self, name: &CompactString) {
        self.entry(name).record.tokens += 1;
    }

    pub(crate) fn complete(&mut self, name: &CompactString, quality: f64) {
        let record = &mut self.entry(name).record;
        record.completed += 1;
        record.quality_sum += quality;
    }

    pub(crate) fn is_loaded(&self, name: &str) -> bool {
        self.0.get(name).is_some_and(|v| v.loaded)
    }

    pub(crate) fn loaded(&self) -> Vec<CompactString> {
        let loaded = self.0.iter().filter(|(_, v)| v.loaded);
        loaded.map(|(name, _)| name.clone()).collect()
    }

    pub(crate) fn set_loaded(&mut self, name: &CompactString, loaded: bool) {
        self.entry(name).loaded = loaded;
    }

    pub(crate) fn set_quality_drop(&mut self, name: &CompactString, quality_drop: f64) {
        self.entry(name).quality_drop = quality_drop;
    }

    pub(crate) fn records(&self) -> Vec<VersionStats> {
        self.0.values().map(|v| v.record.clone()).collect()
    }

    fn entry(&mut self, name: &CompactString) -> &mut Version {
        self.0.entry(name.clone()).or_insert_with(|| Version {
            cfg: VersionConfig::new(name, VersionConfig::default().skill),
            loaded: false,
            quality_drop: 0.0,
            record: VersionStats {
                version: name.clone(),
                ..VersionStats::default()
            },
        })
    }
}

/// Time between the tokens of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    pub(crate) first_token: Duration,
    pub(crate) token: Duration,
    pub(crate) growth: f64,
}

impl Pace {
    /// Returns the time to generate one token while `running` requests share the engine.
    pub(crate) fn token_delay(
        &self,
        is_first: bool,
        running: u32,
        profile: AnswerProfile,
    ) -> Duration {
        let unloaded = if is_first {
            self.first_token
        } else {
            self.token
        };
        let others = f64::from(running.saturating_sub(1));
        unloaded.mul_f64((1.0 + self.growth * others) * profile.pace.max(0.0))
    }
}
