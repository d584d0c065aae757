//! Draining: a router withdraws its address first, finishes all requests, then returns its grants.

use std::time::Duration;

use slog::info;
use tokio::time::Instant;

use super::Router;

/// Poll interval while draining.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of attempts to return grants before they are left to be reclaimed.
const MAX_RETURN_ATTEMPTS: u32 = 40;

impl Router {
    /// Drains the router. Returns true if no request, grant or unwritten bill remains.
    ///
    /// Callers cache addresses, so the router serves requests for `address_ttl_ms` after it has
    /// withdrawn its address, and until the last of them has ended or `drain_ms` has passed.
    pub async fn drain(&self) -> bool {
        self.fleet.start_draining();
        self.send_greetings().await;
        info!(self.log, "draining");
        let deadline = Instant::now() + Duration::from_millis(self.settings.drain_ms);
        tokio::time::sleep(Duration::from_millis(self.settings.address_ttl_ms)).await;
        while self.requests.running_count() > 0 && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let is_idle = self.requests.running_count() == 0;
        let is_returned = self.return_grants().await;
        let is_billed = self.biller.flush().await;
        self.biller.flush_backups().await;
        info!(self.log, "drained"; "idle" => is_idle, "returned" => is_returned,
            "billed" => is_billed);
        is_idle && is_returned && is_billed
    }

    async fn return_grants(&self) -> bool {
        for _ in 0..MAX_RETURN_ATTEMPTS {
            if self.spender.return_all().await {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }
}
