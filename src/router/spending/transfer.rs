//! Token transfers between holders.

use std::time::Duration;

use slog::debug;
use tokio::time::Instant;

use super::Spender;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::units::Tokens;
use crate::peer::{Transfer, TransferRequest};
use crate::router::fleet::Member;

/// Timeout for a call to one peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of peers asked for tokens before a request is refused.
const MAX_TRANSFER_PEERS: usize = 8;

impl Spender {
    /// Debits tokens in favour of another router's holder, up to what this holder can spend.
    pub async fn send_tokens(&self, transfer_request: &TransferRequest) -> Transfer {
        let budget = &transfer_request.budget;
        let needs_horizon = self.with_account(budget, |account| {
            let holder = account.holder();
            let spendable_tokens = holder.spendable_tokens();
            spendable_tokens < transfer_request.wanted_tokens
                && holder.free_tokens() > spendable_tokens
        });
        if needs_horizon {
            let deadline = Instant::now() + PEER_TIMEOUT;
            let free_tokens = self.with_account(budget, |account| account.holder().free_tokens());
            let needed_tokens = transfer_request.wanted_tokens.min(free_tokens);
            self.extend_horizon(budget, needed_tokens, deadline).await;
        }
        self.with_account(budget, |account| {
            let sender = account.holder().id();
            let is_same_sender = transfer_request.sender == Some(sender);
            let received_tokens = if is_same_sender {
                transfer_request.received_tokens
            } else {
                Tokens::ZERO
            };
            let total_tokens = account.holder_mut().send(
                transfer_request.receiver,
                received_tokens,
                transfer_request.wanted_tokens,
            );
            Transfer {
                sender,
                total_tokens,
            }
        })
    }

    /// Requests the tokens that one request lacks from other holders.
    pub(super) async fn request_tokens_from_peers(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
        deadline: Instant,
    ) {
        for member in self.transfer_candidates(budget) {
            let deficit_tokens = self.deficit_tokens(budget, tokens);
            if deficit_tokens == Tokens::ZERO || Instant::now() >= deadline {
                return;
            }
            self.request_tokens_from(budget, &member, deficit_tokens)
                .await;
        }
    }

    async fn request_tokens_from(&self, budget: &BudgetId, member: &Member, wanted_tokens: Tokens) {
        let Some(process) = member.holder else {
            return;
        };
        let transfer_request = self.with_account(budget, |account| TransferRequest {
            receiver: account.holder().id(),
            budget: budget.clone(),
            sender: account.sender_of(process),
            received_tokens: account.received_from_process(process),
            wanted_tokens,
        });
        let receiver = transfer_request.receiver;
        let peer = self.deps.network.peer(member.peer_address);
        let answer = tokio::time::timeout(PEER_TIMEOUT, peer.take_tokens(transfer_request)).await;
        let Ok(Ok(transfer)) = answer else {
            return;
        };
        debug!(self.deps.log, "tokens received from a peer"; "budget" => budget.as_str(),
            "sender" => transfer.sender.to_string(), "total_tokens" => transfer.total_tokens.get());
        self.with_account(budget, |account| {
            account.receive(receiver, transfer.sender, transfer.total_tokens);
        });
    }

    fn deficit_tokens(&self, budget: &BudgetId, tokens: Tokens) -> Tokens {
        self.with_account(budget, |account| tokens - account.holder().free_tokens())
    }

    fn transfer_candidates(&self, budget: &BudgetId) -> Vec<Member> {
        let known_holders: Vec<HolderId> = self.with_account(budget, |account| {
            account
                .others()
                .iter()
                .map(|other| other.holder.process())
                .collect()
        });
        let mut members = self.deps.fleet.members();
        members.retain(Member::is_reachable);
        let position_of = |member: &Member| {
            let position = known_holders
                .iter()
                .position(|holder| member.holder == Some(*holder));
            position.unwrap_or(usize::MAX)
        };
        members.sort_by_key(position_of);
        members.truncate(MAX_TRANSFER_PEERS);
        members
    }
}
