//! Refusals and stranded tokens under the cover policy, during partitions from the ledger and when
//! one router or all of them crash.

use currantlever::{fleet_cover_tokens, CoverPolicy, GrantPolicy, GrantView, RankedDemand, Tokens};

const DURATION_S: u64 = 40;
const ROUTERS: u64 = 9;
const REQUEST: Tokens = Tokens::new(1_000);
/// Requests per second of each router.
const REQUESTS_PER_S: u64 = 10;

/// One budget at routers that are partitioned from the ledger for a time.
struct Simulation {
    paid_tokens: Tokens,
    charged_tokens: Tokens,
    free_tokens: Vec<Tokens>,
    demand: Vec<RankedDemand>,
    spent_tokens: Tokens,
    refused_count: u64,
}

impl Simulation {
    fn new(paid_tokens: Tokens) -> Self {
        Self {
            paid_tokens,
            charged_tokens: Tokens::ZERO,
            free_tokens: vec![Tokens::ZERO; usize::try_from(ROUTERS).unwrap()],
            demand: vec![RankedDemand::default(); usize::try_from(ROUTERS).unwrap()],
            spent_tokens: Tokens::ZERO,
            refused_count: 0,
        }
    }

    fn time_to_exhaustion_s(&self) -> f64 {
        let remaining = self.paid_tokens - self.spent_tokens;
        let demand = ROUTERS * REQUESTS_PER_S * REQUEST.get();
        u32::try_from(remaining.get() / demand).unwrap().into()
    }

    fn cover_tokens(&self, router: usize) -> Tokens {
        let mut fleet = [0; 3];
        for demand in &self.demand {
            for (sum, rank) in fleet.iter_mut().zip(demand.rank_tokens_per_s()) {
                *sum += rank;
            }
        }
        let time_to_exhaustion_s = self.time_to_exhaustion_s();
        let fleet_tokens = fleet_cover_tokens(fleet, ROUTERS, time_to_exhaustion_s);
        self.demand[router].own_cover_tokens(time_to_exhaustion_s) + fleet_tokens
    }

    fn refill(&mut self, router: usize) {
        let view = GrantView {
            available_tokens: self.paid_tokens - self.charged_tokens,
            paid_tokens: self.paid_tokens,
            charged_tokens: self.charged_tokens,
            free_tokens: self.free_tokens[router],
            demand_tokens_per_s: self.demand[router].tokens_per_s(),
            cover_tokens: self.cover_tokens(router),
            holder_count: ROUTERS,
            ..GrantView::default()
        };
        let decision = CoverPolicy.decide(&view).within_paid(&view);
        let drawn = decision
            .draw_tokens
            .min(self.paid_tokens - self.charged_tokens);
        self.charged_tokens = self.charged_tokens + drawn - decision.return_tokens;
        self.free_tokens[router] = self.free_tokens[router] + drawn - decision.return_tokens;
    }

    fn serve(&mut self, router: usize, is_partitioned: bool) {
        if self.free_tokens[router] < REQUEST && !is_partitioned {
            let drawn = REQUEST.min(self.paid_tokens - self.charged_tokens);
            self.charged_tokens += drawn;
            self.free_tokens[router] += drawn;
        }
        if self.free_tokens[router] < REQUEST {
            self.refused_count += 1;
            return;
        }
        self.free_tokens[router] -= REQUEST;
        self.spent_tokens += REQUEST;
        self.demand[router].record_start(0, REQUEST);
        self.demand[router].record_end(REQUEST, REQUEST);
    }

    fn run_second(&mut self, is_partitioned: bool) {
        for step in 0..REQUESTS_PER_S {
            for router in 0..self.free_tokens.len() {
                self.serve(router, is_partitioned);
                self.demand[router].advance(1.0 / 10.0);
                if !is_partitioned && step % 5 == 0 {
                    self.refill(router);
                }
                assert!(self.charged_tokens <= self.paid_tokens);
            }
        }
    }

    fn stranded(&self) -> Tokens {
        self.free_tokens.iter().copied().sum()
    }
}

#[test]
fn a_partition_of_nine_seconds_refuses_no_request_while_the_budget_is_full() {
    let total_demand = Tokens::new(ROUTERS * REQUESTS_PER_S * REQUEST.get() * DURATION_S);
    let mut simulation = Simulation::new(total_demand.scaled(10, 1));
    for second in 0..DURATION_S {
        simulation.run_second((6..15).contains(&second) || (24..33).contains(&second));
    }
    assert_eq!(simulation.refused_count, 0);
}

#[test]
fn stranded_tokens_shrink_as_the_budget_nears_exhaustion() {
    let total_demand = Tokens::new(ROUTERS * REQUESTS_PER_S * REQUEST.get() * DURATION_S);
    let paid_tokens = total_demand.scaled(13, 10);
    let mut simulation = Simulation::new(paid_tokens);
    for _ in 0..DURATION_S / 4 {
        simulation.run_second(false);
    }
    let early = simulation.stranded();
    for _ in DURATION_S / 4..DURATION_S {
        simulation.run_second(false);
    }
    let late = simulation.stranded();
    assert!(late < early, "{late} late, {early} early");
    // At most five seconds of demand, of the twelve that the budget has left.
    assert!(
        late.get() <= ROUTERS * REQUESTS_PER_S * REQUEST.get() * 5,
        "{late}"
    );
    assert_eq!(simulation.refused_count, 0);
}

/// Guards against covers that are too small because requests count only at their end. Streams last
/// four seconds and spend half of their reservations; the partition begins six seconds after the
/// first.
#[test]
fn demand_counts_streams_before_they_end() {
    const STREAM_S: usize = 4;
    let mut demand = RankedDemand::default();
    let mut running = [0_u64; STREAM_S];
    for second in 0..6 {
        let ended = std::mem::take(&mut running[second % STREAM_S]);
        for _ in 0..ended {
            demand.record_end(Tokens::new(500), REQUEST);
        }
        for _ in 0..REQUESTS_PER_S {
            demand.record_start(0, REQUEST);
        }
        running[second % STREAM_S] = REQUESTS_PER_S;
        demand.advance(1.0);
    }
    let spent_per_s = REQUESTS_PER_S * 500;
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

/// One router of nine receives seven tenths of the demand and crashes.
#[test]
fn a_crash_of_the_busiest_router_strands_a_small_part_of_the_cover() {
    let fleet = [10_000, 0, 0];
    let mut busiest_demand = RankedDemand::default();
    for _ in 0..100 {
        busiest_demand.record_start(0, Tokens::new(700));
        busiest_demand.record_end(Tokens::new(700), Tokens::new(700));
        busiest_demand.advance(0.1);
    }
    let fleet_share = fleet_cover_tokens(fleet, ROUTERS, f64::INFINITY);
    let held = busiest_demand.own_cover_tokens(f64::INFINITY) + fleet_share;
    // At most three of the ten seconds that the fleet covers.
    assert!(held <= Tokens::new(3 * 10_000), "{held}");
    assert!(held >= Tokens::new(2 * 7_000), "{held}");
}

/// A budget with eight seconds to exhaustion, at nine routers that then lose power.
#[test]
fn a_crash_of_all_routers_near_exhaustion_strands_less_than_a_second_of_demand() {
    let mut demand = RankedDemand::default();
    for _ in 0..100 {
        demand.record_start(0, Tokens::new(100));
        demand.record_end(Tokens::new(100), Tokens::new(100));
        demand.advance(0.1);
    }
    let own_per_s = demand.tokens_per_s();
    let fleet = [own_per_s * ROUTERS, 0, 0];
    let held = demand.own_cover_tokens(8.0) + fleet_cover_tokens(fleet, ROUTERS, 8.0);
    assert!(
        held < Tokens::new(own_per_s),
        "{held} of {own_per_s} per second"
    );
}

#[test]
fn a_distributor_covers_the_tokens_that_it_transfers() {
    let mut demand = RankedDemand::default();
    for _ in 0..50 {
        demand.record_transfer(REQUEST);
        demand.advance(0.1);
    }
    assert_eq!(
        demand.tokens_per_s(),
        0,
        "the receiving routers report this demand"
    );
    let cover = demand.own_cover_tokens(f64::INFINITY);
    let two_seconds = Tokens::new(20 * REQUEST.get());
    assert!(cover >= two_seconds, "{cover} of {two_seconds}");
}
