//! Sizes of the two deployments.

use strum::{Display, EnumIter, EnumString};

/// A deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// The Hanji Binding Makers' Cooperative.
    Cooperative,
    /// Dutovia Sul Tecnologia.
    Dutovia,
}

/// Size of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteSize {
    /// Number of entry VMs, one router each.
    pub routers: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of replicas in the model pool.
    pub replicas: usize,
    /// Number of teams, a few of them large.
    pub teams: usize,
    /// Peak rate of requests per second.
    pub requests_per_s: f64,
}

impl Deployment {
    /// Returns the present size of the deployment.
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
