//! Budgets, claims and bills of a whole site through partitions, outages and edits.

mod common;

use std::net::SocketAddr;

use common::client::{
    call_until_refused, send_call, send_chat, status, wait_for, wait_ready, Outcome, CALL_TOKENS,
};
use common::site::{router_addresses, start, TEAMS};
use currantlever::fakes::fleet::{plans_list, usage_list, Site, SiteOptions};
use currantlever::fakes::service::ServiceFaults;
use currantlever::{
    discard_logger, settle_all, AcceptedLists, BudgetEntry, Edit, LedgerClient, RefusalKind,
    RunState, StoreFaults, Tokens,
};

async fn pay(site: &Site, team: &str, paid_tokens: u64) -> u64 {
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

async fn entry_of(site: &Site, budget: &str) -> BudgetEntry {
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
async fn a_budget_is_drawn_on_from_every_domain_to_its_last_token() {
    let options = SiteOptions {
        routers: 4,
        ..SiteOptions::small(21)
    };
    let mut site = start(options).await;
    let routers = router_addresses(&site);
    let callers = routers.iter().enumerate().map(|(number, at)| {
        let at = *at;
        tokio::spawn(
            async move { call_until_refused(at, "poor", &format!("first-{number}")).await },
        )
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
        for (number, at) in routers.iter().enumerate() {
            let mark = format!("round-{round}-{number}");
            served += call_until_refused(*at, "poor", &mark).await.0;
        }
    }
    for (number, at) in routers.iter().enumerate() {
        let (more, outcome) = call_until_refused(*at, "poor", &format!("last-{number}")).await;
        assert_eq!(more, 0);
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
    for (number, at) in routers.iter().enumerate() {
        let outcome = send_call(*at, "poor", "GET", &format!("before-{number}")).await;
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
    for at in &routers {
        let (count, outcome) = call_until_refused(*at, "poor", &format!("parted-{at}")).await;
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
    let generation = pay(&site, "poor", TEAMS[1].1 + 1_000).await;
    for at in &routers[..2] {
        wait_for("the near side has the top-up", || async {
            status(*at).await["generation"].as_u64() == Some(generation)
        })
        .await;
    }
    let near = routers[0];
    let mut tries = 0;
    wait_for("the near side serves again", || {
        tries += 1;
        let id = format!("topped-{tries}");
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
        tries += 1;
        let id = format!("healed-{tries}");
        async move { send_call(far, "poor", "GET", &id).await.is_whole() }
    })
    .await;
    served += 1;
    stop_all(&mut site).await;
    assert_eq!(billed_tokens(&site).await, served * CALL_TOKENS);
    let entry = entry_of(&site, "poor").await;
    assert!(entry.charged_tokens() <= Tokens::new(TEAMS[1].1 + 1_000));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_that_is_down_and_then_slow_costs_no_answer_and_no_bill() {
    let mut site = start(SiteOptions::small(23)).await;
    let at = site.routers[0].address();
    let store = site.platform.store();
    let mut used = 0;
    let slow = StoreFaults {
        delay_ms: 700,
        ..StoreFaults::default()
    };
    let down = StoreFaults {
        down: true,
        ..StoreFaults::default()
    };
    for (phase, faults) in [StoreFaults::default(), down, slow].into_iter().enumerate() {
        store.set_faults(faults);
        for number in 0..8 {
            let id = format!("phase-{phase}-{number}");
            let outcome = send_chat(at, "rich", &id, "hello").await;
            let Outcome::Whole { tokens, .. } = outcome else {
                panic!("{id}: {outcome:?}")
            };
            used += tokens;
        }
    }
    let claimed = send_call(at, "rich", "POST", "lease").await;
    assert!(claimed.is_whole(), "{claimed:?}");
    used += CALL_TOKENS;
    store.set_faults(StoreFaults::default());
    stop_all(&mut site).await;
    assert_eq!(billed_tokens(&site).await, used);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lowered_plan_takes_back_what_is_granted_beyond_it() {
    let site = start(SiteOptions::small(24)).await;
    let routers = router_addresses(&site);
    let callers: Vec<_> = routers
        .iter()
        .map(|at| {
            let at = *at;
            tokio::spawn(async move { call_until_refused(at, "rich", &format!("call-{at}")).await })
        })
        .collect();
    wait_for(
        "the callers have used more than the lowered plan has",
        || async { entry_of(&site, "rich").await.spent_tokens() > Tokens::new(100) },
    )
    .await;
    let at_lowering = entry_of(&site, "rich").await;
    let generation = pay(&site, "rich", 100).await;
    for at in &routers {
        wait_for("the lowered plan is in force", || async {
            status(*at).await["generation"].as_u64() == Some(generation)
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
    let rest_tokens = at_lowering.charged_tokens() - at_lowering.spent_tokens();
    let late_tokens = spent_tokens - at_lowering.spent_tokens();
    assert!(
        late_tokens < rest_tokens.scaled(1, 2),
        "{late_tokens} of {rest_tokens} tokens granted before were spent after the lowering"
    );
    wait_for("nothing is granted beyond what is spent", || async {
        entry_of(&site, "rich").await.charged_tokens() == spent_tokens
    })
    .await;
    pay(&site, "rich", spent_tokens.get() + 100).await;
    let mut tries = 0;
    wait_for("the raised plan serves again", || {
        tries += 1;
        let id = format!("raised-{tries}");
        let at = routers[0];
        async move { send_call(at, "rich", "GET", &id).await.is_whole() }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reservation_that_answers_too_late_is_not_run_again() {
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
    for at in routers.iter().chain(&routers) {
        let retry = send_call(*at, "rich", "POST", "lease").await;
        let Outcome::Refused { kind, run } = retry else {
            panic!("{retry:?}")
        };
        assert_eq!(kind, RefusalKind::Duplicate);
        assert_ne!(run, RunState::NotRun);
    }
    assert_eq!(site.services[0].runs()["lease"], 1);
}
