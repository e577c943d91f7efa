//! Identifiers of sites, links, processes and requests.

use std::time::Duration;

/// Time since a start that the caller chooses; it must not run backwards.
pub type Time = Duration;

/// A peer site. Its number stays for as long as the process lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u16);

/// One connection to or from a peer site. The number is never used again after the connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// One run of a process. A restarted process has another incarnation and remembers nothing of the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// A forwarded request, numbered in growing order by the incarnation that sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ForwardedRequestId(pub u64);

/// A request of this process, whether or not it is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LocalRequestId(pub u32);

/// The name under which the receiver knows a forwarded request. It is unique across sites and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// The site that forwarded it.
    pub site: SiteId,
    /// The incarnation of the process there.
    pub incarnation: Incarnation,
    /// Its number there.
    pub forwarded: ForwardedRequestId,
}
