//! Identifiers of sites, links, processes and requests.

use std::time::Duration;

/// Time elapsed since an instant chosen by the caller. It must not run backwards.
pub type Time = Duration;

/// Identifies a peer site for the lifetime of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SiteId(pub u16);

/// Identifies one connection to or from a peer site. IDs are not reused after the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Identifies one run of a process. A restarted process has a new incarnation and no state from the previous
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// Identifies a forwarded request. IDs increase within one incarnation of the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ForwardedRequestId(pub u64);

/// Identifies a request in this process, whether or not it is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LocalRequestId(pub u32);

/// Identifies a forwarded request at its receiver. Unique across sites and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// The site that forwarded the request.
    pub site: SiteId,
    /// The incarnation of the process that forwarded it.
    pub incarnation: Incarnation,
    /// The ID assigned by the sender.
    pub forwarded: ForwardedRequestId,
}
