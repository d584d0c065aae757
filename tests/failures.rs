//! Budgets, claims and bills of a complete site through partitions, outages and list edits.

mod common;

use std::net::SocketAddr;

use common::client::{
    call_until_refused, fetch_status, send_call, send_chat, wait_for, wait_ready, Outcome,
    CALL_TOKENS,
};
use common::site::{router_addresses, start, TEAMS};
use currantlever::fakes::fleet::{plans_list, usage_list, Site, SiteOptions};
use currantlever::fakes::service::ServiceFaults;
use currantlever::{
    discard_logger, settle_all, AcceptedLists, BudgetEntry, Edit, LedgerClient, RefusalKind,
    RunState, StoreFaults, Tokens,
};

async fn set_paid_tokens(site: &Site, team: &str, paid_tokens: u64) -> u64 {
    let store = site.platform.store();
    let lists = AcceptedLists::load(store.as_ref(), &AcceptedLists::default())
        .await
        .unwrap();
    let mut plans = lists.plans();
    let mut teams = plans.teams.iter_mut();
    let team = teams.find(|entry| entry.team.as_str() == team).unwrap();
    team.budgets[0].paid_tokens = Tokens::new(paid_tokens);
    site.accept(Edit::Plans(plans)).await.unwrap()
}

async fn budget_entry(site: &Site, budget: &str) -> BudgetEntry {
    let ledger = LedgerClient::new(site.platform.store());
    let entries = ledger.read_all().await.unwrap().entries;
    let found = entries.into_iter().find(|(id, _)| id.as_str() == budget);
    found.map(|(_, entry)| entry).unwrap_or_default()
}

async fn billed_tokens(site: &Site) -> u64 {
    let settlement = settle_all(site.platform.store().as_ref()).await.unwrap();
    let totals = settlement.totals();
    totals
        .values()
        .map(|totals| totals.billed_tokens.get())
        .sum()
}

async fn stop_all(site: &mut Site) {
    for router in std::mem::take(&mut site.routers) {
        assert!(router.drain_and_stop().await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_budget_is_spent_from_every_failure_domain_to_its_last_token() {
    let options = SiteOptions {
        routers: 4,
        ..SiteOptions::small(21)
    };
    let mut site = start(options).await;
    let routers = router_addresses(&site);
    let callers = routers.iter().enumerate().map(|(number, address)| {
        let address = *address;
        tokio::spawn(async move {
            call_until_refused(address, "poor", &format!("first-{number}")).await
        })
    });
    let mut served = 0;
    for caller in callers.collect::<Vec<_>>() {
        let (count, outcome) = caller.await.unwrap();
        served += count;
        let Outcome::Refused { run, .. } = outcome else {
            panic!("{outcome:?}")
        };
        assert_eq!(run, RunState::NotRun);
    }
    let mut round = 0;
    let paid_calls = TEAMS[1].1 / CALL_TOKENS;
    while served < paid_calls {
        round += 1;
        assert!(round < 200, "{served} of {paid_calls} calls were served");
        for (number, address) in routers.iter().enumerate() {
            let id_prefix = format!("round-{round}-{number}");
            served += call_until_refused(*address, "poor", &id_prefix).await.0;
        }
    }
    for (number, address) in routers.iter().enumerate() {
        let (served_after, outcome) =
            call_until_refused(*address, "poor", &format!("last-{number}")).await;
        assert_eq!(served_after, 0);
        let exhausted = Outcome::Refused {
            kind: RefusalKind::BudgetExhausted,
            run: RunState::NotRun,
        };
        assert_eq!(outcome, exhausted);
    }
    assert_eq!(served, paid_calls);
    stop_all(&mut site).await;
    assert_eq!(billed_tokens(&site).await, TEAMS[1].1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_top_up_on_one_side_of_a_long_partition_serves_there_and_later_everywhere() {
    let options = SiteOptions {
        routers: 4,
        near_routers: 2,
        use_in_process_network: true,
        ..SiteOptions::small(22)
    };
    let mut site = start(options).await;
    let routers = router_addresses(&site);
    let mut served = 0;
    for (number, address) in routers.iter().enumerate() {
        let outcome = send_call(*address, "poor", "GET", &format!("before-{number}")).await;
        assert!(outcome.is_whole(), "{outcome:?}");
        served += 1;
    }
    let peers: Vec<SocketAddr> = site
        .routers
        .iter()
        .map(currantlever::Daemon::peer_address)
        .collect();
    site.in_process_network.cut(&peers[..2], &peers[2..]);
    site.far_platform.set_cut(true);
    for address in &routers {
        let (count, outcome) =
            call_until_refused(*address, "poor", &format!("parted-{address}")).await;
        served += count;
        assert!(matches!(
            outcome,
            Outcome::Refused {
                run: RunState::NotRun,
                ..
            }
        ));
    }
    let paid_calls = TEAMS[1].1 / CALL_TOKENS;
    assert!(served <= paid_calls, "{served}");
    let generation = set_paid_tokens(&site, "poor", TEAMS[1].1 + 1_000).await;
    for address in &routers[..2] {
        wait_for("the top-up is in force on the near side", || async {
            fetch_status(*address).await["generation"].as_u64() == Some(generation)
        })
        .await;
    }
    let near = routers[0];
    let mut attempts = 0;
    wait_for("the near side serves again", || {
        attempts += 1;
        let id = format!("topped-{attempts}");
        async move { send_call(near, "poor", "GET", &id).await.is_whole() }
    })
    .await;
    served += 1;
    let (far_served, _) = call_until_refused(routers[2], "poor", "far").await;
    served += far_served;
    assert!(served <= paid_calls + 100, "{served}");
    site.in_process_network.heal();
    site.far_platform.set_cut(false);
    let far = routers[3];
    wait_for("the far side serves again", || {
        attempts += 1;
        let id = format!("healed-{attempts}");
        async move { send_call(far, "poor", "GET", &id).await.is_whole() }
    })
    .await;
    served += 1;
    stop_all(&mut site).await;
    assert_eq!(billed_tokens(&site).await, served * CALL_TOKENS);
    let entry = budget_entry(&site, "poor").await;
    assert!(entry.charged_tokens() <= Tokens::new(TEAMS[1].1 + 1_000));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_that_is_down_and_then_slow_loses_no_answer_and_no_bill() {
    let mut site = start(SiteOptions::small(23)).await;
    let address = site.routers[0].address();
    let store = site.platform.store();
    let mut used_tokens = 0;
    let slow = StoreFaults {
        delay_ms: 700,
        ..StoreFaults::default()
    };
    let outage = StoreFaults {
        down: true,
        ..StoreFaults::default()
    };
    for (phase, faults) in [StoreFaults::default(), outage, slow]
        .into_iter()
        .enumerate()
    {
        store.set_faults(faults);
        for number in 0..8 {
            let id = format!("phase-{phase}-{number}");
            let outcome = send_chat(address, "rich", &id, "hello").await;
            let Outcome::Whole { tokens, .. } = outcome else {
                panic!("{id}: {outcome:?}")
            };
            used_tokens += tokens;
        }
    }
    let claimed = send_call(address, "rich", "POST", "lease").await;
    assert!(claimed.is_whole(), "{claimed:?}");
    used_tokens += CALL_TOKENS;
    store.set_faults(StoreFaults::default());
    stop_all(&mut site).await;
    assert_eq!(billed_tokens(&site).await, used_tokens);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lowered_plan_revokes_the_grants_beyond_it() {
    let site = start(SiteOptions::small(24)).await;
    let routers = router_addresses(&site);
    let callers: Vec<_> = routers
        .iter()
        .map(|address| {
            let address = *address;
            tokio::spawn(async move {
                call_until_refused(address, "rich", &format!("call-{address}")).await
            })
        })
        .collect();
    wait_for(
        "the callers have spent more than the lowered plan allows",
        || async { budget_entry(&site, "rich").await.spent_tokens() > Tokens::new(100) },
    )
    .await;
    let entry_before = budget_entry(&site, "rich").await;
    let generation = set_paid_tokens(&site, "rich", 100).await;
    for address in &routers {
        wait_for("the lowered plan is in force", || async {
            fetch_status(*address).await["generation"].as_u64() == Some(generation)
        })
        .await;
    }
    let mut served = 0;
    for caller in callers {
        let (count, outcome) = caller.await.unwrap();
        served += count;
        assert!(matches!(
            outcome,
            Outcome::Refused {
                kind: RefusalKind::BudgetExhausted,
                ..
            }
        ));
    }
    let spent_tokens = Tokens::new(served * CALL_TOKENS);
    let unspent_tokens = entry_before.charged_tokens() - entry_before.spent_tokens();
    let late_tokens = spent_tokens - entry_before.spent_tokens();
    assert!(
        late_tokens < unspent_tokens.scaled(1, 2),
        "{late_tokens} of {unspent_tokens} granted tokens were spent after the plan was lowered"
    );
    wait_for("all unspent grants are revoked", || async {
        budget_entry(&site, "rich").await.charged_tokens() == spent_tokens
    })
    .await;
    set_paid_tokens(&site, "rich", spent_tokens.get() + 100).await;
    let mut attempts = 0;
    wait_for("requests are served under the raised plan", || {
        attempts += 1;
        let id = format!("raised-{attempts}");
        let address = routers[0];
        async move { send_call(address, "rich", "GET", &id).await.is_whole() }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reservation_answered_after_its_deadline_is_not_run_again() {
    let mut usage = usage_list().unwrap();
    usage.plans[0].deadline_ms = 300;
    let plans = plans_list(&TEAMS).unwrap();
    let options = SiteOptions {
        services: 1,
        ..SiteOptions::small(25)
    };
    let site = Site::start(options, plans, usage, &discard_logger())
        .await
        .unwrap();
    let routers = router_addresses(&site);
    wait_ready(&routers).await;
    site.services[0].set_faults(ServiceFaults {
        delay_ms: 1_000,
        ..ServiceFaults::default()
    });
    let late = send_call(routers[0], "rich", "POST", "lease").await;
    let Outcome::Refused { run, .. } = late else {
        panic!("{late:?}")
    };
    assert_eq!(run, RunState::OutcomeUnknown);
    site.services[0].set_faults(ServiceFaults::default());
    for address in routers.iter().chain(&routers) {
        let retry = send_call(*address, "rich", "POST", "lease").await;
        let Outcome::Refused { kind, run } = retry else {
            panic!("{retry:?}")
        };
        assert_eq!(kind, RefusalKind::Duplicate);
        assert_ne!(run, RunState::NotRun);
    }
    assert_eq!(site.services[0].runs()["lease"], 1);
}

/// Guards against passing on an answer whose status no final answer can have.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_answered_with_an_invalid_status_fails_and_runs_once() {
    let options = SiteOptions {
        services: 1,
        ..SiteOptions::small(26)
    };
    let plans = plans_list(&TEAMS).unwrap();
    let site = Site::start(options, plans, usage_list().unwrap(), &discard_logger())
        .await
        .unwrap();
    let routers = router_addresses(&site);
    wait_ready(&routers).await;
    for status in [600, 999] {
        site.services[0].set_faults(ServiceFaults {
            status: Some(status),
            ..ServiceFaults::default()
        });
        let id = format!("odd-{status}");
        let outcome = send_call(routers[0], "rich", "POST", &id).await;
        let Outcome::Refused { run, .. } = outcome else {
            panic!("{status}: {outcome:?}")
        };
        assert_eq!(run, RunState::OutcomeUnknown, "{status}");
        assert_eq!(site.services[0].runs()[&id], 1, "{status}");
    }
}
