//! Numbers by which the caller and the decisions name requests and workers.

use serde::{Deserialize, Serialize};

/// A client request, as the caller numbers it; never reused while the dispatcher lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u32);

/// A worker; the same id after its process restarts. The number itself carries no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkerId(pub u64);
