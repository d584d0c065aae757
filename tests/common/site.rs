//! A complete site in the test's process.

use std::net::SocketAddr;

use currantlever::discard_logger;
use currantlever::fakes::engine::{answer_length_tokens, expected_text};
use currantlever::fakes::fleet::{plans_list, usage_list, Site, SiteOptions};

use super::client::{wait_ready, Outcome};

/// Teams and their paid tokens.
pub const TEAMS: [(&str, u64); 2] = [("rich", 1_000_000), ("poor", 900)];

pub async fn start(options: SiteOptions) -> Site {
    let plans = plans_list(&TEAMS).unwrap();
    let site = Site::start(options, plans, usage_list().unwrap(), &discard_logger())
        .await
        .unwrap();
    wait_ready(&router_addresses(&site)).await;
    site
}

pub fn router_addresses(site: &Site) -> Vec<SocketAddr> {
    site.routers
        .iter()
        .map(currantlever::Daemon::address)
        .collect()
}

pub fn expected_answer(id: &str) -> String {
    expected_text(id, answer_length_tokens(id))
}

pub fn assert_whole(outcome: &Outcome, id: &str) {
    match outcome {
        Outcome::Whole { text, .. } => assert_eq!(*text, expected_answer(id)),
        other => panic!("{id}: {other:?}"),
    }
}
