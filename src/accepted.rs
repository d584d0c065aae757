//! The accepted lists in the platform: one head object and content-addressed parts.
//!
//! A change writes the new parts first and then replaces the head by a conditional update. The
//! head is the commit point of both lists, which are validated together, so a reader never sees a
//! partial edit. The head records the generation in which each part last changed, so that a peer
//! with an older generation needs only the parts that changed since.

use std::collections::BTreeMap;
use std::hash::Hasher;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;
use twox_hash::XxHash64;

use crate::core::ledger::Generation;
use crate::lists::{validate_lists, ListName, PlansList, Team, UsageList, ValidationError};
use crate::store::update::{read_json, write_json, UpdateError};
use crate::store::{Expected, ObjectKey, ObjectStore, StoreError};

/// Number of parts that the teams are hashed into.
pub const TEAM_PART_COUNT: u64 = 1_024;
/// Key of the head object.
const HEAD_KEY: &str = "lists/head";
/// Attempts to write the head before the edit fails as contended.
const MAX_HEAD_WRITE_ATTEMPTS: u32 = 8;

/// Index of a part: teams by hash of their name, and the next index for the usage list.
pub type PartIndex = u64;
/// Index of the part that holds the usage list.
const USAGE_PART: PartIndex = TEAM_PART_COUNT;

/// The content of one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// Teams whose name hashes to the part.
    Teams(Vec<Team>),
    /// The whole usage list.
    Usage(UsageList),
}

/// Reference to a part's content, with the generation of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartRef {
    /// SHA-256 of the content, in hexadecimal.
    pub sha256: CompactString,
    /// Generation in which the part last changed.
    pub generation: Generation,
}

/// The head: the parts that make up the accepted lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Generation of the accepted lists; incremented by each accepted change.
    pub generation: Generation,
    /// Generation in which the plans list last changed.
    pub plans_generation: Generation,
    /// Generation in which the usage list last changed.
    pub usage_generation: Generation,
    /// References to the parts, by index.
    pub parts: BTreeMap<PartIndex, PartRef>,
}

/// The parts that changed since an older generation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListsDelta {
    /// Generation from which the delta starts: the one that the receiver has.
    pub since: Generation,
    /// Generation after the delta is applied.
    pub generation: Generation,
    /// Generation in which the plans list last changed.
    pub plans_generation: Generation,
    /// Generation in which the usage list last changed.
    pub usage_generation: Generation,
    /// Parts that changed, with the generation of their last change.
    pub parts: BTreeMap<PartIndex, (Generation, Part)>,
}

/// The accepted lists with all parts loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptedLists {
    head: Head,
    parts: BTreeMap<PartIndex, Part>,
}

/// Why a change of the lists was not accepted.
#[derive(Debug, Error)]
pub enum AcceptError {
    /// The edited list is invalid together with the other list.
    #[error("the lists have {} faults", .0.len())]
    Invalid(Vec<ValidationError>),
    /// Another operator changed the list after the generation that the edit started from.
    #[error(
        "the {list} list is at generation {found}, the edit started from {base}; \
         get the list, make the edit again and apply it"
    )]
    Conflict {
        /// The list.
        list: ListName,
        /// Generation that the edit started from.
        base: Generation,
        /// Generation of the list in the platform.
        found: Generation,
    },
    /// The platform failed.
    #[error(transparent)]
    Update(#[from] UpdateError),
    /// A part is missing from the platform, or its content does not match its digest or format.
    #[error("part {sha256} of the lists cannot be read")]
    Part {
        /// The part's digest, which is its name.
        sha256: CompactString,
    },
}

impl From<StoreError> for AcceptError {
    fn from(error: StoreError) -> Self {
        Self::Update(error.into())
    }
}

/// Returns the key of the head object.
#[must_use]
pub fn head_key() -> ObjectKey {
    ObjectKey::new(HEAD_KEY)
}

fn part_key(sha256: &str) -> ObjectKey {
    ObjectKey::new(format!("lists/parts/{sha256}"))
}

fn encode(part: &Part) -> Result<(CompactString, Bytes), StoreError> {
    let bytes = serde_json::to_vec(part).map_err(|error| StoreError::Refused {
        reason: error.to_string(),
    })?;
    Ok((hex::encode(Sha256::digest(&bytes)).into(), bytes.into()))
}

fn part_index(team: &Team) -> PartIndex {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(team.team.as_str().as_bytes());
    hasher.finish() % TEAM_PART_COUNT
}

impl AcceptedLists {
    /// Returns the generation of the lists.
    #[must_use]
    pub const fn generation(&self) -> Generation {
        self.head.generation
    }

    /// Returns the plans list, sorted by team, with the generation that an edit of it starts from.
    #[must_use]
    pub fn plans(&self) -> PlansList {
        let mut teams: Vec<Team> = Vec::new();
        for part in self.parts.values() {
            if let Part::Teams(part_teams) = part {
                teams.extend(part_teams.iter().cloned());
            }
        }
        teams.sort_by(|a, b| a.team.cmp(&b.team));
        PlansList {
            generation: self.head.plans_generation,
            teams,
        }
    }

    /// Returns the usage list, with the generation that an edit of it starts from.
    #[must_use]
    pub fn usage(&self) -> UsageList {
        let mut usage = match self.parts.get(&USAGE_PART) {
            Some(Part::Usage(usage)) => usage.clone(),
            _ => UsageList::default(),
        };
        usage.generation = self.head.usage_generation;
        usage
    }

    /// Returns the parts that changed after a generation, for a peer with that older generation.
    #[must_use]
    pub fn delta_since(&self, since: Generation) -> ListsDelta {
        let changed = self
            .head
            .parts
            .iter()
            .filter(|(_, part)| part.generation > since);
        let parts = changed
            .filter_map(|(index, part)| {
                let content = self.parts.get(index)?.clone();
                Some((*index, (part.generation, content)))
            })
            .collect();
        ListsDelta {
            since,
            generation: self.head.generation,
            plans_generation: self.head.plans_generation,
            usage_generation: self.head.usage_generation,
            parts,
        }
    }

    /// Applies a delta received from a peer. Returns false, changing nothing, when the delta is not
    /// newer than these lists or starts from a later generation.
    pub fn apply_delta(&mut self, delta: ListsDelta) -> bool {
        let is_applicable =
            delta.since <= self.head.generation && delta.generation > self.head.generation;
        if !is_applicable {
            return false;
        }
        for (index, (generation, part)) in delta.parts {
            let Ok((sha256, _)) = encode(&part) else {
                return false;
            };
            self.head
                .parts
                .insert(index, PartRef { sha256, generation });
            self.parts.insert(index, part);
        }
        self.head.generation = delta.generation;
        self.head.plans_generation = delta.plans_generation;
        self.head.usage_generation = delta.usage_generation;
        true
    }

    /// Reads the accepted lists, reusing unchanged parts of an older copy.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable or a part is missing or corrupt.
    pub async fn load(store: &dyn ObjectStore, cached: &Self) -> Result<Self, AcceptError> {
        let (head, _) = read_json::<Head>(store, &head_key()).await?;
        Self::load_parts(store, head, cached).await
    }

    /// Reads the parts that a head refers to, reusing unchanged parts of an older copy.
    ///
    /// # Errors
    ///
    /// Fails when the platform is unavailable or a part is missing or corrupt.
    pub async fn load_parts(
        store: &dyn ObjectStore,
        head: Head,
        cached: &Self,
    ) -> Result<Self, AcceptError> {
        let mut parts = BTreeMap::new();
        for (index, part) in &head.parts {
            let is_cached = cached
                .head
                .parts
                .get(index)
                .is_some_and(|cached_part| cached_part.sha256 == part.sha256);
            let content = match cached.parts.get(index).filter(|_| is_cached) {
                Some(content) => content.clone(),
                None => read_part(store, &part.sha256).await?,
            };
            parts.insert(*index, content);
        }
        Ok(Self { head, parts })
    }

    fn with_plans(&self, plans: &PlansList) -> Result<Self, StoreError> {
        let mut teams_by_part: BTreeMap<PartIndex, Vec<Team>> = BTreeMap::new();
        for index in self.parts.keys().filter(|index| **index != USAGE_PART) {
            teams_by_part.insert(*index, Vec::new());
        }
        for team in &plans.teams {
            teams_by_part
                .entry(part_index(team))
                .or_default()
                .push(team.clone());
        }
        let mut next = self.clone();
        next.head.generation += 1;
        next.head.plans_generation = next.head.generation;
        for (index, teams) in teams_by_part {
            next.set_part(index, Part::Teams(teams))?;
        }
        Ok(next)
    }

    fn with_usage(&self, usage: &UsageList) -> Result<Self, StoreError> {
        let mut next = self.clone();
        next.head.generation += 1;
        next.head.usage_generation = next.head.generation;
        let usage = UsageList {
            generation: 0,
            ..usage.clone()
        };
        next.set_part(USAGE_PART, Part::Usage(usage))?;
        Ok(next)
    }

    fn set_part(&mut self, index: PartIndex, part: Part) -> Result<(), StoreError> {
        if self.parts.get(&index) == Some(&part) {
            return Ok(());
        }
        let (sha256, _) = encode(&part)?;
        let generation = self.head.generation;
        self.head
            .parts
            .insert(index, PartRef { sha256, generation });
        self.parts.insert(index, part);
        Ok(())
    }
}

async fn read_part(store: &dyn ObjectStore, sha256: &str) -> Result<Part, AcceptError> {
    let corrupt_part = || AcceptError::Part {
        sha256: sha256.into(),
    };
    let object = store
        .get(&part_key(sha256))
        .await?
        .ok_or_else(corrupt_part)?;
    if hex::encode(Sha256::digest(&object.value)) != sha256 {
        return Err(corrupt_part());
    }
    serde_json::from_slice(&object.value).map_err(|_| corrupt_part())
}

/// An edited list to be accepted by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// A new plans list.
    Plans(PlansList),
    /// A new usage list.
    Usage(UsageList),
}

impl Edit {
    const fn list(&self) -> ListName {
        match self {
            Self::Plans(_) => ListName::Plans,
            Self::Usage(_) => ListName::Usage,
        }
    }

    const fn base(&self) -> Generation {
        match self {
            Self::Plans(plans) => plans.generation,
            Self::Usage(usage) => usage.generation,
        }
    }
}

/// Validates an edit together with the current version of the other list, and writes it to the
/// platform.
///
/// Returns the accepted generation. An edit that equals the platform's list succeeds with the
/// current generation, so an edit whose response was lost can be repeated.
///
/// # Errors
///
/// Fails, with nothing changed, when the lists are invalid together or the list was changed after
/// the generation that the edit started from.
pub async fn accept_edit(store: &dyn ObjectStore, edit: &Edit) -> Result<Generation, AcceptError> {
    let mut cached = AcceptedLists::default();
    for _ in 0..MAX_HEAD_WRITE_ATTEMPTS {
        let (head, expected) = read_json::<Head>(store, &head_key()).await?;
        let current = AcceptedLists::load_parts(store, head, &cached).await?;
        let Some(next) = prepare_edit(&current, edit)? else {
            return Ok(current.generation());
        };
        write_parts(store, &current, &next).await?;
        match write_json(store, &head_key(), &next.head, expected).await {
            Ok(_) => return Ok(next.generation()),
            Err(StoreError::Conflict { .. } | StoreError::Unavailable { .. }) => {}
            Err(error) => return Err(error.into()),
        }
        cached = next;
    }
    Err(UpdateError::Contended { key: head_key() }.into())
}

fn prepare_edit(
    current: &AcceptedLists,
    edit: &Edit,
) -> Result<Option<AcceptedLists>, AcceptError> {
    let found = match edit {
        Edit::Plans(_) => current.head.plans_generation,
        Edit::Usage(_) => current.head.usage_generation,
    };
    let next = match edit {
        Edit::Plans(plans) => current.with_plans(plans)?,
        Edit::Usage(usage) => current.with_usage(usage)?,
    };
    if next.parts == current.parts && current.generation() > 0 {
        return Ok(None);
    }
    if edit.base() != found {
        return Err(AcceptError::Conflict {
            list: edit.list(),
            base: edit.base(),
            found,
        });
    }
    let errors = validate_lists(&next.plans(), &next.usage());
    if errors.is_empty() {
        return Ok(Some(next));
    }
    Err(AcceptError::Invalid(errors))
}

async fn write_parts(
    store: &dyn ObjectStore,
    current: &AcceptedLists,
    next: &AcceptedLists,
) -> Result<(), AcceptError> {
    for (index, part) in &next.parts {
        if current.parts.get(index) == Some(part) {
            continue;
        }
        let (sha256, bytes) = encode(part)?;
        match store.put(&part_key(&sha256), bytes, Expected::Absent).await {
            Ok(_) | Err(StoreError::Conflict { .. }) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}
