//! Fakes of the systems around the routers, for tests, benchmarks and the demo.

pub mod demo;
pub mod engine;
pub mod fleet;
pub mod platform;
pub mod service;
