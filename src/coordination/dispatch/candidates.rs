//! Which upstreams a request may be placed on, and when its response would start there.

use std::time::{Duration, Instant};

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

/// The upstreams that one request may be placed on.
#[derive(Debug)]
pub(super) struct CandidateSet<'a> {
    /// The engines in this daemon's subset and the homes of the request's prefix, or all upstreams if
    /// none of these can take the request.
    pub(super) upstreams: Vec<&'a Upstream>,
    /// All upstreams that are listed for the request.
    pub(super) ring: HashRing,
    /// The prefix of the prompt.
    pub(super) blocks: Vec<PrefixBlock>,
    /// The homes among which the requests with this prefix are now spread.
    homes_in_use: Homes,
}

impl Dispatcher {
    /// Returns the earliest expected start of a response among the upstreams that can take the
    /// request now. The backlog is at most the delay that recent prompts experienced, or this request
    /// itself, which has `waited` for a smaller model, as estimates err on the high side.
    ///
    /// Restarted upstreams have no backlog but accept few requests while they are cold, so they say
    /// nothing about the load.
    pub fn expected_start(
        &self,
        request: &PlacementRequest<'_>,
        waited: Duration,
        now: Instant,
    ) -> Option<ExpectedStart> {
        let listed = self
            .listed(request.service, now)
            .filter(|u| u.health.is_usable(now) && u.limit.per_second(now).is_none());
        let candidates = self.candidates(request, listed.collect(), false, now);
        let routes = self.routes.as_ref();
        let service = routes.and_then(|routes| routes.service(request.service));
        let start = candidates
            .upstreams
            .iter()
            .filter(|u| self.check_usable(request, u, service, now).is_ok())
            .map(|u| ExpectedStart {
                backlog: self.wait(u, now),
                prefill_time: self.prefill_time(request, u, &candidates, now),
            })
            .min_by_key(|start| start.backlog + start.prefill_time)?;
        let experienced = self.observed_delay(request.service).max(waited);
        Some(ExpectedStart {
            backlog: start.backlog.min(experienced),
            ..start
        })
    }

    /// Returns the shortest prefill time of a request's prompt, also while all upstreams are full.
    pub(super) fn shortest_prefill_time(
        &self,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> Option<Duration> {
        let listed = self.listed(request.service, now).collect();
        let candidates = self.candidates(request, listed, false, now);
        candidates
            .upstreams
            .iter()
            .map(|u| self.prefill_time(request, u, &candidates, now))
            .min()
    }

    /// Returns the delay that recent prompts experienced; zero before the first response.
    pub(super) fn observed_delay(&self, service: &str) -> Duration {
        let delay = self.prefill_delays.get(service);
        delay.and_then(PrefillDelay::average).unwrap_or_default()
    }

    /// Returns the upstreams of a service that accept new work, outside of evacuated domains.
    pub(super) fn listed<'a>(
        &'a self,
        service: &'a str,
        now: Instant,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.registry
            .of_service(service)
            .filter(move |u| u.is_listed(now) && !self.evacuated.contains(&u.domain))
    }

    /// Returns the upstreams of `listed` on which a request may be placed; all of them if this daemon has shares of
    /// their slots, which may be outside of its subset.
    pub(super) fn candidates<'a>(
        &self,
        request: &PlacementRequest<'_>,
        listed: Vec<&'a Upstream>,
        has_shares: bool,
        now: Instant,
    ) -> CandidateSet<'a> {
        let ring = HashRing::from_hashes(listed.iter().map(|u| u.hash));
        let blocks = self.blocks(request);
        let homes = Homes::find(&blocks, listed.iter().map(|u| u.hash));
        let upstreams = match request.prompt {
            Some(_) if !has_shares => self.preferred(request, listed, &ring, &homes, now),
            _ => listed,
        };
        CandidateSet {
            upstreams,
            homes_in_use: self.homes_in_use(request, &blocks, &homes, now),
            ring,
            blocks,
        }
    }

    /// Returns the engines in this daemon's subset and the homes of the prefix, or all of `listed` if
    /// none of these can take the request.
    fn preferred<'a>(
        &self,
        request: &PlacementRequest<'_>,
        listed: Vec<&'a Upstream>,
        ring: &HashRing,
        homes: &Homes,
        now: Instant,
    ) -> Vec<&'a Upstream> {
        let position = self.own_position();
        let preferred: Vec<&Upstream> = listed
            .iter()
            .copied()
            .filter(|u| homes.contains(u.hash) || position.uses(ring.index(u.hash), ring.count()))
            .collect();
        let can_take = |u: &Upstream| {
            let tried = request.tried.contains(&u.id);
            let is_free = u.limit.per_second(now).is_none() && self.running(u) < u.slots;
            !tried && u.health.is_usable(now) && !u.is_cold(now) && is_free
        };
        match preferred.iter().any(|u| can_take(u)) {
            true => preferred,
            false => listed,
        }
    }

    /// Returns the homes among which the requests with this prefix are now spread.
    fn homes_in_use(
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

    fn blocks(&self, request: &PlacementRequest<'_>) -> Vec<PrefixBlock> {
        let chain = |prompt| prefix::chain(request.model.unwrap_or_default(), prompt);
        request.prompt.map(chain).unwrap_or_default()
    }

    /// Returns the time until an engine has processed its outstanding prompts, as far as all
    /// daemons know.
    pub(super) fn wait(&self, upstream: &Upstream, now: Instant) -> Duration {
        upstream.queue.wait(now) + self.peer_load(upstream).overdue
    }

    /// Returns the requests of all daemons that run on an upstream, as far as known.
    pub(super) fn running(&self, upstream: &Upstream) -> u32 {
        upstream.running + self.peer_load(upstream).running
    }

    fn peer_load(&self, upstream: &Upstream) -> PeerLoad {
        let load = self.peer_loads.get(&upstream.hash);
        let load = load.copied().unwrap_or_default();
        self.busy.with_total(upstream.hash, load)
    }

    pub(super) fn prefill_time(
        &self,
        request: &PlacementRequest<'_>,
        upstream: &Upstream,
        candidates: &CandidateSet<'_>,
        now: Instant,
    ) -> Duration {
        let Some(prompt) = request.prompt else {
            return Duration::ZERO;
        };
        let blocks = &candidates.blocks;
        let cached_tokens = self.prefixes.cached_tokens(upstream.hash, blocks, now);
        // Other daemons may have sent the prefix to its homes.
        let assumed = match candidates.homes_in_use.contains(upstream.hash) {
            true => blocks.last().map_or(0, |block| block.tokens),
            false => 0,
        };
        let uncached_tokens = prompt.tokens.saturating_sub(cached_tokens.max(assumed));
        self.prefill_speeds
            .prefill_time(request.model.unwrap_or_default(), uncached_tokens)
            .mul_f64(upstream.slowness.ratio())
    }
}
