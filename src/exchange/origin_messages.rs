//! Messages between routers about what began a stream.

use serde::{Deserialize, Serialize};

use crate::core::ids::{PoolId, ReplicaVersion};
use crate::core::stream_origin::{StreamId, StreamOrigin};

/// Report of a router that received the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginReport {
    /// The stream.
    pub stream: StreamId,
    /// Replica and version of the first event.
    pub origin: StreamOrigin,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}

/// Acknowledgement of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginAck {
    /// The stream.
    pub stream: StreamId,
    /// True if the keeper knows several versions that began it.
    pub is_conflicting: bool,
}

/// Query for the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginQuery {
    /// Random id, which the reply repeats.
    pub id: u64,
    /// The stream.
    pub stream: StreamId,
    /// Pool at which the stream is to go on.
    pub pool: PoolId,
}

/// Reply to a query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OriginReply {
    /// Id of the query.
    pub id: u64,
    /// What the router knows.
    pub answer: OriginAnswer,
}

/// What a router knows of the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OriginAnswer {
    /// The origin.
    Known {
        /// Replica and version of the first event.
        origin: StreamOrigin,
        /// Time since then, in milliseconds.
        age_ms: u32,
    },
    /// Several versions began it.
    Conflicting {
        /// Time since the last of them did, in milliseconds.
        age_ms: u32,
    },
    /// Nothing.
    Unknown {
        /// The version that all replicas of the pool have had for longer than a stream lives, if
        /// there is one.
        single_version: Option<ReplicaVersion>,
    },
}
