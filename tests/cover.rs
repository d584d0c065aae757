//! Grants over cuts from the ledger and the death of all routers: who is refused though paid, and
//! what is stranded.

use currantlever::{fleet_cover_tokens, CoverPolicy, GrantPolicy, GrantView, RankedDemand, Tokens};

const SECONDS: u64 = 40;
const ROUTERS: u64 = 9;
const REQUEST: Tokens = Tokens::new(1_000);
/// Requests of each router a second.
const PER_SECOND: u64 = 10;

/// One budget at routers that are cut off from the ledger for a time.
struct Run {
    paid: Tokens,
    charged: Tokens,
    free: Vec<Tokens>,
    demand: Vec<RankedDemand>,
    spent: Tokens,
    refused: u64,
}

impl Run {
    fn new(paid: Tokens) -> Self {
        Self {
            paid,
            charged: Tokens::ZERO,
            free: vec![Tokens::ZERO; usize::try_from(ROUTERS).unwrap()],
            demand: vec![RankedDemand::default(); usize::try_from(ROUTERS).unwrap()],
            spent: Tokens::ZERO,
            refused: 0,
        }
    }

    fn rest_s(&self) -> f64 {
        let rest = self.paid - self.spent;
        let demand = ROUTERS * PER_SECOND * REQUEST.get();
        u32::try_from(rest.get() / demand).unwrap().into()
    }

    fn cover_tokens(&self, router: usize) -> Tokens {
        let mut fleet = [0; 3];
        for demand in &self.demand {
            for (sum, rank) in fleet.iter_mut().zip(demand.rank_tokens_per_s()) {
                *sum += rank;
            }
        }
        let rest_s = self.rest_s();
        let fleet_tokens = fleet_cover_tokens(fleet, ROUTERS, rest_s);
        self.demand[router].own_cover_tokens(rest_s) + fleet_tokens
    }

    fn refill(&mut self, router: usize) {
        let view = GrantView {
            available_tokens: self.paid - self.charged,
            paid_tokens: self.paid,
            charged_tokens: self.charged,
            free_tokens: self.free[router],
            demand_tokens_per_s: self.demand[router].tokens_per_s(),
            cover_tokens: self.cover_tokens(router),
            holder_count: ROUTERS,
            ..GrantView::default()
        };
        let decision = CoverPolicy.decide(&view).within_paid(&view);
        let drawn = decision.draw_tokens.min(self.paid - self.charged);
        self.charged = self.charged + drawn - decision.return_tokens;
        self.free[router] = self.free[router] + drawn - decision.return_tokens;
    }

    fn serve(&mut self, router: usize, is_cut: bool) {
        if self.free[router] < REQUEST && !is_cut {
            let drawn = REQUEST.min(self.paid - self.charged);
            self.charged += drawn;
            self.free[router] += drawn;
        }
        if self.free[router] < REQUEST {
            self.refused += 1;
            return;
        }
        self.free[router] -= REQUEST;
        self.spent += REQUEST;
        self.demand[router].note_start(0, REQUEST);
        self.demand[router].note_end(REQUEST, REQUEST);
    }

    fn second(&mut self, is_cut: bool) {
        for step in 0..PER_SECOND {
            for router in 0..self.free.len() {
                self.serve(router, is_cut);
                self.demand[router].pass(1.0 / 10.0);
                if !is_cut && step % 5 == 0 {
                    self.refill(router);
                }
                assert!(self.charged <= self.paid);
            }
        }
    }

    fn stranded(&self) -> Tokens {
        self.free.iter().copied().sum()
    }
}

#[test]
fn a_cut_of_nine_seconds_refuses_nobody_while_the_budget_is_full() {
    let day = Tokens::new(ROUTERS * PER_SECOND * REQUEST.get() * SECONDS);
    let mut run = Run::new(day.scaled(10, 1));
    for second in 0..SECONDS {
        run.second((6..15).contains(&second) || (24..33).contains(&second));
    }
    assert_eq!(run.refused, 0);
}

#[test]
fn what_dies_with_all_routers_shrinks_as_the_budget_runs_out() {
    let day = Tokens::new(ROUTERS * PER_SECOND * REQUEST.get() * SECONDS);
    let paid = day.scaled(13, 10);
    let mut run = Run::new(paid);
    for _ in 0..SECONDS / 4 {
        run.second(false);
    }
    let early = run.stranded();
    for _ in SECONDS / 4..SECONDS {
        run.second(false);
    }
    let late = run.stranded();
    assert!(late < early, "{late} late, {early} early");
    // At most the demand of five seconds, of the twelve that are left.
    assert!(
        late.get() <= ROUTERS * PER_SECOND * REQUEST.get() * 5,
        "{late}"
    );
    assert_eq!(run.refused, 0);
}

/// Streams of four seconds that spend half of what they reserve, and a cut six seconds after the
/// first of them.
#[test]
fn demand_is_seen_while_its_first_streams_still_run() {
    const STREAM_S: usize = 4;
    let mut demand = RankedDemand::default();
    let mut running = [0_u64; STREAM_S];
    for second in 0..6 {
        let ended = std::mem::take(&mut running[second % STREAM_S]);
        for _ in 0..ended {
            demand.note_end(Tokens::new(500), REQUEST);
        }
        for _ in 0..PER_SECOND {
            demand.note_start(0, REQUEST);
        }
        running[second % STREAM_S] = PER_SECOND;
        demand.pass(1.0);
    }
    let spent_per_s = PER_SECOND * 500;
    assert!(
        demand.tokens_per_s() >= spent_per_s,
        "{}",
        demand.tokens_per_s()
    );
    let fleet_tokens = fleet_cover_tokens(demand.rank_tokens_per_s(), 1, f64::INFINITY);
    let cover = (demand.own_cover_tokens(f64::INFINITY) + fleet_tokens).get();
    assert!(cover >= spent_per_s * 9, "{cover}");
    assert!(cover <= spent_per_s * 12 * 2, "{cover}");
}

/// Seven tenths of the demand come to one router of nine, which dies.
#[test]
fn the_death_of_the_busiest_router_strands_a_small_part_of_the_cover() {
    let fleet = [10_000, 0, 0];
    let mut busiest = RankedDemand::default();
    for _ in 0..100 {
        busiest.note_start(0, Tokens::new(700));
        busiest.note_end(Tokens::new(700), Tokens::new(700));
        busiest.pass(0.1);
    }
    let evenly = fleet_cover_tokens(fleet, ROUTERS, f64::INFINITY);
    let held = busiest.own_cover_tokens(f64::INFINITY) + evenly;
    // Of the ten seconds that the fleet covers, at most three.
    assert!(held <= Tokens::new(3 * 10_000), "{held}");
    assert!(held >= Tokens::new(2 * 7_000), "{held}");
}

/// A budget that lasts for eight more seconds, at nine routers that then lose power.
#[test]
fn at_the_end_of_a_budget_the_death_of_all_strands_less_than_a_second_of_demand() {
    let mut demand = RankedDemand::default();
    for _ in 0..100 {
        demand.note_start(0, Tokens::new(100));
        demand.note_end(Tokens::new(100), Tokens::new(100));
        demand.pass(0.1);
    }
    let own_per_s = demand.tokens_per_s();
    let fleet = [own_per_s * ROUTERS, 0, 0];
    let held = demand.own_cover_tokens(8.0) + fleet_cover_tokens(fleet, ROUTERS, 8.0);
    assert!(
        held < Tokens::new(own_per_s),
        "{held} of {own_per_s} a second"
    );
}

#[test]
fn a_router_that_draws_for_others_covers_what_it_hands_over() {
    let mut demand = RankedDemand::default();
    for _ in 0..50 {
        demand.note_handed(REQUEST);
        demand.pass(0.1);
    }
    assert_eq!(demand.tokens_per_s(), 0, "it is told by those that asked");
    let cover = demand.own_cover_tokens(f64::INFINITY);
    let two_seconds = Tokens::new(20 * REQUEST.get());
    assert!(cover >= two_seconds, "{cover} of {two_seconds}");
}
