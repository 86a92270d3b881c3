//! Settings of a fake model engine.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{engine::cold::ColdConfig, millis};

/// Settings of a version that an engine can serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VersionConfig {
    /// Name of the version.
    pub name: CompactString,
    /// Skill from 0 to 1; the true quality of an answer is about 0.6 + skill - difficulty.
    pub skill: f64,
    /// Factor by which its tokens take longer than the engine's pace.
    pub pace: f64,
    /// Whether the version is loaded at startup.
    pub loaded: bool,
}

impl Default for VersionConfig {
    fn default() -> Self {
        Self {
            name: CompactString::default(),
            skill: 0.5,
            pace: 1.0,
            loaded: true,
        }
    }
}

impl VersionConfig {
    /// Returns a version that is loaded at startup.
    pub fn new(name: &str, skill: f64) -> Self {
        Self {
            name: name.into(),
            skill,
            ..Self::default()
        }
    }
}

/// Settings of a fake model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// Versions that the engine can serve.
    pub versions: Vec<VersionConfig>,
    /// Time from the start of a single request to its first token.
    #[serde(with = "millis")]
    pub first_token: Duration,
    /// Time between two tokens of a single request.
    #[serde(with = "millis")]
    pub token: Duration,
    /// Fraction of the pace by which each additional running request slows down all requests.
    pub growth: f64,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Maximum number of waiting requests; further ones are refused.
    pub waiting_limit: usize,
    /// Behaviour while the engine is cold.
    pub cold: ColdConfig,
    /// Delay after which changes of the load report become visible.
    #[serde(with = "millis")]
    pub load_lag: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub honours_fence: bool,
    /// Time to load a version.
    #[serde(with = "millis")]
    pub load_time: Duration,
    /// Weight store to read from when loading a version.
    pub weights: Option<SocketAddr>,
    /// A request whose messages contain this text crashes the engine when it runs.
    pub poison: Option<CompactString>,
    /// How long the listener stays closed after a crash.
    #[serde(with = "millis")]
    pub restart: Duration,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            versions: Vec::new(),
            first_token: Duration::from_millis(20),
            token: Duration::from_millis(5),
            growth: 0.05,
            slots: 8,
            waiting_limit: 16,
            cold: ColdConfig::default(),
            load_lag: Duration::from_millis(500),
            honours_fence: true,
            load_time: Duration::from_millis(200),
            weights: None,
            poison: Some("POISON".into()),
            restart: Duration::from_millis(300),
        }
    }
}

impl EngineConfig {
    /// Returns an engine that is warm at startup and has these versions.
    pub fn warm(versions: impl IntoIterator<Item = VersionConfig>) -> Self {
        Self {
            versions: versions.into_iter().collect(),
            cold: ColdConfig {
                at_start: false,
                ..ColdConfig::default()
            },
            ..Self::default()
        }
    }
}
