//! Budgets as the fleet holds them: what routers hand to one another in cuts from the ledger and at
//! the end of a budget, and that no hand-over, loss or death lets more be spent than was paid.

use std::collections::BTreeMap;

use currantlever::{
    BudgetEntry, FleetStock, Holder, HolderId, RouterStock, Tokens, UpdateWish, WitnessSet,
};
use quickcheck::quickcheck;

const PAID: Tokens = Tokens::new(10_000);

fn stock(free: u64, demand: [u64; 3]) -> RouterStock {
    RouterStock {
        free_tokens: Tokens::new(free),
        demand_tokens_per_s: demand,
        ..RouterStock::default()
    }
}

fn fleet(stocks: &[RouterStock]) -> FleetStock {
    let mut fleet = FleetStock::default();
    for stock in stocks {
        fleet.add(stock);
    }
    fleet
}

/// Seven tenths of the demand at two of nine routers, all cut off for eight seconds.
#[test]
fn uneven_demand_in_a_cut_of_all_routers_is_served_from_what_all_hold() {
    const CUT_S: u64 = 8;
    let demands = [700, 700, 86, 86, 86, 86, 86, 86, 84];
    let request = Tokens::new(50);
    // Covers for even demand: ten seconds of all of it, spread evenly.
    let all_demand: u64 = demands.iter().sum();
    let mut stocks: Vec<RouterStock> = demands
        .iter()
        .map(|demand| stock(all_demand * 10 / 9, [*demand, 0, 0]))
        .collect();
    let (mut refused, mut refused_alone) = (0, 0);
    for demand in demands {
        let need = demand * CUT_S / 50;
        let held = all_demand * 10 / 9 / 50;
        refused_alone += need.saturating_sub(held);
    }
    for step in 0..CUT_S * 10 {
        for index in 0..stocks.len() {
            let due = |steps: u64| demands[index] * steps / 10 / 50;
            for _ in due(step)..due(step + 1) {
                if stocks[index].free_tokens < request {
                    let wanted = stocks[index].wanted_tokens(request);
                    let others = (0..stocks.len()).filter(|other| *other != index);
                    let giver = others.max_by_key(|other| stocks[*other].free_tokens);
                    let giver = giver.unwrap();
                    let needed = request - stocks[index].free_tokens;
                    let handed_over = stocks[giver].given_tokens(needed, wanted);
                    stocks[giver].free_tokens -= handed_over;
                    stocks[index].free_tokens += handed_over;
                }
                if stocks[index].free_tokens < request {
                    refused += 1;
                } else {
                    stocks[index].free_tokens -= request;
                }
            }
        }
    }
    assert_eq!(refused, 0);
    assert!(refused_alone > 100, "{refused_alone}");
}

#[test]
fn the_rest_of_a_cut_is_kept_for_the_more_urgent_of_the_whole_fleet() {
    let fleet = fleet(&[stock(4_000, [0, 0, 500]), stock(4_000, [500, 500, 0])]);
    assert_eq!(fleet.more_urgent_tokens(0, 8.0), Tokens::ZERO);
    assert_eq!(fleet.more_urgent_tokens(1, 8.0), Tokens::new(4_000));
    assert_eq!(fleet.more_urgent_tokens(2, 8.0), Tokens::new(8_000));
    assert!(fleet.admits(0, Tokens::new(8_000), 8.0));
    assert!(fleet.admits(1, Tokens::new(4_000), 8.0));
    assert!(!fleet.admits(2, Tokens::new(1), 8.0));
    assert!(fleet.admits(2, Tokens::new(1), 7.0));
}

#[test]
fn a_router_hands_over_what_anothers_request_lacks() {
    let idle = stock(50_000, [100, 0, 0]);
    let all = idle.given_tokens(Tokens::new(49_900), Tokens::new(49_900));
    assert_eq!(all, Tokens::new(49_900));
    let beyond = idle.given_tokens(Tokens::new(1_000), Tokens::new(49_900));
    assert_eq!(beyond, Tokens::new(25_000));
}

#[test]
fn a_row_that_gave_back_received_tokens_is_folded_without_a_loss() {
    let mut entry = BudgetEntry::default();
    let mut fleet = Fleet::new(2);
    fleet.update(0, &mut entry, 600, 0);
    fleet.hand_over(0, 1, 500, Delivery::Arrives);
    fleet.update(1, &mut entry, 0, 500);
    assert_eq!(entry.charged_tokens(), Tokens::new(100));
    for index in [1, 0] {
        entry.fold(fleet.holders[index].id());
    }
    assert_eq!(entry.charged_tokens(), Tokens::new(100));
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Arrives,
    Twice,
    Lost,
}

/// Routers, one holder each, and what was served.
struct Fleet {
    holders: Vec<Holder>,
    next_id: u64,
    served: Tokens,
}

impl Fleet {
    fn new(count: u64) -> Self {
        let holders = (0..count)
            .map(|index| Holder::new(HolderId::from_random((index + 1) << 8)).with_summed_sends());
        Self {
            holders: holders.collect(),
            next_id: count + 1,
            served: Tokens::ZERO,
        }
    }

    fn update(&mut self, index: usize, entry: &mut BudgetEntry, draw: u64, back: u64) {
        let holder = &mut self.holders[index];
        let update = holder.prepare_update(&UpdateWish {
            generation: 1,
            paid_tokens: PAID,
            draw_tokens: Tokens::new(draw),
            return_tokens: Tokens::new(back),
            witnesses: WitnessSet::default(),
        });
        entry.apply(&update).unwrap();
        let row = entry.rows[&holder.id()].clone();
        assert!(holder.confirm(&row));
    }

    fn hand_over(&mut self, from: usize, to: usize, wanted: u64, delivery: Delivery) {
        let (giver, asker) = (self.holders[from].id(), self.holders[to].id());
        if giver == asker {
            return;
        }
        let received = self.holders[to].received_from(giver);
        let total = self.holders[from].send(asker, received, Tokens::new(wanted));
        let times = match delivery {
            Delivery::Arrives => 1,
            Delivery::Twice => 2,
            Delivery::Lost => 0,
        };
        for _ in 0..times {
            self.holders[to].receive(giver, total);
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
        self.holders[index] = Holder::new(id).with_summed_sends();
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
                3 => fleet.hand_over(from, to, amount, Delivery::Arrives),
                4 => fleet.hand_over(from, to, amount, Delivery::Twice),
                5 => fleet.hand_over(from, to, amount, Delivery::Lost),
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
