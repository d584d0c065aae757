//! Experiments on the decision core: plain loops on an injected clock.

pub mod budgets;
pub mod config;
pub mod costs;
pub mod latency;
pub mod routing;
pub mod sites;
