//! Decides whether a request is forwarded, and on which link.
//!
//! Forwarding costs performance, so a request is forwarded only if it would otherwise be rejected or late,
//! and only if it can still finish in time at the other site.

use bytes::Bytes;

use crate::idempotency_store::KeyLocation;
use crate::{Candidate, Idempotency, LinkId, NotForwarded, SiteId, Time};

use super::links::OutboundLink;
use super::Gateway;

/// A link on which a candidate may be forwarded.
struct Route {
    link: LinkId,
    round_trip: Time,
}

impl Gateway {
    /// Returns the link on which to forward a candidate, or the reason not to.
    ///
    /// A candidate whose key is bound to another site must not run here. It is forwarded to that site even if
    /// this site has free capacity, and even if it will start late there.
    pub(super) fn route(&self, now: Time, candidate: &Candidate) -> Result<LinkId, NotForwarded> {
        if self.draining {
            return Err(NotForwarded::Draining);
        }
        if candidate.forwarded_before || self.forwarded_by_request.contains_key(&candidate.request) {
            return Err(NotForwarded::ForwardedBefore);
        }
        let key = match &candidate.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::WithKey { key, .. } => Some(key),
            Idempotency::NonIdempotent => return Err(NotForwarded::NonIdempotent),
        };
        let is_bound = key.is_some_and(|key| self.bound_elsewhere(now, key));
        let beyond_quota = !candidate.within_quota && !self.config.forward_over_quota;
        if !is_bound && beyond_quota {
            return Err(NotForwarded::OverQuota);
        }
        if !is_bound && !self.load.may_forward(now, &self.config) {
            return Err(NotForwarded::LocalCapacity);
        }
        self.nearest_route(now, candidate, key, is_bound).map(|route| route.link)
    }

    /// Returns the nearest site that can take the candidate. Forwarding costs the same everywhere, so the
    /// nearest site is best. If there is none, the reason is that of the last site that had capacity.
    fn nearest_route(
        &self,
        now: Time,
        candidate: &Candidate,
        key: Option<&Bytes>,
        is_bound: bool,
    ) -> Result<Route, NotForwarded> {
        let location = key.and_then(|key| self.keys.location(now, key));
        let mut reason =
            if is_bound { NotForwarded::KeyBoundElsewhere } else { NotForwarded::NoPeerCapacity };
        let mut nearest: Option<Route> = None;
        for (&link, outbound) in &self.outbound_links {
            let Some(round_trip) = outbound.round_trip else { continue };
            if !self.has_capacity(now, outbound, candidate) {
                continue;
            }
            if !self.key_may_run_at(location, outbound.site) {
                reason = NotForwarded::KeyBoundElsewhere;
                continue;
            }
            if let Err(timing_reason) = self.check_timing(candidate, round_trip, is_bound) {
                reason = timing_reason;
                continue;
            }
            if nearest.as_ref().is_none_or(|nearest| round_trip < nearest.round_trip) {
                nearest = Some(Route { link, round_trip });
            }
        }
        nearest.ok_or(reason)
    }

    /// Returns whether the site of a link is listed, is below its limit of open requests, and has granted
    /// enough capacity for a candidate.
    fn has_capacity(&self, now: Time, link: &OutboundLink, candidate: &Candidate) -> bool {
        let below_open_limit = link.open < self.sites[usize::from(link.site.0)].max_open_requests;
        let enough_credit = link.credit.available(now) >= u64::from(candidate.slots);
        below_open_limit && enough_credit && self.is_listed(link.site)
    }

    /// Returns whether a key may run at a site, given where it may already have run.
    fn key_may_run_at(&self, location: Option<KeyLocation>, site: SiteId) -> bool {
        match location {
            None => true,
            Some(KeyLocation::Local) => self.shares_keys(site),
            Some(KeyLocation::Remote(other)) => {
                site == other || self.shares_keys(site) && self.shares_keys(other)
            }
            Some(KeyLocation::Unknown) => false,
        }
    }

    /// Checks that forwarding on a link with this round trip is neither too early nor too late.
    fn check_timing(
        &self,
        candidate: &Candidate,
        round_trip: Time,
        is_bound: bool,
    ) -> Result<(), NotForwarded> {
        let cost = round_trip / 2 + self.config.forwarding_margin;
        let is_urgent = candidate.start_in <= cost + self.config.forwarding_lead
            || self.load.backlog_exceeds(candidate.start_in);
        if !is_urgent && !candidate.rejected && !is_bound {
            return Err(NotForwarded::CanStillWait);
        }
        let starts_in_time = candidate.start_in > cost || is_bound;
        let answer_in_time = candidate.time_left > round_trip + self.config.forwarding_margin;
        if !starts_in_time || !answer_in_time {
            return Err(NotForwarded::TooLate);
        }
        Ok(())
    }
}
