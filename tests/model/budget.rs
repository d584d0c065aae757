//! Grants, horizons, witnesses, reclaiming and transfers of one budget.
//!
//! Messages stay in a set from which they can be delivered at any time, in any order and any
//! number of times, so loss, duplication, reordering, delay and partition need no separate
//! actions. A router that takes no step is paused. A write to the platform is also a message: it
//! takes effect if the ledger has the expected version on delivery, even if its sender has crashed.

use std::collections::BTreeSet;

use currantlever::{
    BudgetEntry, BudgetId, Generation, GrantRow, Holder, HolderId, SealedHorizons, Tokens,
    UpdateParams, Witness, WitnessRecord, WitnessSet,
};
use strum::Display;

use super::search::Specification;

const ROUTERS: usize = 3;
const PAID_TOKENS: [u64; 3] = [2, 3, 1];

/// A protocol rule that the specification violates deliberately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    SpendBeyondHorizon,
    WitnessForgetsSeal,
    ReclaimAtFormerWitness,
    TransferCreditedTwice,
    WriteWithoutCondition,
    RestartUnderSameId,
    NewWitnessWithoutFloor,
    ReclaimAfterOneSeal,
    NearAllowanceIgnored,
}

/// Bounds of the state space: the maximum number of each event, and optional features.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum ledger updates by each router. A router without updates only acts as a witness or
    /// reclaims.
    updates: [u8; ROUTERS],
    crashes: u8,
    seals: u8,
    transfers: u8,
    witness_changes: u8,
    generations: Generation,
    returns: bool,
    two_witnesses: bool,
    near_witness: bool,
}

const BASE: Bounds = Bounds {
    updates: [1, 0, 1],
    crashes: 0,
    seals: 0,
    transfers: 0,
    witness_changes: 0,
    generations: 1,
    returns: false,
    two_witnesses: false,
    near_witness: false,
};

/// Returns the configurations to search. The larger ones are included in release builds only.
pub fn configurations() -> Vec<(&'static str, Bounds)> {
    let reclaim = Bounds { seals: 1, ..BASE };
    let change = Bounds {
        updates: [2, 0, 1],
        witness_changes: 1,
        ..reclaim
    };
    let mut all = vec![
        ("budget/reclaim", reclaim),
        (
            "budget/draw-and-return",
            Bounds {
                updates: [2, 0, 1],
                returns: true,
                ..BASE
            },
        ),
        (
            "budget/transfer",
            Bounds {
                transfers: 1,
                ..BASE
            },
        ),
    ];
    if !cfg!(debug_assertions) {
        all.extend([
            (
                "budget/near-witness",
                Bounds {
                    near_witness: true,
                    ..reclaim
                },
            ),
            (
                "budget/two-witnesses",
                Bounds {
                    two_witnesses: true,
                    ..reclaim
                },
            ),
            (
                "budget/crash-and-reclaim",
                Bounds {
                    crashes: 1,
                    ..reclaim
                },
            ),
            (
                "budget/three-holders",
                Bounds {
                    updates: [1, 1, 1],
                    crashes: 1,
                    ..reclaim
                },
            ),
            (
                "budget/two-reclaims",
                Bounds {
                    updates: [1, 1, 1],
                    seals: 2,
                    ..BASE
                },
            ),
            (
                "budget/top-up-and-fall",
                Bounds {
                    generations: 3,
                    returns: true,
                    ..BASE
                },
            ),
            (
                "budget/transfer-and-reclaim",
                Bounds {
                    transfers: 1,
                    crashes: 1,
                    ..reclaim
                },
            ),
            (
                "budget/witness-change",
                Bounds {
                    crashes: 1,
                    ..change
                },
            ),
        ]);
    }
    all
}

/// Bounds for random walks, far too large for an exhaustive search.
pub const RANDOM_WALK: Bounds = Bounds {
    updates: [6, 6, 6],
    crashes: 3,
    seals: 6,
    transfers: 4,
    witness_changes: 4,
    generations: 3,
    returns: true,
    two_witnesses: true,
    near_witness: false,
};

pub fn faults() -> Vec<(Fault, Bounds)> {
    let seal = Bounds { seals: 1, ..BASE };
    let change = Bounds {
        updates: [2, 0, 1],
        witness_changes: 1,
        ..seal
    };
    vec![
        (Fault::SpendBeyondHorizon, seal),
        (Fault::WitnessForgetsSeal, seal),
        (Fault::ReclaimAtFormerWitness, change),
        (
            Fault::TransferCreditedTwice,
            Bounds {
                transfers: 1,
                ..BASE
            },
        ),
        (Fault::WriteWithoutCondition, BASE),
        (Fault::RestartUnderSameId, Bounds { crashes: 1, ..BASE }),
        (Fault::NewWitnessWithoutFloor, change),
        (
            Fault::ReclaimAfterOneSeal,
            Bounds {
                two_witnesses: true,
                ..seal
            },
        ),
        (
            Fault::NearAllowanceIgnored,
            Bounds {
                near_witness: true,
                ..seal
            },
        ),
    ]
}

/// A reclaim in progress: the holder being sealed at its witnesses, and the horizons received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Reclaim {
    holder: HolderId,
    sealed: SealedHorizons,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    id: HolderId,
    holder: Holder,
    witness: Witness,
    generation: Generation,
    updates: u8,
    reclaim: Option<Reclaim>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Extend {
        holder: HolderId,
        witness: HolderId,
        horizon: Tokens,
    },
    Extended {
        holder: HolderId,
        witness: HolderId,
        horizon: Tokens,
        sealed: bool,
    },
    Seal {
        holder: HolderId,
        witness: HolderId,
    },
    Sealed {
        holder: HolderId,
        witness: HolderId,
        horizon: Tokens,
    },
    Transfer {
        sender: HolderId,
        receiver: HolderId,
        total: Tokens,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    expected: u8,
    entry: BudgetEntry,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    ledger: BudgetEntry,
    version: u8,
    writes: Vec<Write>,
    routers: Vec<Router>,
    messages: BTreeSet<Message>,
    served: u64,
    crashes: u8,
    seals: u8,
    transfers: u8,
    witness_changes: u8,
    highest_generation: Generation,
}

pub struct Spec {
    bounds: Bounds,
    fault: Option<Fault>,
    budget: BudgetId,
}

impl Spec {
    pub fn new(bounds: Bounds, fault: Option<Fault>) -> Self {
        Self {
            bounds,
            fault,
            budget: "budget".parse().unwrap(),
        }
    }

    fn injects(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}

fn id_of(index: usize, starts: u64) -> HolderId {
    HolderId::new(((index as u64 + 1) << 16) | (starts << 8))
}

fn start_router(id: HolderId, generation: Generation) -> Router {
    Router {
        id,
        holder: Holder::new(id),
        witness: Witness::new(),
        generation,
        updates: 0,
        reclaim: None,
    }
}

fn paid(generation: Generation) -> Tokens {
    Tokens::new(PAID_TOKENS[usize::try_from(generation).unwrap() - 1])
}

impl Spec {
    /// Returns a router's witnesses. The far witness is the next router, or after a change the one
    /// after it; with two witnesses it is both until a change. The near witness, if enabled, is
    /// the router after next, or after a change the next one.
    fn choose_witnesses(&self, state: &State, index: usize, changed: bool) -> WitnessSet {
        let next = state.routers[(index + 1) % ROUTERS].id;
        let after_next = state.routers[(index + 2) % ROUTERS].id;
        let far = match (changed, self.bounds.two_witnesses) {
            (true, _) => BTreeSet::from([after_next]),
            (false, false) => BTreeSet::from([next]),
            (false, true) => BTreeSet::from([next, after_next]),
        };
        let near = self
            .bounds
            .near_witness
            .then_some(if changed { next } else { after_next });
        WitnessSet {
            far,
            near,
            near_allowance_tokens: Tokens::new(1),
        }
    }
}

impl Specification for Spec {
    type State = State;

    fn initial(&self) -> State {
        State {
            ledger: BudgetEntry::default(),
            version: 0,
            writes: Vec::new(),
            routers: (0..ROUTERS)
                .map(|index| start_router(id_of(index, 0), 1))
                .collect(),
            messages: BTreeSet::new(),
            served: 0,
            crashes: 0,
            seals: 0,
            transfers: 0,
            witness_changes: 0,
            highest_generation: 1,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.deliver_writes(state, &mut next);
        for message in &state.messages {
            self.deliver(state, message, &mut next);
        }
        for index in 0..ROUTERS {
            self.receive_lists(state, index, &mut next);
            self.update_ledger(state, index, &mut next);
            Self::read_ledger(state, index, &mut next);
            Self::request_extension(state, index, &mut next);
            self.spend(state, index, &mut next);
            self.seal(state, index, &mut next);
            self.request_transfer(state, index, &mut next);
            self.crash(state, index, &mut next);
        }
        for state in &mut next {
            state.remove_obsolete_messages();
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let highest = (1..=state.highest_generation).map(paid).max().unwrap();
        (state.served > highest.get()).then_some("more tokens were served than paid for")
    }
}

impl Spec {
    fn deliver_writes(&self, state: &State, next: &mut Vec<State>) {
        for (index, write) in state.writes.iter().enumerate() {
            let is_expected = write.expected == state.version;
            if is_expected || self.injects(Fault::WriteWithoutCondition) {
                let mut state = state.clone();
                state.writes.remove(index);
                state.ledger = write.entry.clone();
                state.version += 1;
                let version = state.version;
                if !self.injects(Fault::WriteWithoutCondition) {
                    state.writes.retain(|write| write.expected >= version);
                }
                next.push(state);
            }
        }
    }

    fn receive_lists(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let generation = state.routers[index].generation + 1;
        if generation <= self.bounds.generations {
            let mut state = state.clone();
            state.routers[index].generation = generation;
            state.highest_generation = state.highest_generation.max(generation);
            next.push(state);
        }
    }

    /// Prepares an update, or resends the pending one, and writes it conditionally on the current
    /// ledger version.
    fn update_ledger(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let router = &state.routers[index];
        let mut updates_to_try = Vec::new();
        if router.holder.pending().is_some() {
            updates_to_try.push((Tokens::ZERO, Tokens::ZERO, false));
        } else if router.updates < self.bounds.updates[index] {
            updates_to_try.push((Tokens::new(2), Tokens::ZERO, false));
            if self.bounds.returns && router.holder.free_tokens() > Tokens::ZERO {
                updates_to_try.push((Tokens::ZERO, router.holder.free_tokens(), false));
            }
            if router.updates > 0 && state.witness_changes < self.bounds.witness_changes {
                updates_to_try.push((Tokens::ZERO, Tokens::ZERO, true));
            }
        }
        for (draw_tokens, return_tokens, changes_witness) in updates_to_try {
            let mut state = state.clone();
            let chosen = self.choose_witnesses(&state, index, changes_witness);
            let current = state.routers[index].holder.witnesses().clone();
            let router = &mut state.routers[index];
            let is_new = router.holder.pending().is_none();
            let mut update = router.holder.prepare_update(&UpdateParams {
                generation: router.generation,
                paid_tokens: paid(router.generation),
                draw_tokens,
                return_tokens,
                witnesses: if is_new && !changes_witness && !current.is_empty() {
                    current
                } else {
                    chosen
                },
            });
            if self.injects(Fault::NewWitnessWithoutFloor) {
                update.horizon_floor_tokens = Tokens::ZERO;
            }
            router.updates += u8::from(is_new);
            state.witness_changes += u8::from(changes_witness);
            let mut entry = state.ledger.clone();
            if entry.apply(&update).is_ok() && entry != state.ledger {
                state.add_write(entry);
            }
            next.push(state);
        }
    }

    fn read_ledger(state: &State, index: usize, next: &mut Vec<State>) {
        let router = &state.routers[index];
        let Some(row) = state.ledger.rows.get(&router.id) else {
            return;
        };
        let mut state = state.clone();
        state.routers[index].holder.confirm(row);
        next.push(state);
    }

    fn request_extension(state: &State, index: usize, next: &mut Vec<State>) {
        let holder = &state.routers[index].holder;
        let horizon = holder.consumed_tokens() + Tokens::new(1);
        if horizon > holder.limit_tokens() || horizon <= holder.horizon_tokens() {
            return;
        }
        for witness in holder.witnesses().all() {
            let mut state = state.clone();
            let holder = holder.id();
            state.messages.insert(Message::Extend {
                holder,
                witness,
                horizon,
            });
            next.push(state);
        }
    }

    fn spend(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let mut state = state.clone();
        let holder = &mut state.routers[index].holder;
        if self.injects(Fault::SpendBeyondHorizon) {
            let record = WitnessRecord {
                horizon_tokens: holder.limit_tokens(),
                sealed: false,
            };
            let witness = holder.witnesses().all().next();
            if let Some(witness) = witness {
                holder.acknowledge(witness, record);
            }
        }
        let amount = Tokens::new(1);
        if holder.reserve(amount).is_ok() {
            holder.settle(amount, amount);
            state.served += 1;
            next.push(state);
        }
    }

    /// A router considers another one gone, correctly or not, and reclaims its grant.
    fn seal(&self, state: &State, index: usize, next: &mut Vec<State>) {
        if state.seals >= self.bounds.seals {
            return;
        }
        for (holder, row) in &state.ledger.rows {
            if *holder == state.routers[index].id || row.witnesses.is_empty() {
                continue;
            }
            let mut state = state.clone();
            state.seals += 1;
            let reclaim = Reclaim {
                holder: *holder,
                sealed: SealedHorizons::new(),
            };
            state.routers[index].reclaim = Some(reclaim);
            for witness in row.witnesses.all() {
                let holder = *holder;
                state.messages.insert(Message::Seal { holder, witness });
            }
            next.push(state);
        }
    }

    fn request_transfer(&self, state: &State, index: usize, next: &mut Vec<State>) {
        if state.transfers >= self.bounds.transfers {
            return;
        }
        let receiver = state.routers[index].id;
        for peer in (0..ROUTERS).filter(|peer| *peer != index) {
            let mut state = state.clone();
            let known_tokens = state.routers[index]
                .holder
                .received_from(state.routers[peer].id);
            let sender = &mut state.routers[peer].holder;
            let total = sender.send(receiver, known_tokens, Tokens::new(1));
            if total > known_tokens {
                state.transfers += 1;
                let sender = state.routers[peer].id;
                state.messages.insert(Message::Transfer {
                    sender,
                    receiver,
                    total,
                });
                next.push(state);
            }
        }
    }

    fn crash(&self, state: &State, index: usize, next: &mut Vec<State>) {
        if state.crashes >= self.bounds.crashes {
            return;
        }
        let mut state = state.clone();
        state.crashes += 1;
        let generation = state.routers[index].generation;
        let mut router = start_router(id_of(index, 1), generation);
        if self.injects(Fault::RestartUnderSameId) {
            router = start_router(state.routers[index].id, generation);
            let row = state
                .ledger
                .rows
                .get(&router.id)
                .cloned()
                .unwrap_or_default();
            router.holder = restore_holder(router.id, &row);
        }
        state.routers[index] = router;
        next.push(state);
    }

    fn deliver(&self, state: &State, message: &Message, next: &mut Vec<State>) {
        match message {
            Message::Extend {
                holder,
                witness,
                horizon,
            } => {
                self.deliver_extend(state, *holder, *witness, *horizon, next);
            }
            Message::Extended {
                holder,
                witness,
                horizon,
                sealed,
            } => {
                let record = WitnessRecord {
                    horizon_tokens: *horizon,
                    sealed: *sealed,
                };
                if let Some(index) = state.index_of(*holder) {
                    let mut state = state.clone();
                    state.routers[index].holder.acknowledge(*witness, record);
                    next.push(state);
                }
            }
            Message::Seal { holder, witness } => {
                if let Some(index) = state.index_of(*witness) {
                    let mut state = state.clone();
                    let record = state.routers[index].witness.seal(*holder, &self.budget);
                    let horizon = record.horizon_tokens;
                    let (holder, witness) = (*holder, *witness);
                    state.messages.insert(Message::Sealed {
                        holder,
                        witness,
                        horizon,
                    });
                    next.push(state);
                }
            }
            Message::Sealed {
                holder,
                witness,
                horizon,
            } => {
                self.deliver_sealed(state, *holder, *witness, *horizon, next);
            }
            Message::Transfer {
                sender,
                receiver,
                total,
            } => {
                self.deliver_transfer(state, *sender, *receiver, *total, next);
            }
        }
    }

    fn deliver_extend(
        &self,
        state: &State,
        holder: HolderId,
        witness: HolderId,
        horizon: Tokens,
        next: &mut Vec<State>,
    ) {
        let Some(index) = state.index_of(witness) else {
            return;
        };
        let mut state = state.clone();
        let records = &mut state.routers[index].witness;
        let mut record = records.extend(holder, &self.budget, horizon);
        if self.injects(Fault::WitnessForgetsSeal) {
            record = WitnessRecord {
                horizon_tokens: horizon,
                sealed: false,
            };
        }
        let (horizon, sealed) = (record.horizon_tokens, record.sealed);
        state.messages.insert(Message::Extended {
            holder,
            witness,
            horizon,
            sealed,
        });
        next.push(state);
    }

    fn deliver_sealed(
        &self,
        state: &State,
        holder: HolderId,
        witness: HolderId,
        horizon: Tokens,
        next: &mut Vec<State>,
    ) {
        for index in 0..ROUTERS {
            let Some(reclaim) = &state.routers[index].reclaim else {
                continue;
            };
            if reclaim.holder != holder {
                continue;
            }
            let mut state = state.clone();
            let mut reclaim = reclaim.clone();
            reclaim.sealed.insert(witness, horizon);
            let mut entry = state.ledger.clone();
            if self.injects(Fault::NearAllowanceIgnored) {
                let row = entry.rows.get_mut(&holder).unwrap();
                row.witnesses.near = None;
            }
            let result = entry.reclaim(holder, &reclaim.sealed);
            let forges_seals = self.injects(Fault::ReclaimAtFormerWitness)
                || self.injects(Fault::ReclaimAfterOneSeal);
            if result.is_err() && forges_seals {
                let witnesses = entry.rows[&holder].witnesses.clone();
                let forged = witnesses.all().map(|witness| (witness, horizon)).collect();
                let _ = entry.reclaim(holder, &forged);
            }
            state.routers[index].reclaim = Some(reclaim);
            if entry != state.ledger {
                state.add_write(entry);
            }
            next.push(state);
        }
    }

    fn deliver_transfer(
        &self,
        state: &State,
        sender: HolderId,
        receiver: HolderId,
        total: Tokens,
        next: &mut Vec<State>,
    ) {
        let Some(index) = state.index_of(receiver) else {
            return;
        };
        let mut state = state.clone();
        let holder = &mut state.routers[index].holder;
        if self.injects(Fault::TransferCreditedTwice) {
            holder.receive(sender, holder.received_from(sender) + total + total);
        } else {
            holder.receive(sender, total);
        }
        next.push(state);
    }
}

/// Returns the state of a restarted router that wrongly continues with its previous row.
fn restore_holder(id: HolderId, row: &GrantRow) -> Holder {
    let mut holder = Holder::new(id);
    for _ in 0..row.seq {
        holder.prepare_update(&UpdateParams {
            generation: 1,
            paid_tokens: Tokens::ZERO,
            draw_tokens: Tokens::ZERO,
            return_tokens: Tokens::ZERO,
            witnesses: row.witnesses.clone(),
        });
        holder.confirm(row);
    }
    holder
}

impl State {
    fn index_of(&self, id: HolderId) -> Option<usize> {
        self.routers.iter().position(|router| router.id == id)
    }

    /// Removes messages that can no longer have an effect: their receiver is gone or already has
    /// the information. Counters only grow, so this excludes no behaviour.
    fn remove_obsolete_messages(&mut self) {
        let routers = &self.routers;
        let find = |id: &HolderId| routers.iter().find(|router| router.id == *id);
        let answered: Vec<(HolderId, HolderId)> = self
            .messages
            .iter()
            .filter_map(|message| match message {
                Message::Sealed {
                    holder, witness, ..
                } => Some((*holder, *witness)),
                _ => None,
            })
            .collect();
        self.messages.retain(|message| match message {
            Message::Extend {
                holder, witness, ..
            } => find(witness).is_some() && find(holder).is_some(),
            Message::Extended {
                holder,
                horizon,
                sealed,
                ..
            } => find(holder).is_some_and(|router| {
                *horizon > router.holder.horizon_tokens()
                    || (*sealed && !router.holder.is_witness_sealed())
            }),
            Message::Seal { holder, witness } => {
                find(witness).is_some() && !answered.contains(&(*holder, *witness))
            }
            Message::Sealed { holder, .. } => routers.iter().any(|router| {
                router
                    .reclaim
                    .as_ref()
                    .is_some_and(|reclaim| reclaim.holder == *holder)
            }),
            Message::Transfer {
                sender,
                receiver,
                total,
            } => find(receiver).is_some_and(|router| *total > router.holder.received_from(*sender)),
        });
    }

    fn add_write(&mut self, entry: BudgetEntry) {
        let write = Write {
            expected: self.version,
            entry,
        };
        if !self.writes.contains(&write) {
            self.writes.push(write);
        }
    }
}
