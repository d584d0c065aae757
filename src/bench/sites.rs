//! The sizes of both deployments.

use strum::{Display, EnumIter, EnumString};

/// A deployment by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// The Hanji Binding Makers' Cooperative.
    Cooperative,
    /// Dutovia Sul Tecnologia.
    Dutovia,
}

/// How large a deployment is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteSize {
    /// Entry VMs.
    pub routers: usize,
    /// Failure domains.
    pub domains: usize,
    /// Replicas of the model pool.
    pub replicas: usize,
    /// Teams, a few of them large.
    pub teams: usize,
    /// Requests a second at the peak.
    pub requests_per_s: f64,
}

impl Deployment {
    /// Its size today.
    #[must_use]
    pub const fn size(self) -> SiteSize {
        match self {
            Self::Cooperative => SiteSize {
                routers: 9,
                domains: 4,
                replicas: 18,
                teams: 10,
                requests_per_s: 36.0,
            },
            Self::Dutovia => SiteSize {
                routers: 8,
                domains: 4,
                replicas: 12,
                teams: 10,
                requests_per_s: 24.0,
            },
        }
    }
}
