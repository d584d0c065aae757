//! Benchmarks: simulations of the decision core on simulated time, and measurements of real
//! routers.

pub mod budget_state;
pub mod budgets;
pub mod config;
pub mod costs;
pub mod demand;
pub mod latency;
pub mod routing;
pub mod sites;
pub mod tally;

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "amounts are positive and far below 2^52"
)]
pub(crate) fn scaled(amount: u64, factor: f64) -> u64 {
    (scaled_f64(amount) * factor) as u64
}

#[allow(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
pub(crate) fn scaled_f64(amount: u64) -> f64 {
    amount as f64
}
