//! The router's side of peer calls: implements [`PeerRouter`].

use async_trait::async_trait;

use super::Router;
use crate::accepted::ListsDelta;
use crate::core::bill::Bill;
use crate::core::ids::{BudgetId, HolderId, RequestId, TeamId};
use crate::core::ledger::Generation;
use crate::core::suspect_reservations::ReservationOutcome;
use crate::core::witness::WitnessRecord;
use crate::peer::{
    Greeting, HorizonExtension, PeerError, PeerRouter, RequestLookup, ReservationCall, Transfer,
    TransferRequest,
};
use crate::util::lock;

impl Router {
    fn check_process(&self, wanted: HolderId) -> Result<(), PeerError> {
        if wanted == self.holder() {
            return Ok(());
        }
        let address = self.settings.peer_address();
        Err(PeerError::OtherProcess { address, wanted })
    }
}

#[async_trait]
impl PeerRouter for Router {
    async fn hello(&self, greeting: Greeting) -> Result<Greeting, PeerError> {
        self.record_greeting(&greeting);
        Ok(self.greeting())
    }

    async fn extend(
        &self,
        witness: HolderId,
        horizons: Vec<HorizonExtension>,
    ) -> Result<Vec<WitnessRecord>, PeerError> {
        self.check_process(witness)?;
        let mut records = lock(&self.witness);
        let extend = |horizon: &HorizonExtension| {
            records.extend(horizon.holder, &horizon.budget, horizon.horizon_tokens)
        };
        Ok(horizons.iter().map(extend).collect())
    }

    async fn seal(
        &self,
        witness: HolderId,
        holder: HolderId,
        budget: BudgetId,
    ) -> Result<WitnessRecord, PeerError> {
        self.check_process(witness)?;
        Ok(lock(&self.witness).seal(holder, &budget))
    }

    async fn keep_bills(
        &self,
        holder: HolderId,
        flushed_through: u64,
        bills: Vec<Bill>,
    ) -> Result<(), PeerError> {
        self.biller.store_backup(holder, flushed_through, bills);
        Ok(())
    }

    async fn take_tokens(&self, transfer_request: TransferRequest) -> Result<Transfer, PeerError> {
        Ok(self.spender.send_tokens(&transfer_request).await)
    }

    async fn lists_since(&self, generation: Generation) -> Result<ListsDelta, PeerError> {
        Ok(self.configuration.lists().delta_since(generation))
    }

    async fn find_request(
        &self,
        team: TeamId,
        request: RequestId,
    ) -> Result<RequestLookup, PeerError> {
        Ok(self.requests.find(&team, &request))
    }

    async fn reserve_replica(
        &self,
        call: ReservationCall,
    ) -> Result<ReservationOutcome, PeerError> {
        Ok(self.handle_reservation_call(&call))
    }
}
