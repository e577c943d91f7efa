//! Evicts connections that are receiving a message when the memory for messages runs short.

use std::rc::Rc;

use tokio::task::yield_now;

use super::Frontend;

impl Frontend {
    /// Keeps memory free for further messages until the process exits.
    pub async fn reclaim_memory(self: Rc<Self>) {
        loop {
            self.memory.short().await;
            self.evict_for_memory();
            yield_now().await; // lets the evicted connections free their memory
        }
    }

    fn evict_for_memory(&self) {
        let excess = self.memory.excess();
        if excess > 0 {
            self.eviction_candidates.evict_for_memory(excess);
        }
    }

    /// Counts a message that is not received for lack of memory.
    pub(super) fn count_memory_shortage(&self) {
        if self.counters.rejected_for_memory.add().is_power_of_two() {
            let (in_use, limit) = (self.memory.used(), self.memory.limit());
            tracing::warn!(in_use, limit, "memory for messages is short");
        }
    }
}
