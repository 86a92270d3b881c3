//! This daemon's share of the slots of a full service, and how it uses it.

use std::time::Instant;

use platform::{ServiceName, UpstreamId};

use crate::coordination::dispatch::{
    Dispatcher, Placement, PlacementRequest, assignment::NoSlotReason, registry::Upstream,
    waiting::MIN_RETRY_AFTER,
};

/// Fraction of the slots in use from which a service that was full still counts as full.
const CROWDED_FRACTION: f64 = 0.9;
/// Weight of the newest counts in a daemon's share; those of one second are few in a large fleet.
const SHARE_WEIGHT: f64 = 0.2;

impl Dispatcher {
    /// Places a request within this daemon's share of the slots.
    ///
    /// Load pattern: all daemons of a large fleet see a free slot at the same time, as what they know of
    /// one another is up to a second old, and the upstream has to refuse most of what they send.
    pub(super) fn select_in_share(
        &mut self,
        request: &PlacementRequest<'_>,
        is_tight: bool,
        now: Instant,
    ) -> Placement {
        let running = self.own_running(request.service);
        let queue = self.service_queue(request.service);
        let is_limited = queue.share.is_some() && running >= queue.max_running(is_tight, now);
        if queue.counts.is_full(now) {
            if is_limited {
                if self.is_crowded(request.service, now) {
                    self.service_queue(request.service).counts.record_full(now);
                }
                return Placement::Refuse(NoSlotReason::AllFull, MIN_RETRY_AFTER);
            }
            if let Some(placement) = self.select_released(request, now) {
                return placement;
            }
            // An upstream that seems to have room has just refused the request. The next one would, too.
            if !request.tried.is_empty() && running > 0 {
                return Placement::Refuse(NoSlotReason::AllFull, MIN_RETRY_AFTER);
            }
        }
        let placement = self.select_upstream(request, now);
        if let Placement::Refuse(NoSlotReason::AllFull, _) = placement {
            self.service_queue(request.service).counts.record_full(now);
        }
        placement
    }

    /// Places a request on an upstream on which this daemon has just released a slot. Other daemons do not
    /// know of that slot yet, so this one does not have to compete for it.
    fn select_released(
        &mut self,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> Option<Placement> {
        let may_use = |u: &&Upstream| {
            u.released.has_any(now) && u.health.is_usable(now) && !request.tried.contains(&u.id)
        };
        let released = self.listed(request.service, now).find(may_use)?.id.clone();
        let others = self.registry.of_service(request.service);
        let others = others.filter(|u| u.id != released).map(|u| u.id.clone());
        let tried: Vec<UpstreamId> = others.collect();
        let request = PlacementRequest {
            tried: &tried,
            ..*request
        };
        let placement = self.select_upstream(&request, now);
        matches!(placement, Placement::Assigned(_)).then_some(placement)
    }

    /// Returns whether most slots of a service are in use, as far as is known.
    fn is_crowded(&self, service: &str, now: Instant) -> bool {
        let (running, slots) = self
            .listed(service, now)
            .fold((0, 0), |(running, slots), u| {
                (running + self.running(u), slots + u.slots)
            });
        f64::from(running) >= f64::from(slots) * CROWDED_FRACTION
    }

    /// Updates this daemon's shares of the slots of full services, in proportion to the admitted demand.
    pub(super) fn update_shares(&mut self, now: Instant) {
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            let newest = self.share(&service, now);
            let queue = self.service_queue(&service);
            queue.share = newest.map(|newest| {
                let known = queue.share.unwrap_or(newest);
                known + SHARE_WEIGHT * (newest - known)
            });
            if let Some(share) = queue.share {
                queue.limit.set_share(share);
            }
        }
    }

    /// Returns this daemon's share of the slots; `None` if the service is not full.
    fn share(&self, service: &str, now: Instant) -> Option<f64> {
        let own = self.overload_report(service, now)?;
        let level = self.admission_level(service, now);
        let others = self.reports_of_others(service, now);
        let total: f64 = others.map(|(r, _)| r.admitted_ms(level.as_ref())).sum();
        let own = own.admitted_ms(level.as_ref()).max(1.0);
        let slots: u32 = self.listed(service, now).map(|u| u.slots).sum();
        Some(f64::from(slots) * own / (own + total))
    }
}
