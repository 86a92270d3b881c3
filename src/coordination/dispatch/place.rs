//! Taking and giving back places on upstreams.

use std::time::{Duration, Instant};

use platform::{configuration::Service, upstream::State};
use rand::Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::coordination::dispatch::{
    Dispatcher, PeerLoad,
    choose::{Candidate, cost},
    cold::{self, Part},
    health::Ended,
    prefix::{self, Link},
    registry::Upstream,
    rollout::Arm,
    speed::FIRST_EVENT_TIME,
    ticket::{Ask, Choice, NoPlace, Ticket},
    window::Circle,
};

/// The longest pause for which a request waits until a cold upstream may be sent another.
const LONGEST_COLD_WAIT: Duration = Duration::from_millis(800);
/// When to come back if no upstream is known at all.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);
/// When to come back if all upstreams are full.
const FULL_RETRY: Duration = Duration::from_millis(250);
/// How long an upstream that refused connections may be cold once it is back, beside its own time.
pub(super) const UNSEEN_RESTART_TIME: Duration = Duration::from_secs(1);
/// How long an upstream may be slow after its start.
const WARM_UP_TIME: Duration = Duration::from_secs(4);

impl Dispatcher {
    /// Chooses where a request goes, and takes a place there.
    pub fn choose(&mut self, ask: &Ask<'_>, now: Instant) -> Choice {
        self.sessions
            .note(ask.session, now, self.limits.session_time);
        self.note_new_version(ask.service, now);
        let arm = self
            .rollouts
            .get_mut(ask.service)
            .map(|rollout| rollout.arm(ask.session, now));
        match self.choose_in(ask, arm, now) {
            // The old version serves rather than nobody.
            Choice::Refuse(..) if arm == Some(Arm::New) => self.choose_in(ask, Some(Arm::Old), now),
            chosen => chosen,
        }
    }

    /// Notes that the answer has begun, so that the prompt has been read.
    pub fn begun(&mut self, ticket: &mut Ticket, took: Duration) {
        if std::mem::replace(&mut ticket.begun, true) {
            return;
        }
        if let Some(upstream) = self.registry.get_mut(&ticket.upstream) {
            let reading = took.saturating_sub(FIRST_EVENT_TIME);
            upstream.queue.begun(ticket.due, ticket.taken + reading);
        }
        if let (Some(arm), Some(rollout)) = (ticket.arm, self.rollouts.get_mut(&ticket.service))
            && rollout.order == ticket.order
            && ticket.settled
        {
            rollout.began(arm, ticket.route, ticket.reading, took);
        }
        // Behind others, or on a version on trial, the time says little of the model.
        if let Some(model) = &ticket.model
            && ticket.backlog.is_zero()
            && ticket.arm != Some(Arm::New)
        {
            self.speeds.note(model, ticket.reading, took);
        }
    }

    /// Gives a place back.
    pub fn finish(&mut self, ticket: &Ticket, ended: Ended, now: Instant) {
        let cold_time = self.cold_time(&ticket.service);
        if let Some(upstream) = self.registry.get_mut(&ticket.upstream) {
            upstream.running = upstream.running.saturating_sub(1);
            if !ticket.begun {
                upstream.queue.left(ticket.due, ticket.reading, now);
            }
            upstream.health.note(ended, now);
            if let (Ended::Unreachable, Some(cold)) = (ended, cold_time) {
                upstream.chill(now + cold + UNSEEN_RESTART_TIME);
            }
        }
        if ended == Ended::Unreachable {
            self.died(&ticket.upstream, now);
        }
        if let (Some(arm), Some(rollout)) = (ticket.arm, self.rollouts.get_mut(&ticket.service))
            && rollout.order == ticket.order
        {
            rollout.running(arm, false);
            if ended == Ended::Abandoned && !ticket.begun && ticket.settled {
                rollout.waited(arm, ticket.route, ticket.reading, ticket.age(now));
            }
        }
    }

    /// The least time until an answer can be expected to begin at any upstream.
    pub fn expected_wait(&self, ask: &Ask<'_>, now: Instant) -> Option<Duration> {
        let links = self.links(ask);
        let listed: Vec<&Upstream> = self
            .registry
            .of_service(ask.service)
            .filter(|u| u.is_listed(now) && u.health.usable(now))
            .filter(|u| !self.evacuated.contains(&u.domain))
            .collect();
        let home = home_of(&links, &listed);
        let wait = |u: &Upstream| self.wait(u, now) + self.reading(ask, u, &links, home, now);
        listed.into_iter().map(wait).min()
    }

    fn choose_in(&mut self, ask: &Ask<'_>, arm: Option<Arm>, now: Instant) -> Choice {
        let links = self.links(ask);
        let rollout = self.rollouts.get(ask.service);
        let target = rollout.map(|rollout| rollout.target.clone());
        let order = rollout.map_or(0, |rollout| rollout.order);
        let in_arm = |upstream: &Upstream| match (arm, &target) {
            (Some(Arm::New), Some(target)) => upstream.version == *target,
            (Some(Arm::Old), Some(target)) => upstream.version != *target,
            _ => true,
        };
        let listed: Vec<&Upstream> = self
            .registry
            .of_service(ask.service)
            .filter(|u| u.is_listed(now) && in_arm(u) && !self.evacuated.contains(&u.domain))
            .collect();
        if listed.is_empty() {
            return Choice::Refuse(NoPlace::NoneListed, NO_UPSTREAM_RETRY);
        }
        let settled: Vec<&Upstream> = listed
            .iter()
            .copied()
            .filter(|u| arm.is_some() || self.registry.is_settled(u, now))
            .collect();
        let listed = if settled.is_empty() { listed } else { settled };
        let engines = Circle::of(listed.iter().map(|u| u.hash));
        let listed = self.in_window(ask, listed, &engines, now);
        let service = self.routes.as_ref().and_then(|r| r.service(ask.service));
        let home = home_of(&links, &listed);
        let mut best: Option<(f64, &Upstream, Duration)> = None;
        let mut cold_wait: Option<Duration> = None;
        let mut full = false;
        for upstream in listed {
            let tried = ask.tried.contains(&upstream.id);
            if tried || !upstream.health.usable(now) {
                continue;
            }
            let peer = self.peer_load(upstream);
            let running = upstream.running + peer.running;
            if running >= upstream.slots * overbooking(service) {
                full = true;
                continue;
            }
            let cold = upstream.is_cold(now);
            if cold && let Some(wait) = self.cold_wait(upstream, service, now) {
                if let Some(wait) = wait {
                    cold_wait = Some(cold_wait.map_or(wait, |known| known.min(wait)));
                }
                continue;
            }
            let reading = self.reading(ask, upstream, &links, home, now);
            let candidate = Candidate {
                backlog: self.wait(upstream, now),
                reading,
                running,
                failure_rate: upstream.health.failure_rate(now),
                cold,
                far: upstream.domain != self.domain,
                engine: ask.prompt.is_some(),
            };
            let cost = cost(&candidate, ask.body_bytes, self.rng.random());
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, upstream, reading));
            }
        }
        let Some((_, upstream, reading)) = best else {
            return match cold_wait {
                Some(wait) if wait <= LONGEST_COLD_WAIT => Choice::Wait(wait),
                Some(wait) => Choice::Refuse(NoPlace::AllCold, wait),
                None if full => Choice::Refuse(NoPlace::AllFull, FULL_RETRY),
                None => Choice::Refuse(NoPlace::NoneUsable, NO_UPSTREAM_RETRY),
            };
        };
        let backlog = self.wait(upstream, now);
        let mut ticket = Ticket {
            upstream: upstream.id.clone(),
            address: upstream.address,
            service: upstream.service.clone(),
            version: upstream.version.clone(),
            arm,
            route: route_hash(ask.route),
            settled: upstream.age(now) >= WARM_UP_TIME,
            backlog,
            engine_index: engines.index(upstream.hash),
            engines: engines.count(),
            order,
            due: now,
            taken: now,
            reading,
            model: ask.model.map(Into::into),
            begun: false,
        };
        self.take_place(&mut ticket, &links, now);
        Choice::Send(ticket)
    }

    /// The engines among `listed` that this daemon uses, as long as one of them can be used.
    fn in_window<'a>(
        &self,
        ask: &Ask<'_>,
        listed: Vec<&'a Upstream>,
        engines: &Circle,
        now: Instant,
    ) -> Vec<&'a Upstream> {
        if ask.prompt.is_none() {
            return listed;
        }
        let seat = self.own_seat(now);
        let used: Vec<&Upstream> = listed
            .iter()
            .copied()
            .filter(|u| seat.uses(engines.index(u.hash), engines.count()))
            .collect();
        let can_take = |u: &Upstream| {
            let tried = ask.tried.contains(&u.id);
            let running = u.running + self.peer_load(u).running;
            !tried && u.health.usable(now) && !u.is_cold(now) && running < u.slots
        };
        match used.iter().any(|u| can_take(u)) {
            true => used,
            false => listed,
        }
    }

    fn links(&self, ask: &Ask<'_>) -> Vec<Link> {
        let chain = |prompt| prefix::chain(ask.model.unwrap_or_default(), prompt);
        ask.prompt.map(chain).unwrap_or_default()
    }

    /// The time until an engine has read what it was sent, as far as all daemons know.
    fn wait(&self, upstream: &Upstream, now: Instant) -> Duration {
        upstream.queue.wait(now) + self.peer_load(upstream).overdue
    }

    fn peer_load(&self, upstream: &Upstream) -> PeerLoad {
        let load = self.peer_loads.get(&upstream.hash);
        load.copied().unwrap_or_default()
    }

    fn take_place(&mut self, ticket: &mut Ticket, links: &[Link], now: Instant) {
        let rate = self.cold_part(&ticket.upstream, &ticket.service, now);
        if let Some(upstream) = self.registry.get_mut(&ticket.upstream) {
            upstream.running += 1;
            ticket.due = upstream.queue.send(ticket.reading, now);
            if upstream.is_cold(now)
                && let Some(Part::Rate(rate)) = rate
            {
                upstream.pace.sent(rate, now);
            }
            self.prefixes.read(upstream.hash, links, now);
        }
        if let (Some(arm), Some(rollout)) = (ticket.arm, self.rollouts.get_mut(&ticket.service)) {
            rollout.running(arm, true);
        }
    }

    /// How long a cold upstream must wait for its next request: `Some(None)` if others use it.
    fn cold_wait(
        &self,
        upstream: &Upstream,
        service: Option<&Service>,
        now: Instant,
    ) -> Option<Option<Duration>> {
        let service = service.filter(|service| service.cold_rate > 0.0)?;
        match self.part_of(upstream, service, now) {
            Part::None => Some(None),
            Part::Rate(_) => {
                let wait = upstream.pace.wait(now);
                (!wait.is_zero()).then_some(Some(wait))
            }
        }
    }

    fn cold_part(&self, upstream: &str, service: &str, now: Instant) -> Option<Part> {
        let service = self.routes.as_ref()?.service(service)?;
        let upstream = self.registry.get(upstream)?;
        (service.cold_rate > 0.0).then(|| self.part_of(upstream, service, now))
    }

    fn part_of(&self, upstream: &Upstream, service: &Service, now: Instant) -> Part {
        let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), upstream.hash);
        let mine = weight(&self.me.name);
        let mut rank = 0;
        let mut daemons = 1;
        for name in self.peers.sharers(now) {
            daemons += 1;
            rank += usize::from(weight(name) > mine);
        }
        cold::part(service.cold_rate, rank, daemons)
    }

    fn reading(
        &self,
        ask: &Ask<'_>,
        upstream: &Upstream,
        links: &[Link],
        home: Option<u64>,
        now: Instant,
    ) -> Duration {
        let Some(prompt) = ask.prompt else {
            return Duration::ZERO;
        };
        let held = self.prefixes.held(upstream.hash, links, now);
        let assumed = match home {
            Some(home) if home == upstream.hash => links.last().map_or(0, |link| link.tokens),
            _ => 0,
        };
        let unread = prompt.tokens.saturating_sub(held.max(assumed));
        self.speeds.reading(ask.model.unwrap_or_default(), unread)
    }
}

/// The requests in all that plain upstreams queue for each that they run.
fn overbooking(service: Option<&Service>) -> u32 {
    match service {
        Some(service) if service.engine.is_some() => 1,
        _ => 3,
    }
}

/// The engine that all daemons expect to hold a chain that they have not sent themselves.
fn home_of(links: &[Link], listed: &[&Upstream]) -> Option<u64> {
    let chain = links.last()?.chain;
    listed
        .iter()
        .filter(|u| u.state == State::Ready)
        .map(|u| u.hash)
        .max_by_key(|hash| xxh3_64_with_seed(&hash.to_le_bytes(), chain))
}

fn route_hash(route: &str) -> u32 {
    let hash = xxh3_64(route.as_bytes());
    u32::try_from(hash >> 32).unwrap_or_default()
}
