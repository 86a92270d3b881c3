//! Which upstreams a request may be placed on, and when its response would start there.

use std::time::{Duration, Instant};

use platform::upstream::UpstreamState;

use crate::coordination::dispatch::{
    Dispatcher, PeerLoad,
    assignment::PlacementRequest,
    escalation::ExpectedStart,
    homes::Homes,
    prefill_delay::PrefillDelay,
    prefix::{self, PrefixBlock},
    registry::Upstream,
    subset::HashRing,
};

impl Dispatcher {
    /// Returns the earliest expected start of a response among the upstreams that may be selected. The
    /// backlog is at most the delay that recent prompts experienced.
    pub fn expected_start(
        &self,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> Option<ExpectedStart> {
        let blocks = self.blocks(request);
        let listed: Vec<&Upstream> = self
            .registry
            .of_service(request.service)
            .filter(|u| u.is_listed(now) && u.health.is_usable(now))
            .filter(|u| !self.evacuated.contains(&u.domain))
            .collect();
        let engines = HashRing::from_hashes(listed.iter().map(|u| u.hash));
        let homes = find_homes(&blocks, &listed);
        let candidates = self.candidates(request, listed, &engines, &homes, now);
        let homes = self.homes_in_use(request, &blocks, &homes, now);
        let start = |u: &Upstream| ExpectedStart {
            backlog: self.wait(u, now),
            prefill_time: self.prefill_time(request, u, &blocks, &homes, now),
        };
        let starts = candidates.into_iter().map(start);
        let start = starts.min_by_key(|start| start.backlog + start.prefill_time)?;
        Some(ExpectedStart {
            backlog: start.backlog.min(self.observed_delay(request.service)),
            ..start
        })
    }

    /// Returns the delay that recent prompts experienced; zero before the first response.
    pub(super) fn observed_delay(&self, service: &str) -> Duration {
        let delay = self.prefill_delays.get(service);
        delay.and_then(PrefillDelay::average).unwrap_or_default()
    }

    /// Returns the engines of `listed` in this daemon's subset and the homes of the request's prefix,
    /// or all of `listed` if none of these can take the request.
    pub(super) fn candidates<'a>(
        &self,
        request: &PlacementRequest<'_>,
        listed: Vec<&'a Upstream>,
        engines: &HashRing,
        homes: &Homes,
        now: Instant,
    ) -> Vec<&'a Upstream> {
        if request.prompt.is_none() {
            return listed;
        }
        let position = self.own_position(now);
        let used: Vec<&Upstream> = listed
            .iter()
            .copied()
            .filter(|u| {
                homes.contains(u.hash) || position.uses(engines.index(u.hash), engines.count())
            })
            .collect();
        let can_take = |u: &Upstream| {
            let tried = request.tried.contains(&u.id);
            let running = u.running + self.peer_load(u).running;
            !tried && u.health.is_usable(now) && !u.is_cold(now) && running < u.slots
        };
        match used.iter().any(|u| can_take(u)) {
            true => used,
            false => listed,
        }
    }

    /// Returns the homes among which the requests with this prefix are now spread.
    pub(super) fn homes_in_use(
        &self,
        request: &PlacementRequest<'_>,
        blocks: &[PrefixBlock],
        homes: &Homes,
        now: Instant,
    ) -> Homes {
        let tokens = blocks.last().map_or(0, |block| block.tokens);
        let model = request.model.unwrap_or_default();
        let saved = self.prefill_speeds.prefill_time(model, tokens);
        homes.in_use(saved, |engine| {
            let upstream = self.registry.by_hash(engine);
            upstream.map_or(Duration::ZERO, |upstream| self.wait(upstream, now))
        })
    }

    pub(super) fn blocks(&self, request: &PlacementRequest<'_>) -> Vec<PrefixBlock> {
        let chain = |prompt| prefix::chain(request.model.unwrap_or_default(), prompt);
        request.prompt.map(chain).unwrap_or_default()
    }

    /// Returns the time until an engine has processed its outstanding prompts, as far as all
    /// daemons know.
    pub(super) fn wait(&self, upstream: &Upstream, now: Instant) -> Duration {
        upstream.queue.wait(now) + self.peer_load(upstream).overdue
    }

    pub(super) fn peer_load(&self, upstream: &Upstream) -> PeerLoad {
        let load = self.peer_loads.get(&upstream.hash);
        load.copied().unwrap_or_default()
    }

    pub(super) fn prefill_time(
        &self,
        request: &PlacementRequest<'_>,
        upstream: &Upstream,
        blocks: &[PrefixBlock],
        homes_in_use: &Homes,
        now: Instant,
    ) -> Duration {
        let Some(prompt) = request.prompt else {
            return Duration::ZERO;
        };
        let cached_tokens = self.prefixes.cached_tokens(upstream.hash, blocks, now);
        let assumed = match homes_in_use.contains(upstream.hash) {
            true => blocks.last().map_or(0, |block| block.tokens),
            false => 0,
        };
        let uncached_tokens = prompt.tokens.saturating_sub(cached_tokens.max(assumed));
        self.prefill_speeds
            .prefill_time(request.model.unwrap_or_default(), uncached_tokens)
    }
}

/// Returns the home engines of a prefix; daemons assume that these have it cached, also if they have
/// not sent it themselves.
pub(super) fn find_homes(blocks: &[PrefixBlock], listed: &[&Upstream]) -> Homes {
    let ready = listed.iter().filter(|u| u.state == UpstreamState::Ready);
    Homes::find(blocks, ready.map(|u| u.hash))
}
