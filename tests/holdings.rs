//! Token transfers between routers during partitions from the ledger and at the end of a budget,
//! and the bound on spending: no transfer, message loss or crash lets more be spent than was paid.

use std::collections::BTreeMap;

use currantlever::{
    BudgetEntry, FleetHoldings, Holder, HolderId, RouterHoldings, Tokens, UpdateParams, WitnessSet,
};
use quickcheck::quickcheck;

const PAID: Tokens = Tokens::new(10_000);

fn holdings(free: u64, demand: [u64; 3]) -> RouterHoldings {
    RouterHoldings {
        free_tokens: Tokens::new(free),
        demand_tokens_per_s: demand,
        ..RouterHoldings::default()
    }
}

fn fleet(holdings: &[RouterHoldings]) -> FleetHoldings {
    let mut fleet = FleetHoldings::default();
    for holdings in holdings {
        fleet.add(holdings);
    }
    fleet
}

/// Guards against refusals while other routers still have tokens. Two of nine routers receive seven
/// tenths of the demand, and all are partitioned from the ledger for eight seconds.
#[test]
fn uneven_demand_in_a_partition_of_all_routers_is_served_by_transfers() {
    const PARTITION_S: u64 = 8;
    let demands = [700, 700, 86, 86, 86, 86, 86, 86, 84];
    let request = Tokens::new(50);
    // Covers for even demand: ten seconds of the total, spread evenly.
    let all_demand: u64 = demands.iter().sum();
    let mut holdings: Vec<RouterHoldings> = demands
        .iter()
        .map(|demand| holdings(all_demand * 10 / 9, [*demand, 0, 0]))
        .collect();
    let (mut refused, mut refused_without_transfers) = (0, 0);
    for demand in demands {
        let request_count = demand * PARTITION_S / 50;
        let affordable_count = all_demand * 10 / 9 / 50;
        refused_without_transfers += request_count.saturating_sub(affordable_count);
    }
    for step in 0..PARTITION_S * 10 {
        for index in 0..holdings.len() {
            let requests_by = |steps: u64| demands[index] * steps / 10 / 50;
            for _ in requests_by(step)..requests_by(step + 1) {
                if holdings[index].free_tokens < request {
                    let wanted = holdings[index].wanted_tokens(request);
                    let others = (0..holdings.len()).filter(|other| *other != index);
                    let sender = others.max_by_key(|other| holdings[*other].free_tokens);
                    let sender = sender.unwrap();
                    let needed = request - holdings[index].free_tokens;
                    let transferred = holdings[sender].transfer_tokens(needed, wanted);
                    holdings[sender].free_tokens -= transferred;
                    holdings[index].free_tokens += transferred;
                }
                if holdings[index].free_tokens < request {
                    refused += 1;
                } else {
                    holdings[index].free_tokens -= request;
                }
            }
        }
    }
    assert_eq!(refused, 0);
    assert!(
        refused_without_transfers > 100,
        "{refused_without_transfers}"
    );
}

#[test]
fn tokens_in_a_partition_are_kept_for_requests_of_higher_priority() {
    let fleet = fleet(&[holdings(4_000, [0, 0, 500]), holdings(4_000, [500, 500, 0])]);
    assert_eq!(fleet.higher_priority_tokens(0, 8.0), Tokens::ZERO);
    assert_eq!(fleet.higher_priority_tokens(1, 8.0), Tokens::new(4_000));
    assert_eq!(fleet.higher_priority_tokens(2, 8.0), Tokens::new(8_000));
    assert!(fleet.admits(0, Tokens::new(8_000), 8.0));
    assert!(fleet.admits(1, Tokens::new(4_000), 8.0));
    assert!(!fleet.admits(2, Tokens::new(1), 8.0));
    assert!(fleet.admits(2, Tokens::new(1), 7.0));
}

#[test]
fn a_router_transfers_what_the_request_of_another_needs() {
    let idle = holdings(50_000, [100, 0, 0]);
    let all = idle.transfer_tokens(Tokens::new(49_900), Tokens::new(49_900));
    assert_eq!(all, Tokens::new(49_900));
    let beyond = idle.transfer_tokens(Tokens::new(1_000), Tokens::new(49_900));
    assert_eq!(beyond, Tokens::new(25_000));
}

#[test]
fn a_row_that_returned_received_tokens_is_folded_without_loss() {
    let mut entry = BudgetEntry::default();
    let mut fleet = Fleet::new(2);
    fleet.update(0, &mut entry, 600, 0);
    fleet.transfer(0, 1, 500, Delivery::Once);
    fleet.update(1, &mut entry, 0, 500);
    assert_eq!(entry.charged_tokens(), Tokens::new(100));
    for index in [1, 0] {
        entry.fold(fleet.holders[index].id());
    }
    assert_eq!(entry.charged_tokens(), Tokens::new(100));
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Once,
    Twice,
    Lost,
}

/// Routers with one holder each, and the tokens that they served.
struct Fleet {
    holders: Vec<Holder>,
    next_id: u64,
    served: Tokens,
}

impl Fleet {
    fn new(count: u64) -> Self {
        let holders = (0..count)
            .map(|index| Holder::new(HolderId::from_random((index + 1) << 8)).with_send_sum());
        Self {
            holders: holders.collect(),
            next_id: count + 1,
            served: Tokens::ZERO,
        }
    }

    fn update(
        &mut self,
        index: usize,
        entry: &mut BudgetEntry,
        draw_tokens: u64,
        return_tokens: u64,
    ) {
        let holder = &mut self.holders[index];
        let update = holder.prepare_update(&UpdateParams {
            generation: 1,
            paid_tokens: PAID,
            draw_tokens: Tokens::new(draw_tokens),
            return_tokens: Tokens::new(return_tokens),
            witnesses: WitnessSet::default(),
        });
        entry.apply(&update).unwrap();
        let row = entry.rows[&holder.id()].clone();
        assert!(holder.confirm(&row));
    }

    fn transfer(&mut self, from: usize, to: usize, wanted: u64, delivery: Delivery) {
        let (sender, receiver) = (self.holders[from].id(), self.holders[to].id());
        if sender == receiver {
            return;
        }
        let already_received = self.holders[to].received_from(sender);
        let total = self.holders[from].send(receiver, already_received, Tokens::new(wanted));
        let times = match delivery {
            Delivery::Once => 1,
            Delivery::Twice => 2,
            Delivery::Lost => 0,
        };
        for _ in 0..times {
            self.holders[to].receive(sender, total);
        }
    }

    fn serve(&mut self, index: usize, tokens: u64) {
        let tokens = Tokens::new(tokens);
        if self.holders[index].reserve(tokens).is_ok() {
            self.holders[index].settle(tokens, tokens);
            self.served += tokens;
        }
    }

    fn restart(&mut self, index: usize, entry: &mut BudgetEntry) {
        entry.fold(self.holders[index].id());
        self.next_id += 1;
        let id = HolderId::from_random(self.next_id << 8);
        self.holders[index] = Holder::new(id).with_send_sum();
    }
}

quickcheck! {
    fn spend_stays_within_the_budget(steps: Vec<(u8, u8, u8, u16)>) -> bool {
        let mut entry = BudgetEntry::default();
        let mut fleet = Fleet::new(4);
        for (kind, from, to, amount) in steps {
            let (from, to) = (usize::from(from % 4), usize::from(to % 4));
            let amount = u64::from(amount) % 4_000;
            match kind % 8 {
                0 | 1 => fleet.update(from, &mut entry, amount, 0),
                2 => fleet.update(from, &mut entry, 0, amount),
                3 => fleet.transfer(from, to, amount, Delivery::Once),
                4 => fleet.transfer(from, to, amount, Delivery::Twice),
                5 => fleet.transfer(from, to, amount, Delivery::Lost),
                6 => fleet.serve(from, amount),
                _ => fleet.restart(from, &mut entry),
            }
            let free: Tokens = fleet.holders.iter().map(Holder::free_tokens).sum();
            let held = fleet.served + free;
            if entry.charged_tokens() > PAID || held > PAID {
                return false;
            }
        }
        let rows: BTreeMap<_, _> = entry.rows.clone();
        rows.len() <= 4 && fleet.served <= PAID
    }
}
