//! A model of routers that draw on a ledger whose store returns from older copies. It drives the
//! real holders and ledger entries with random steps and checks that no more is spent than paid.

use std::collections::BTreeMap;

use currantlever::{BudgetEntry, Holder, HolderId, Tokens, UpdateParams, WitnessSet};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const PAID: Tokens = Tokens::new(1_000);
const VMS: usize = 3;
const TESTS: u64 = 20_000;
const MAX_STEPS: usize = 60;
const SEED: u64 = 26;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A router draws tokens from the ledger, or returns some.
    Draw { vm: usize, draw: u64, returned: u64 },
    /// A router spends tokens that it holds.
    Spend { vm: usize, tokens: u64 },
    /// A router reports its grant to the others.
    Report { vm: usize },
    /// A router dies and another process starts on its VM.
    Restart { vm: usize },
    /// A copy of the store is made.
    Copy,
    /// The store returns from the copy.
    Restore,
    /// A router puts back what the store has lost.
    PutBack { vm: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let vm = usize::arbitrary(g) % VMS;
        let amount = |g: &mut Gen| u64::arbitrary(g) % 400;
        match u8::arbitrary(g) % 12 {
            0..=2 => Self::Draw {
                vm,
                draw: amount(g),
                returned: amount(g) / 8,
            },
            3..=5 => Self::Spend {
                vm,
                tokens: amount(g),
            },
            6 | 7 => Self::Report { vm },
            8 => Self::Restart { vm },
            9 => Self::Copy,
            10 => Self::Restore,
            _ => Self::PutBack { vm },
        }
    }
}

struct Router {
    holder: Holder,
    /// Grant in its last report.
    reported: Tokens,
    has_put_back: bool,
}

impl Router {
    fn new(vm: usize, process: u64) -> Self {
        Self {
            holder: Holder::new(HolderId::new((vm as u64) << 32 | process)),
            reported: Tokens::ZERO,
            has_put_back: true,
        }
    }
}

/// The rule under test, or a deliberate fault.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rule {
    /// All routers put back what is lost before any of them draws.
    PutBackFirst,
    /// Routers draw on the restored ledger as it is.
    DrawAtOnce,
}

struct Model {
    rule: Rule,
    ledger: BudgetEntry,
    copy: BudgetEntry,
    routers: Vec<Router>,
    processes: u64,
    /// Last reports of all processes.
    reports: BTreeMap<HolderId, Tokens>,
    spent_by_ended: Tokens,
    /// Tokens that were granted to processes which died before they reported them.
    unreported: Tokens,
}

impl Model {
    fn new(rule: Rule) -> Self {
        let mut ledger = BudgetEntry::default();
        ledger.update_paid(1, PAID);
        Self {
            rule,
            copy: ledger.clone(),
            ledger,
            routers: (0..VMS).map(|vm| Router::new(vm, 0)).collect(),
            processes: 0,
            reports: BTreeMap::new(),
            spent_by_ended: Tokens::ZERO,
            unreported: Tokens::ZERO,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Draw { vm, draw, returned } => self.draw(vm, draw, returned),
            Step::Spend { vm, tokens } => {
                let holder = &mut self.routers[vm].holder;
                let tokens = Tokens::new(tokens);
                if holder.reserve(tokens).is_ok() {
                    holder.settle(tokens, tokens);
                }
            }
            Step::Report { vm } => self.report(vm),
            Step::Restart { vm } => {
                let ended = &self.routers[vm];
                self.spent_by_ended += ended.holder.spent_tokens();
                self.unreported += ended.holder.granted_tokens() - ended.reported;
                self.processes += 1;
                let has_put_back = self.routers.iter().all(|router| router.has_put_back);
                self.routers[vm] = Router::new(vm, self.processes);
                // It knows nothing, but waits for the others too.
                self.routers[vm].has_put_back = has_put_back;
            }
            Step::Copy => self.copy = self.ledger.clone(),
            Step::Restore => {
                self.ledger = self.copy.clone();
                for router in &mut self.routers {
                    router.has_put_back = self.rule == Rule::DrawAtOnce;
                }
            }
            Step::PutBack { vm } => {
                if self.rule == Rule::PutBackFirst {
                    self.put_back(vm);
                }
            }
        }
    }

    fn report(&mut self, vm: usize) {
        let router = &mut self.routers[vm];
        router.reported = router.holder.granted_tokens();
        self.reports.insert(router.holder.id(), router.reported);
    }

    fn put_back(&mut self, vm: usize) {
        let router = &mut self.routers[vm];
        router.has_put_back = true;
        let own = (router.holder.id(), router.holder.granted_tokens());
        let reported = self
            .reports
            .iter()
            .map(|(holder, granted)| (*holder, *granted));
        for (holder, granted_tokens) in reported.chain([own]) {
            self.ledger.restore_grant(holder, granted_tokens);
        }
    }

    fn draw(&mut self, vm: usize, draw: u64, returned: u64) {
        if !self.routers.iter().all(|router| router.has_put_back) {
            return;
        }
        let router = &mut self.routers[vm];
        let id = router.holder.id();
        let earlier = self
            .ledger
            .rows
            .keys()
            .copied()
            .filter(|row| row.get() >> 32 == id.get() >> 32 && *row != id);
        for ended in earlier.collect::<Vec<_>>() {
            self.ledger.fold(ended);
        }
        let update = router.holder.prepare_update(&UpdateParams {
            generation: 1,
            paid_tokens: PAID,
            draw_tokens: Tokens::new(draw),
            return_tokens: Tokens::new(returned),
            witnesses: WitnessSet::default(),
        });
        if self.rule == Rule::PutBackFirst {
            self.ledger
                .restore_grant(id, router.holder.granted_tokens());
        }
        if self.ledger.apply(&update).is_ok() {
            router.holder.confirm(&self.ledger.rows[&id]);
        }
    }

    fn spent(&self) -> Tokens {
        let alive = self
            .routers
            .iter()
            .map(|router| router.holder.spent_tokens());
        self.spent_by_ended + alive.sum()
    }
}

fn overspent(rule: Rule, steps: Vec<Step>) -> bool {
    let mut model = Model::new(rule);
    for step in steps {
        model.apply(step);
    }
    model.spent() > PAID + model.unreported
}

fn check() -> QuickCheck {
    QuickCheck::new()
        .tests(TESTS)
        .rng(Gen::from_size_and_seed(MAX_STEPS, SEED))
}

#[test]
fn no_more_is_spent_than_paid_and_granted_without_a_report() {
    fn holds(steps: Vec<Step>) -> bool {
        !overspent(Rule::PutBackFirst, steps)
    }
    check().quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Shows that random steps reach the states in which the rule matters.
#[test]
fn random_steps_overspend_without_the_rule() {
    fn holds(steps: Vec<Step>) -> bool {
        !overspent(Rule::DrawAtOnce, steps)
    }
    assert!(check().quicktest(holds as fn(Vec<Step>) -> bool).is_err());
}

/// Shows that the check can fail: without the rule, grants of the lost time are granted again.
#[test]
fn drawing_at_once_from_a_restored_ledger_overspends() {
    let spend_all = |vm| {
        [
            Step::Draw {
                vm,
                draw: 1_000,
                returned: 0,
            },
            Step::Spend { vm, tokens: 1_000 },
        ]
    };
    let mut steps = vec![Step::Copy];
    steps.extend(spend_all(0));
    steps.push(Step::Restore);
    steps.extend(spend_all(1));
    assert!(overspent(Rule::DrawAtOnce, steps.clone()));
    assert!(!overspent(Rule::PutBackFirst, steps.clone()));
    steps.extend((0..VMS).map(|vm| Step::PutBack { vm }));
    steps.extend(spend_all(1));
    assert!(!overspent(Rule::PutBackFirst, steps));
}
