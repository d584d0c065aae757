//! Clients that send more than they may, or never finish what they began, against a router as a
//! separate process. One crowd at a time: what is measured is the process alone.

#[path = "../common/mod.rs"]
mod common;
mod crowds;
mod heads;
mod measure;
mod readers;
mod replica;
mod senders;
mod serve;
#[path = "../entry/site.rs"]
#[allow(dead_code, reason = "shared with the other tests of entry routers")]
mod site;
#[path = "../entry/store.rs"]
#[allow(dead_code, reason = "shared with the other tests of entry routers")]
mod store;
