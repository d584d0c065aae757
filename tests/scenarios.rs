//! Scripted scenarios on one budget with routers, the ledger and lost answers.
//!
//! `cargo test --test scenarios` compares the output with the golden files; `UPDATE_GOLDENFILES=1`
//! rewrites them.

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::fmt::Write as _;

use currantlever::{
    BudgetEntry, BudgetId, Holder, HolderId, SealedHorizons, Tokens, UpdateParams, Witness,
    WitnessSet,
};
use goldenscript::{Command, Context, Runner};

type ScenarioError = Box<dyn Error>;

struct Router {
    holder: Holder,
    witness: Witness,
}

/// State of a scenario: the routers by name, the ledger entry and the platform's condition.
struct Scenario {
    budget: BudgetId,
    entry: BudgetEntry,
    generation: u64,
    paid_tokens: Tokens,
    is_platform_down: bool,
    loses_answers: bool,
    started_routers: u64,
    routers: BTreeMap<String, Router>,
}

impl Scenario {
    fn new() -> Self {
        Self {
            budget: "budget".parse().unwrap(),
            entry: BudgetEntry::default(),
            generation: 0,
            paid_tokens: Tokens::ZERO,
            is_platform_down: false,
            loses_answers: false,
            started_routers: 0,
            routers: BTreeMap::new(),
        }
    }

    fn router(&mut self, name: &str) -> Result<&mut Router, ScenarioError> {
        self.routers
            .get_mut(name)
            .ok_or_else(|| format!("no router {name}").into())
    }

    fn start(&mut self, name: &str) {
        self.started_routers += 1;
        let holder = Holder::new(HolderId::new(self.started_routers << 8));
        let router = Router {
            holder,
            witness: Witness::new(),
        };
        self.routers.insert(name.to_owned(), router);
    }

    fn update(
        &mut self,
        name: &str,
        draw: u64,
        returned: u64,
        witness_name: &str,
    ) -> Result<String, ScenarioError> {
        let witness = self.router(witness_name)?.holder.id();
        let far = BTreeSet::from([witness]);
        let params = UpdateParams {
            generation: self.generation,
            paid_tokens: self.paid_tokens,
            draw_tokens: Tokens::new(draw),
            return_tokens: Tokens::new(returned),
            witnesses: WitnessSet {
                far,
                ..WitnessSet::default()
            },
        };
        let update = self.router(name)?.holder.prepare_update(&params);
        if self.is_platform_down {
            return Ok("platform gives no answer".to_owned());
        }
        let result = self.entry.apply(&update);
        if self.loses_answers {
            return Ok("answer lost".to_owned());
        }
        let row = self
            .entry
            .rows
            .get(&update.holder)
            .cloned()
            .unwrap_or_default();
        self.router(name)?.holder.confirm(&row);
        Ok(match result {
            Ok(outcome) => format!("{outcome:?}"),
            Err(error) => error.to_string(),
        })
    }

    fn extend(
        &mut self,
        name: &str,
        witness_name: &str,
        horizon: u64,
    ) -> Result<String, ScenarioError> {
        let holder = self.router(name)?.holder.id();
        let budget = self.budget.clone();
        let witness = self.router(witness_name)?;
        let id = witness.holder.id();
        let record = witness
            .witness
            .extend(holder, &budget, Tokens::new(horizon));
        self.router(name)?.holder.acknowledge(id, record);
        Ok(format!(
            "horizon {} sealed {}",
            record.horizon_tokens, record.sealed
        ))
    }

    fn reclaim(&mut self, holder: u64, witness_name: &str) -> Result<String, ScenarioError> {
        let holder = HolderId::new(holder << 8);
        let budget = self.budget.clone();
        let witness = self.router(witness_name)?;
        let record = witness.witness.seal(holder, &budget);
        let sealed = SealedHorizons::from([(witness.holder.id(), record.horizon_tokens)]);
        Ok(match self.entry.reclaim(holder, &sealed) {
            Ok(freed_tokens) => format!("freed {freed_tokens}"),
            Err(error) => error.to_string(),
        })
    }

    fn send(&mut self, from: &str, to: &str, wanted: u64) -> Result<String, ScenarioError> {
        let sender = self.router(from)?.holder.id();
        let receiver = self.router(to)?.holder.id();
        let known = self.router(to)?.holder.received_from(sender);
        let total = self
            .router(from)?
            .holder
            .send(receiver, known, Tokens::new(wanted));
        self.router(to)?.holder.receive(sender, total);
        Ok(format!("handed over {total} in all"))
    }

    fn show(&self) -> String {
        let mut text = String::new();
        for (name, router) in &self.routers {
            let holder = &router.holder;
            let (free, spendable) = (holder.free_tokens(), holder.spendable_tokens());
            let spent = holder.spent_tokens();
            let _ = writeln!(
                text,
                "{name}: free {free} spendable {spendable} spent {spent}"
            );
        }
        let (charged, available) = (self.entry.charged_tokens(), self.entry.available_tokens());
        let stranded = self.entry.stranded_tokens();
        let _ = writeln!(
            text,
            "ledger: charged {charged} available {available} stranded {stranded}"
        );
        text
    }
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, ScenarioError> {
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "pay" => {
                self.paid_tokens = Tokens::new(args.next_pos().ok_or("tokens")?.parse()?);
                self.generation += 1;
                String::new()
            }
            "start" | "crash" => {
                let name = args.next_pos().ok_or("router")?.to_owned();
                self.start(&name);
                String::new()
            }
            "platform" => {
                let state = args.next_pos().ok_or("state")?.to_owned();
                self.is_platform_down = state == "down";
                self.loses_answers = state == "lossy";
                String::new()
            }
            "update" => {
                let name = args.next_pos().ok_or("router")?.to_owned();
                let draw = parse_number(args.take_key("draw"))?;
                let returned = parse_number(args.take_key("return"))?;
                let witness_name = args.take_key("witness").ok_or("witness")?.to_owned();
                self.update(&name, draw, returned, &witness_name)?
            }
            "extend" => {
                let name = args.next_pos().ok_or("router")?.to_owned();
                let witness_name = args.take_key("witness").ok_or("witness")?.to_owned();
                self.extend(&name, &witness_name, parse_number(args.take_key("to"))?)?
            }
            "spend" => {
                let name = args.next_pos().ok_or("router")?.to_owned();
                let tokens = Tokens::new(args.next_pos().ok_or("tokens")?.parse()?);
                let holder = &mut self.router(&name)?.holder;
                match holder.reserve(tokens) {
                    Ok(()) => {
                        holder.settle(tokens, tokens);
                        "spent".to_owned()
                    }
                    Err(error) => error.to_string(),
                }
            }
            "send" => {
                let from = args.next_pos().ok_or("sender")?.to_owned();
                let to = args.next_pos().ok_or("receiver")?.to_owned();
                self.send(&from, &to, args.next_pos().ok_or("tokens")?.parse()?)?
            }
            "reclaim" => {
                let holder = args.next_pos().ok_or("start number")?.parse()?;
                let witness_name = args.take_key("witness").ok_or("witness")?.to_owned();
                self.reclaim(holder, &witness_name)?
            }
            "show" => self.show(),
            other => return Err(format!("unknown command {other}").into()),
        };
        args.reject_next()?;
        Ok(output)
    }
}

/// Parses an optional number, 0 if absent.
fn parse_number(text: Option<&str>) -> Result<u64, ScenarioError> {
    Ok(text.unwrap_or("0").parse()?)
}

fn run(name: &str) {
    let path = format!("tests/scenarios/{name}");
    goldenscript::run(&mut Scenario::new(), path).unwrap();
}

#[test]
fn a_holder_paused_past_its_reclaiming_cannot_overspend() {
    run("paused_holder");
}

#[test]
fn a_lost_answer_grants_once() {
    run("lost_answer");
}

#[test]
fn a_transfer_and_a_death_lose_nothing() {
    run("transfer_and_death");
}

#[test]
fn a_lowered_plan_stops_new_grants_only() {
    run("lowered_plan");
}

#[test]
fn a_top_up_on_one_side_of_an_outage() {
    run("outage_and_top_up");
}
