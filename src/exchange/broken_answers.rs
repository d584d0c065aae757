//! What a run does when an answer breaks off, or ends without its end being stated.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::chosen_replica::ChosenReplica;
use super::pools::Incarnation;
use super::request::{BodyEnd, BrokenBody};
use super::run::Run;
use super::server_crashes::{LostConnection, ServerState};

/// Timeout for finding out whether a replica crashed, before the request is retried elsewhere.
const INVESTIGATION_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for which a server may accept no connection after an answer without a stated end, before
/// that answer counts as broken off, whatever the probe under way finds later. Shorter than the
/// restart of a server that crashed, which would accept connections again.
const END_CHECK_PATIENCE: Duration = Duration::from_millis(1_500);
/// Delay of a retry after a server crashed, so that other routers' reports of servers that crashed
/// while running the same request arrive first.
const PEER_REPORT_DELAY: Duration = Duration::from_millis(30);

impl Run {
    /// Starts to find out whether a replica crashed with this request in progress. A retryable
    /// request waits briefly for the result.
    pub(super) async fn investigate_lost_connection(&self, chosen: &ChosenReplica) {
        let investigation = self.start_investigation(chosen, Duration::ZERO);
        if self.route.kind.may_retry() {
            // The spawned task records evidence that appears after this timeout.
            let finding = tokio::time::timeout(INVESTIGATION_TIMEOUT, investigation).await;
            if matches!(finding, Ok(Ok(ServerState::Crashed))) {
                tokio::time::sleep(PEER_REPORT_DELAY).await;
            }
        }
    }

    /// Checks that an answer is whole whose end was received. A server that closed the connection
    /// without stating the end sent the whole answer if it is still there.
    ///
    /// # Errors
    ///
    /// Fails if the server crashed or cannot be reached.
    pub(super) async fn check_end(
        &self,
        end: BodyEnd,
        chosen: &ChosenReplica,
    ) -> Result<(), BrokenBody> {
        if end == BodyEnd::Stated {
            return Ok(());
        }
        let latest = self.deadline.min(Instant::now() + END_CHECK_PATIENCE);
        let investigation = self.start_investigation(chosen, END_CHECK_PATIENCE);
        let state = match tokio::time::timeout_at(latest, investigation).await {
            Ok(Ok(state)) => state,
            Ok(Err(_)) | Err(_) => ServerState::Unknown,
        };
        let reason = match state {
            ServerState::Listening => return Ok(()),
            ServerState::Crashed => "end not stated, and the server crashed",
            ServerState::Unknown => "end not stated, and the server cannot be reached",
        };
        if state == ServerState::Crashed && self.route.kind.may_retry() {
            tokio::time::sleep(PEER_REPORT_DELAY).await;
        }
        Err(BrokenBody {
            reason: reason.into(),
            is_connection_lost: false,
        })
    }

    fn start_investigation(
        &self,
        chosen: &ChosenReplica,
        patience: Duration,
    ) -> JoinHandle<ServerState> {
        let lost = LostConnection {
            fingerprint: self.fingerprint,
            request: self.request.attempt.clone(),
            replica: chosen.replica.clone(),
            incarnation: Incarnation {
                born_ms: chosen.key.born_ms,
            },
            ran: chosen.chosen_at.elapsed(),
            waiting_parts: if self.has_first_token {
                Arc::default()
            } else {
                Arc::clone(&self.parts)
            },
        };
        self.exchange.server_crashes.investigate(lost, patience)
    }

    /// Records that a replica sent the first event of a stream.
    pub(super) fn record_first_token(&mut self, chosen: &mut ChosenReplica) {
        chosen.record_first_token();
        if !self.has_first_token {
            self.has_first_token = true;
            let suspects = &self.exchange.suspects;
            suspects.parts().record_first_token(&self.parts);
        }
    }

    /// Records that a stream left a silent replica, and finds out later whether that one crashed.
    pub(super) fn record_left(&mut self, chosen: &ChosenReplica) {
        chosen.record_failure();
        self.record
            .add_try(chosen.replica.id.as_str(), "left, silent in mid-stream");
        drop(self.start_investigation(chosen, Duration::ZERO));
    }

    /// Records that an answer broke off, and whether its server crashed.
    pub(super) async fn record_broken(&mut self, chosen: &ChosenReplica, error: &BrokenBody) {
        chosen.record_failure();
        self.record.add_try(chosen.replica.id.as_str(), error);
        if error.is_connection_lost {
            self.investigate_lost_connection(chosen).await;
        }
    }
}
