//! The forwarding state of a request and the single function that changes it.

use crate::scheduling::RequestRecord;

/// Whether a request was received from, or forwarded to, another site.
#[derive(Debug)]
pub(in crate::server::engine) enum ForwardingState {
    /// A request of this site that has not been forwarded.
    Local,
    /// Received from another site.
    Inbound,
    /// At another site, or being offered to one.
    Outbound(OnReturn),
    /// Returned unstarted by another site, or offered and not forwarded. It is not forwarded again.
    Returned,
}

/// How to handle a forwarded request that is returned unstarted.
#[derive(Debug)]
pub(in crate::server::engine) enum OnReturn {
    /// The dispatcher resumes it from this record.
    Resume(Box<RequestRecord>),
    /// The request is rejected, because the dispatcher does not have it.
    Reject {
        /// Retry-After of the rejection, in seconds.
        retry_after_s: f64,
    },
}

/// A transition of the forwarding state of a request.
#[derive(Debug)]
pub(in crate::server::engine) enum ForwardingTransition {
    /// Offered to the gateway, which forwards it immediately or not at all.
    Offered {
        /// See [`OnReturn::Reject`].
        retry_after_s: f64,
    },
    /// The gateway does not forward it.
    KeptLocal,
    /// Sent to another site.
    Forwarded(OnReturn),
    /// Returned unstarted by another site.
    Returned,
}

impl ForwardingState {
    /// Applies a transition. Returns how to handle a request that is returned. Nothing else modifies the state.
    pub(in crate::server::engine) fn advance(
        &mut self,
        transition: ForwardingTransition,
    ) -> Option<OnReturn> {
        let before = std::mem::replace(self, ForwardingState::Returned);
        let (after, returned) = match (before, transition) {
            (ForwardingState::Local, ForwardingTransition::Offered { retry_after_s }) => {
                (ForwardingState::Outbound(OnReturn::Reject { retry_after_s }), None)
            }
            (ForwardingState::Local, ForwardingTransition::Forwarded(on_return)) => {
                (ForwardingState::Outbound(on_return), None)
            }
            (ForwardingState::Local, ForwardingTransition::KeptLocal | ForwardingTransition::Returned) => {
                (ForwardingState::Local, None)
            }
            // The caller that offered the request answers it.
            (ForwardingState::Outbound(OnReturn::Reject { .. }), ForwardingTransition::KeptLocal) => {
                (ForwardingState::Returned, None)
            }
            (ForwardingState::Outbound(on_return), ForwardingTransition::Returned) => {
                (ForwardingState::Returned, Some(on_return))
            }
            (
                state @ ForwardingState::Outbound(OnReturn::Resume(_)),
                ForwardingTransition::Offered { .. }
                | ForwardingTransition::KeptLocal
                | ForwardingTransition::Forwarded(_),
            )
            | (
                state @ ForwardingState::Outbound(OnReturn::Reject { .. }),
                ForwardingTransition::Offered { .. } | ForwardingTransition::Forwarded(_),
            )
            | (
                state @ (ForwardingState::Inbound | ForwardingState::Returned),
                ForwardingTransition::Offered { .. }
                | ForwardingTransition::KeptLocal
                | ForwardingTransition::Forwarded(_)
                | ForwardingTransition::Returned,
            ) => (state, None),
        };
        *self = after;
        returned
    }

    /// Returns whether this is a request of this site that has not been forwarded.
    pub(in crate::server::engine) fn is_local(&self) -> bool {
        match self {
            ForwardingState::Local => true,
            ForwardingState::Inbound | ForwardingState::Outbound(_) | ForwardingState::Returned => false,
        }
    }

    /// Returns whether the request came from another site.
    pub(in crate::server::engine) fn is_inbound(&self) -> bool {
        match self {
            ForwardingState::Inbound => true,
            ForwardingState::Local | ForwardingState::Outbound(_) | ForwardingState::Returned => false,
        }
    }

    /// Returns whether the request is at another site.
    pub(in crate::server::engine) fn is_outbound(&self) -> bool {
        match self {
            ForwardingState::Outbound(_) => true,
            ForwardingState::Local | ForwardingState::Inbound | ForwardingState::Returned => false,
        }
    }

    /// Returns whether the request depends on a site link of this process and so cannot migrate.
    pub(in crate::server::engine) fn depends_on_site_link(&self) -> bool {
        self.is_inbound() || self.is_outbound()
    }
}

#[cfg(test)]
mod tests;
