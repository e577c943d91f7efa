//! Identifiers of requests and workers, shared by the dispatcher and its caller.

use serde::{Deserialize, Serialize};

/// Identifies a client request. Assigned by the caller and never reused during the dispatcher's lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u32);

/// Identifies a worker; unchanged when its process restarts. The number is opaque.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(pub u64);
