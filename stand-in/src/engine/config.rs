//! What a model engine is told at its start.

use std::{net::SocketAddr, time::Duration};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{engine::cold::ColdConfig, millis};

/// A version that an engine can serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VersionConfig {
    /// The version's name.
    pub name: CompactString,
    /// From 0 to 1; the true quality of an answer is about 0.6 plus this less the difficulty.
    pub skill: f64,
    /// How many times longer its tokens take than the engine's pace says.
    pub pace: f64,
    /// Whether it is loaded from the start.
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
    /// A version that is loaded from the start.
    pub fn new(name: &str, skill: f64) -> Self {
        Self {
            name: name.into(),
            skill,
            ..Self::default()
        }
    }
}

/// What a model engine is told at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineConfig {
    /// The versions that it can serve.
    pub versions: Vec<VersionConfig>,
    /// From the start of a lone request to its first token.
    #[serde(with = "millis")]
    pub first_token: Duration,
    /// Between two tokens of a lone request.
    #[serde(with = "millis")]
    pub token: Duration,
    /// By what part of the pace each further running request slows all of them.
    pub growth: f64,
    /// The number of requests that run at once.
    pub slots: u32,
    /// The number of requests that wait; more are refused.
    pub waiting_limit: usize,
    /// How it behaves while cold.
    pub cold: ColdConfig,
    /// By how much its load report lags.
    #[serde(with = "millis")]
    pub load_lag: Duration,
    /// Whether it refuses orders with an old fencing number.
    pub honours_fence: bool,
    /// How long it takes to load a version.
    #[serde(with = "millis")]
    pub load_time: Duration,
    /// The weight store that it reads when it loads a version.
    pub weights: Option<SocketAddr>,
    /// A request with this word in a message crashes the engine when it runs.
    pub poison: Option<CompactString>,
    /// How long nothing listens after a crash.
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
    /// An engine that is warm from the start, with these versions loaded.
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
