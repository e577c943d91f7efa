//! Where a request stands between this site and others, and the one function that changes it.

use crate::scheduling::RequestRecord;

/// What a request has to do with other sites.
#[derive(Debug)]
pub(in crate::server::engine) enum ForwardingState {
    /// Nothing: it is a request of this site, at this site.
    Local,
    /// It came from another site.
    Inbound,
    /// It is at another site, or is being offered to one.
    Outbound(OnReturn),
    /// It was, and came back unstarted; it is not forwarded again.
    Returned,
}

/// What happens to a forwarded request that comes back unstarted.
#[derive(Debug)]
pub(in crate::server::engine) enum OnReturn {
    /// The dispatcher resumes it from this record.
    Resume(Box<RequestRecord>),
    /// It is rejected: the dispatcher had rejected it before.
    Reject {
        /// The advice that goes with the rejection, in seconds.
        retry_after_s: f64,
    },
}

/// What happens to a request between this site and others.
#[derive(Debug)]
pub(in crate::server::engine) enum ForwardingChange {
    /// It is offered to the gateway, which forwards it now or not at all.
    Offered {
        /// See [`OnReturn::Reject`].
        retry_after_s: f64,
    },
    /// The gateway does not forward it.
    Kept,
    /// It is sent to another site.
    Forwarded(OnReturn),
    /// It has come back unstarted.
    Returned,
}

impl ForwardingState {
    /// Changes the state; gives what is to happen to a request that comes back. Nothing else changes it.
    pub(in crate::server::engine) fn change(&mut self, change: ForwardingChange) -> Option<OnReturn> {
        let before = std::mem::replace(self, ForwardingState::Returned);
        let (after, returned) = match (before, change) {
            (ForwardingState::Local, ForwardingChange::Offered { retry_after_s }) => {
                (ForwardingState::Outbound(OnReturn::Reject { retry_after_s }), None)
            }
            (ForwardingState::Local, ForwardingChange::Forwarded(on_return)) => {
                (ForwardingState::Outbound(on_return), None)
            }
            (ForwardingState::Local, ForwardingChange::Kept | ForwardingChange::Returned) => {
                (ForwardingState::Local, None)
            }
            // One that was offered is answered by whoever offered it.
            (ForwardingState::Outbound(OnReturn::Reject { .. }), ForwardingChange::Kept) => {
                (ForwardingState::Returned, None)
            }
            (ForwardingState::Outbound(on_return), ForwardingChange::Returned) => {
                (ForwardingState::Returned, Some(on_return))
            }
            (
                state @ ForwardingState::Outbound(OnReturn::Resume(_)),
                ForwardingChange::Offered { .. } | ForwardingChange::Kept | ForwardingChange::Forwarded(_),
            )
            | (
                state @ ForwardingState::Outbound(OnReturn::Reject { .. }),
                ForwardingChange::Offered { .. } | ForwardingChange::Forwarded(_),
            )
            | (
                state @ (ForwardingState::Inbound | ForwardingState::Returned),
                ForwardingChange::Offered { .. }
                | ForwardingChange::Kept
                | ForwardingChange::Forwarded(_)
                | ForwardingChange::Returned,
            ) => (state, None),
        };
        *self = after;
        returned
    }

    /// Whether it is a request of this site that was never forwarded.
    pub(in crate::server::engine) fn is_local(&self) -> bool {
        match self {
            ForwardingState::Local => true,
            ForwardingState::Inbound | ForwardingState::Outbound(_) | ForwardingState::Returned => false,
        }
    }

    /// Whether it came from another site.
    pub(in crate::server::engine) fn is_inbound(&self) -> bool {
        match self {
            ForwardingState::Inbound => true,
            ForwardingState::Local | ForwardingState::Outbound(_) | ForwardingState::Returned => false,
        }
    }

    /// Whether it is at another site.
    pub(in crate::server::engine) fn is_outbound(&self) -> bool {
        match self {
            ForwardingState::Outbound(_) => true,
            ForwardingState::Local | ForwardingState::Inbound | ForwardingState::Returned => false,
        }
    }

    /// Whether it hangs on a site link of this process, so that it cannot migrate.
    pub(in crate::server::engine) fn ends_with_this_process(&self) -> bool {
        self.is_inbound() || self.is_outbound()
    }
}

#[cfg(test)]
mod tests;
