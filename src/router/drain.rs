//! Draining: a router leaves the answers first, finishes all requests, then gives back its grants.

use std::time::Duration;

use slog::info;
use tokio::time::Instant;

use super::Router;

/// Time between two looks at what is left to do.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Tries to give back grants before they are left to be reclaimed.
const MAX_RETURN_TRIES: u32 = 40;

impl Router {
    /// Drains the router. Returns true when nothing was left behind.
    ///
    /// Callers keep the addresses that they were told for a while, so requests are served for
    /// that time after the router has left the answers, and until the last of them has ended.
    pub async fn drain(&self) -> bool {
        self.fleet.start_draining();
        self.greet_all().await;
        info!(self.log, "draining");
        let deadline = Instant::now() + Duration::from_millis(self.settings.drain_ms);
        tokio::time::sleep(Duration::from_millis(self.settings.address_ttl_ms)).await;
        while self.requests.running_count() > 0 && Instant::now() < deadline {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        let is_idle = self.requests.running_count() == 0;
        let is_returned = self.return_grants().await;
        let is_billed = self.biller.flush().await;
        self.biller.flush_kept().await;
        info!(self.log, "drained"; "idle" => is_idle, "returned" => is_returned,
            "billed" => is_billed);
        is_idle && is_returned && is_billed
    }

    async fn return_grants(&self) -> bool {
        for _ in 0..MAX_RETURN_TRIES {
            if self.spender.return_all().await {
                return true;
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        false
    }
}
