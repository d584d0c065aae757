//! Handing tokens from holder to holder.

use std::time::Duration;

use slog::debug;
use tokio::time::Instant;

use super::Spender;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::units::Tokens;
use crate::peer::{Transfer, TransferWish};
use crate::router::fleet::Member;

/// Longest wait for one peer.
const PEER_WAIT: Duration = Duration::from_millis(500);
/// Peers asked before a request is refused.
const MAX_PEERS_ASKED: usize = 8;

impl Spender {
    /// Debits tokens for another router's holder, as far as they can be spared.
    pub async fn give(&self, wish: &TransferWish) -> Transfer {
        let budget = &wish.budget;
        let needs_horizon = self.with_account(budget, |account| {
            let holder = account.holder();
            let spendable_tokens = holder.spendable_tokens();
            spendable_tokens < wish.wanted_tokens && holder.free_tokens() > spendable_tokens
        });
        if needs_horizon {
            let deadline = Instant::now() + PEER_WAIT;
            let reachable = self.with_account(budget, |account| account.holder().free_tokens());
            let needed_tokens = wish.wanted_tokens.min(reachable);
            self.extend_for(budget, needed_tokens, deadline).await;
        }
        self.with_account(budget, |account| {
            let sender = account.holder().id();
            let known = wish.sender == Some(sender);
            let received_tokens = if known {
                wish.received_tokens
            } else {
                Tokens::ZERO
            };
            let total_tokens =
                account
                    .holder_mut()
                    .send(wish.receiver, received_tokens, wish.wanted_tokens);
            Transfer {
                sender,
                total_tokens,
            }
        })
    }

    /// Asks other holders for what one request lacks.
    pub(super) async fn take_from_peers(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
        deadline: Instant,
    ) {
        for member in self.peers_to_ask(budget) {
            let lacking_tokens = self.lacking_tokens(budget, tokens);
            if lacking_tokens == Tokens::ZERO || Instant::now() >= deadline {
                return;
            }
            self.take_from(budget, &member, lacking_tokens).await;
        }
    }

    async fn take_from(&self, budget: &BudgetId, member: &Member, wanted_tokens: Tokens) {
        let Some(process) = member.holder else {
            return;
        };
        let wish = self.with_account(budget, |account| TransferWish {
            receiver: account.holder().id(),
            budget: budget.clone(),
            sender: account.sender_of(process),
            received_tokens: account.received_from_process(process),
            wanted_tokens,
        });
        let receiver = wish.receiver;
        let peer = self.parts.network.peer(member.peer_address);
        let answer = tokio::time::timeout(PEER_WAIT, peer.take_tokens(wish)).await;
        let Ok(Ok(transfer)) = answer else {
            return;
        };
        debug!(self.parts.log, "tokens received from a peer"; "budget" => budget.as_str(),
            "sender" => transfer.sender.to_string(), "total_tokens" => transfer.total_tokens.get());
        self.with_account(budget, |account| {
            account.receive(receiver, transfer.sender, transfer.total_tokens);
        });
    }

    fn lacking_tokens(&self, budget: &BudgetId, tokens: Tokens) -> Tokens {
        self.with_account(budget, |account| tokens - account.holder().free_tokens())
    }

    fn peers_to_ask(&self, budget: &BudgetId) -> Vec<Member> {
        let known: Vec<HolderId> = self.with_account(budget, |account| {
            account
                .others()
                .iter()
                .map(|other| other.holder.process())
                .collect()
        });
        let mut members = self.parts.fleet.members();
        members.retain(Member::is_reachable);
        let rank = |member: &Member| {
            let place = known
                .iter()
                .position(|holder| member.holder == Some(*holder));
            place.unwrap_or(usize::MAX)
        };
        members.sort_by_key(rank);
        members.truncate(MAX_PEERS_ASKED);
        members
    }
}
