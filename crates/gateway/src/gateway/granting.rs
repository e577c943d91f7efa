//! Decides how much capacity each peer is granted, and when its grant is renewed.

use crate::{Action, LinkId, Time};

use super::Gateway;

/// Number of renewals of a grant within its term, so that one missed wake-up does not let it expire.
const RENEWALS_PER_TERM: u32 = 2;
/// A grant covers requests that arrive within this many terms: one may have been sent at the end of the first
/// term.
const GRACE_TERMS: u32 = 3;

impl Gateway {
    /// Sends a new grant on every inbound link whose grant is due for renewal, used up or withdrawn.
    ///
    /// An increase waits for the next renewal. A used-up grant is renewed early, and a withdrawal is sent at
    /// once.
    pub(super) fn renew_grants(&mut self, now: Time, actions: &mut Vec<Action>) {
        let total = if self.draining { 0 } else { self.load.grantable_slots(&self.config) };
        let listed: Vec<LinkId> = self
            .inbound_links
            .iter()
            .filter(|(_, link)| self.is_listed(link.site))
            .map(|(id, _)| *id)
            .collect();
        let term = self.config.grant_term;
        let early_renewal_window = term / (2 * RENEWALS_PER_TERM);
        for (&link, inbound) in &mut self.inbound_links {
            let position = listed.iter().position(|id| *id == link);
            let slots = position.map_or(0, |position| equal_share(total, listed.len(), position));
            let withdrawn = slots == 0 && inbound.granted_slots > 0;
            let renewal_due = slots > 0 && now >= inbound.renew_at;
            let used_up = slots > 0 && inbound.grant.unused() == 0;
            let early_renewal_due = used_up && now + early_renewal_window >= inbound.renew_at;
            if !withdrawn && !renewal_due && !early_renewal_due {
                continue;
            }
            let limit = inbound.grant.set(slots, now + GRACE_TERMS * term);
            inbound.granted_slots = slots;
            inbound.renew_at = now + term / RENEWALS_PER_TERM;
            let term = if slots > 0 { term } else { Time::ZERO };
            actions.push(Action::GrantCapacity { link, limit, term });
        }
    }
}

/// Returns the share of `total` for the peer at `position` among `peers`. The first peers get the remainder.
fn equal_share(total: u32, peers: usize, position: usize) -> u32 {
    let peers = peers.max(1) as u32;
    total / peers + u32::from((position as u32) < total % peers)
}
