//! Small stand-ins for the systems around the routers, for tests, benches and the demo.

pub mod demo;
pub mod engine;
pub mod fleet;
pub mod platform;
pub mod service;
