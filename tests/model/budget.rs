//! Grants, horizons, witnesses, reclaiming and transfers of one budget.
//!
//! Messages stay in a set from which they can be delivered at any time, in any order and any
//! number of times; so loss, duplication, reordering, delay and partition need no actions of
//! their own. A router that takes no step is paused. A write to the platform is a message too: it
//! takes effect when it is delivered while the ledger has the version that it expects, whether or
//! not its sender still lives.

use std::collections::BTreeSet;

use currantlever::{
    BudgetEntry, BudgetId, Generation, GrantRow, Holder, HolderId, SealedHorizons, Tokens,
    UpdateParams, Witness, WitnessRecord, WitnessSet,
};
use strum::Display;

use super::search::Specification;

const ROUTERS: usize = 3;
const PAID_TOKENS: [u64; 3] = [2, 3, 1];

/// A rule that is broken on purpose.
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

/// How much of everything may happen.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Updates of the ledger by each router. One that makes none is a witness or reclaims.
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

const NONE: Bounds = Bounds {
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

/// The searched configurations. The larger ones run in release builds only.
pub fn configurations() -> Vec<(&'static str, Bounds)> {
    let reclaim = Bounds { seals: 1, ..NONE };
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
                ..NONE
            },
        ),
        (
            "budget/transfer",
            Bounds {
                transfers: 1,
                ..NONE
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
                    ..NONE
                },
            ),
            (
                "budget/top-up-and-fall",
                Bounds {
                    generations: 3,
                    returns: true,
                    ..NONE
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

/// Far more of everything than can be searched; for random walks.
pub const WALK: Bounds = Bounds {
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
    let seal = Bounds { seals: 1, ..NONE };
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
                ..NONE
            },
        ),
        (Fault::WriteWithoutCondition, NONE),
        (Fault::RestartUnderSameId, Bounds { crashes: 1, ..NONE }),
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

/// A router that seals another one's witnesses, and the horizons heard so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sealing {
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
    sealing: Option<Sealing>,
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

    fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}

fn id_of(place: usize, starts: u64) -> HolderId {
    HolderId::new(((place as u64 + 1) << 16) | (starts << 8))
}

fn start_router(id: HolderId, generation: Generation) -> Router {
    Router {
        id,
        holder: Holder::new(id),
        witness: Witness::new(),
        generation,
        updates: 0,
        sealing: None,
    }
}

fn paid(generation: Generation) -> Tokens {
    Tokens::new(PAID_TOKENS[usize::try_from(generation).unwrap() - 1])
}

impl Spec {
    /// Each router's far witness is the next one; after a change the one after that. With two
    /// witnesses it is both at first, and with a near one the one after next.
    fn choose_witnesses(&self, state: &State, place: usize, changed: bool) -> WitnessSet {
        let next = state.routers[(place + 1) % ROUTERS].id;
        let after_next = state.routers[(place + 2) % ROUTERS].id;
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
                .map(|place| start_router(id_of(place, 0), 1))
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
        for place in 0..ROUTERS {
            self.apply_list(state, place, &mut next);
            self.update_ledger(state, place, &mut next);
            Self::read_ledger(state, place, &mut next);
            Self::ask_horizon(state, place, &mut next);
            self.spend(state, place, &mut next);
            self.seal(state, place, &mut next);
            self.take_tokens(state, place, &mut next);
            self.crash(state, place, &mut next);
        }
        for state in &mut next {
            state.drop_spent_messages();
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
        for (place, write) in state.writes.iter().enumerate() {
            let is_expected = write.expected == state.version;
            if is_expected || self.has(Fault::WriteWithoutCondition) {
                let mut state = state.clone();
                state.writes.remove(place);
                state.ledger = write.entry.clone();
                state.version += 1;
                let version = state.version;
                if !self.has(Fault::WriteWithoutCondition) {
                    state.writes.retain(|write| write.expected >= version);
                }
                next.push(state);
            }
        }
    }

    fn apply_list(&self, state: &State, place: usize, next: &mut Vec<State>) {
        let generation = state.routers[place].generation + 1;
        if generation <= self.bounds.generations {
            let mut state = state.clone();
            state.routers[place].generation = generation;
            state.highest_generation = state.highest_generation.max(generation);
            next.push(state);
        }
    }

    /// Prepares an update, or takes the pending one, and sends it as a write on the ledger as
    /// read now.
    fn update_ledger(&self, state: &State, place: usize, next: &mut Vec<State>) {
        let router = &state.routers[place];
        let mut wishes = Vec::new();
        if router.holder.pending().is_some() {
            wishes.push((Tokens::ZERO, Tokens::ZERO, false));
        } else if router.updates < self.bounds.updates[place] {
            wishes.push((Tokens::new(2), Tokens::ZERO, false));
            if self.bounds.returns && router.holder.free_tokens() > Tokens::ZERO {
                wishes.push((Tokens::ZERO, router.holder.free_tokens(), false));
            }
            if router.updates > 0 && state.witness_changes < self.bounds.witness_changes {
                wishes.push((Tokens::ZERO, Tokens::ZERO, true));
            }
        }
        for (draw_tokens, return_tokens, changes_witness) in wishes {
            let mut state = state.clone();
            let chosen = self.choose_witnesses(&state, place, changes_witness);
            let present = state.routers[place].holder.witnesses().clone();
            let router = &mut state.routers[place];
            let is_new = router.holder.pending().is_none();
            let mut update = router.holder.prepare_update(&UpdateParams {
                generation: router.generation,
                paid_tokens: paid(router.generation),
                draw_tokens,
                return_tokens,
                witnesses: if is_new && !changes_witness && !present.is_empty() {
                    present
                } else {
                    chosen
                },
            });
            if self.has(Fault::NewWitnessWithoutFloor) {
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

    fn read_ledger(state: &State, place: usize, next: &mut Vec<State>) {
        let router = &state.routers[place];
        let Some(row) = state.ledger.rows.get(&router.id) else {
            return;
        };
        let mut state = state.clone();
        state.routers[place].holder.confirm(row);
        next.push(state);
    }

    fn ask_horizon(state: &State, place: usize, next: &mut Vec<State>) {
        let holder = &state.routers[place].holder;
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

    fn spend(&self, state: &State, place: usize, next: &mut Vec<State>) {
        let mut state = state.clone();
        let holder = &mut state.routers[place].holder;
        if self.has(Fault::SpendBeyondHorizon) {
            let record = WitnessRecord {
                horizon_tokens: holder.limit_tokens(),
                sealed: false,
            };
            let witness = holder.witnesses().all().next();
            if let Some(witness) = witness {
                holder.acknowledge(witness, record);
            }
        }
        let one = Tokens::new(1);
        if holder.reserve(one).is_ok() {
            holder.settle(one, one);
            state.served += 1;
            next.push(state);
        }
    }

    /// A router takes another one for gone, rightly or wrongly, and reclaims its grant.
    fn seal(&self, state: &State, place: usize, next: &mut Vec<State>) {
        if state.seals >= self.bounds.seals {
            return;
        }
        for (holder, row) in &state.ledger.rows {
            if *holder == state.routers[place].id || row.witnesses.is_empty() {
                continue;
            }
            let mut state = state.clone();
            state.seals += 1;
            let sealing = Sealing {
                holder: *holder,
                sealed: SealedHorizons::new(),
            };
            state.routers[place].sealing = Some(sealing);
            for witness in row.witnesses.all() {
                let holder = *holder;
                state.messages.insert(Message::Seal { holder, witness });
            }
            next.push(state);
        }
    }

    fn take_tokens(&self, state: &State, place: usize, next: &mut Vec<State>) {
        if state.transfers >= self.bounds.transfers {
            return;
        }
        let receiver = state.routers[place].id;
        for giver in (0..ROUTERS).filter(|giver| *giver != place) {
            let mut state = state.clone();
            let known_tokens = state.routers[place]
                .holder
                .received_from(state.routers[giver].id);
            let sender = &mut state.routers[giver].holder;
            let total = sender.send(receiver, known_tokens, Tokens::new(1));
            if total > known_tokens {
                state.transfers += 1;
                let sender = state.routers[giver].id;
                state.messages.insert(Message::Transfer {
                    sender,
                    receiver,
                    total,
                });
                next.push(state);
            }
        }
    }

    fn crash(&self, state: &State, place: usize, next: &mut Vec<State>) {
        if state.crashes >= self.bounds.crashes {
            return;
        }
        let mut state = state.clone();
        state.crashes += 1;
        let generation = state.routers[place].generation;
        let mut router = start_router(id_of(place, 1), generation);
        if self.has(Fault::RestartUnderSameId) {
            router = start_router(state.routers[place].id, generation);
            let row = state
                .ledger
                .rows
                .get(&router.id)
                .cloned()
                .unwrap_or_default();
            router.holder = restored(router.id, &row);
        }
        state.routers[place] = router;
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
                if let Some(place) = state.place_of(*holder) {
                    let mut state = state.clone();
                    state.routers[place].holder.acknowledge(*witness, record);
                    next.push(state);
                }
            }
            Message::Seal { holder, witness } => {
                if let Some(place) = state.place_of(*witness) {
                    let mut state = state.clone();
                    let record = state.routers[place].witness.seal(*holder, &self.budget);
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
        let Some(place) = state.place_of(witness) else {
            return;
        };
        let mut state = state.clone();
        let records = &mut state.routers[place].witness;
        let mut record = records.extend(holder, &self.budget, horizon);
        if self.has(Fault::WitnessForgetsSeal) {
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
        for place in 0..ROUTERS {
            let Some(sealing) = &state.routers[place].sealing else {
                continue;
            };
            if sealing.holder != holder {
                continue;
            }
            let mut state = state.clone();
            let mut sealing = sealing.clone();
            sealing.sealed.insert(witness, horizon);
            let mut entry = state.ledger.clone();
            if self.has(Fault::NearAllowanceIgnored) {
                let row = entry.rows.get_mut(&holder).unwrap();
                row.witnesses.near = None;
            }
            let result = entry.reclaim(holder, &sealing.sealed);
            let forges =
                self.has(Fault::ReclaimAtFormerWitness) || self.has(Fault::ReclaimAfterOneSeal);
            if result.is_err() && forges {
                let named = entry.rows[&holder].witnesses.clone();
                let claimed = named.all().map(|witness| (witness, horizon)).collect();
                let _ = entry.reclaim(holder, &claimed);
            }
            state.routers[place].sealing = Some(sealing);
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
        let Some(place) = state.place_of(receiver) else {
            return;
        };
        let mut state = state.clone();
        let holder = &mut state.routers[place].holder;
        if self.has(Fault::TransferCreditedTwice) {
            holder.receive(sender, holder.received_from(sender) + total + total);
        } else {
            holder.receive(sender, total);
        }
        next.push(state);
    }
}

/// What a restarted router would believe if it went on with its former row.
fn restored(id: HolderId, row: &GrantRow) -> Holder {
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
    fn place_of(&self, id: HolderId) -> Option<usize> {
        self.routers.iter().position(|router| router.id == id)
    }

    /// Drops messages that can have no effect any more: their receiver is gone, or it already
    /// knows as much as they tell. Counters only grow, so this leaves out no behaviour.
    fn drop_spent_messages(&mut self) {
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
                    .sealing
                    .as_ref()
                    .is_some_and(|sealing| sealing.holder == *holder)
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
