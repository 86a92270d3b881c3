//! Upstreams that are treated as cold because they could not be connected to, as they may have restarted.

use derive_more::Display;
use platform::UpstreamId;

use crate::coordination::dispatch::{Dispatcher, poison::StopSource, registry::Upstream};

/// An upstream that is treated as cold from now on, although its entry does not say so.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("upstream={upstream} source={source}")]
pub struct ColdPresumption {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Who could not connect to it.
    pub source: StopSource,
}

impl ColdPresumption {
    pub(super) fn new(upstream: &Upstream, source: StopSource) -> Self {
        Self {
            upstream: upstream.id.clone(),
            source,
        }
    }
}

impl Dispatcher {
    /// Removes and returns the upstreams that were presumed to be cold since the last call.
    pub fn take_presumed_cold(&mut self) -> Vec<ColdPresumption> {
        std::mem::take(&mut self.presumed_cold)
    }
}
