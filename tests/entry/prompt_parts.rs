//! Quarantine of prompt parts that crash every backend server that begins to answer a request with
//! them, whatever else the request holds.

use std::time::Duration;

use super::replica::{Behaviour, FakeReplica, ReceivedRequest, POISON_PART, RESTART_DELAY};
use super::site::{wait_ready, wait_until, Call, Router, Site};
use super::site_with;

const SERVERS: usize = 12;
/// Crashes after which a part reaches no further servers.
const ALLOWED_CRASHES: usize = 5;
/// Requests with a part that may reach servers after that.
const ALLOWED_LATER: usize = 3;
/// Log message of a router that has quarantined a part.
const QUARANTINED: &str = "prompt part quarantined";

async fn fleet(routers: usize) -> (Site, Vec<FakeReplica>, Vec<Router>) {
    let stream = Behaviour::Stream {
        events: 3,
        pause: Duration::from_millis(2),
    };
    let (site, replicas) = site_with(&vec![stream; SERVERS]).await;
    let mut fleet = Vec::new();
    for number in 0..routers {
        fleet.push(site.ready_router(&format!("r-{number}")).await);
    }
    for router in &fleet {
        wait_until("the routers know one another", || async {
            router.log_lines("router discovered").len() >= routers - 1
        })
        .await;
        wait_until("all servers are known", || async {
            router.log_lines("replica added or updated").len() >= SERVERS
        })
        .await;
    }
    (site, replicas, fleet)
}

/// Creates a request whose prompt has these parts and one of its own.
fn prompt(route: &str, parts: &str, number: usize) -> Call {
    let own = format!("{:x}", 0x1000 + number);
    Call::new(route, &format!("{route}-{number}"))
        .with("currantlever-prefix-hash", &format!("{parts},{own}:100"))
        .with_body(&format!("request {number}"))
}

fn sound(route: &str, number: usize) -> Call {
    prompt(route, "5a:500,77:200", 100_000 + number)
}

fn poison(route: &str, number: usize) -> Call {
    prompt(route, &format!("5a:500,{POISON_PART}:200"), number)
}

/// Returns how many requests with the part reached servers.
fn poison_arrivals(replicas: &[FakeReplica]) -> usize {
    let received = replicas.iter().flat_map(FakeReplica::received);
    received.filter(ReceivedRequest::has_poison_part).count()
}

fn has_quarantined(router: &Router) -> bool {
    !router.log_lines(QUARANTINED).is_empty()
}

/// Sends requests with the part to the routers in turn until all have quarantined it.
async fn call_until_quarantined<F>(routers: &[Router], replicas: &[FakeReplica], poison: F)
where
    F: Fn(usize) -> Call,
{
    for number in 0..ALLOWED_CRASHES + ALLOWED_LATER {
        if routers.iter().all(has_quarantined) {
            return;
        }
        let before = poison_arrivals(replicas);
        let router = &routers[number % routers.len()];
        let got = poison(number).send(router.callers_address).await.unwrap();
        assert!(
            !got.is_whole || [502, 503].contains(&got.status),
            "{}",
            got.status
        );
        wait_until("the crash is detected", || async {
            let crashes = routers
                .iter()
                .map(|router| router.log_lines("server crashed with a request in progress"));
            crashes.map(|lines| lines.len()).sum::<usize>() > before
        })
        .await;
        // Lets the reports reach the other routers.
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    wait_until("all routers have quarantined the part", || async {
        routers.iter().all(has_quarantined)
    })
    .await;
}

async fn assert_refused(router: &Router, replicas: &[FakeReplica], number: usize) {
    let before = poison_arrivals(replicas);
    let call = poison("draft", number);
    let got = call.send(router.callers_address).await.unwrap();
    assert_eq!(got.status, 503, "request {number}");
    assert_eq!(poison_arrivals(replicas), before, "request {number}");
}

/// Guards against sending ever new requests with the same part to further servers, and against
/// refusing sound requests that share their caller and their first part with these.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_part_that_crashed_five_servers_reach_few_further_ones() {
    for route in ["draft", "chat"] {
        let (_site, replicas, routers) = fleet(3).await;
        for number in 0..30 {
            let router = &routers[number % 3];
            let got = sound(route, number).send(router.callers_address).await;
            assert_eq!(got.unwrap().status, 200, "sound request {number}");
        }
        call_until_quarantined(&routers, &replicas, |number| poison(route, number)).await;
        let arrivals = poison_arrivals(&replicas);
        assert!(
            arrivals <= ALLOWED_CRASHES + ALLOWED_LATER,
            "{route}: {arrivals}"
        );
        for number in 30..60 {
            let router = &routers[number % 3];
            let got = poison(route, number).send(router.callers_address).await;
            assert_eq!(got.unwrap().status, 503, "{route}, request {number}");
            let got = sound(route, number).send(router.callers_address).await;
            let got = got.unwrap();
            assert_eq!(
                got.status, 200,
                "{route}, sound request {number}: {:?}",
                got.body
            );
        }
        assert_eq!(poison_arrivals(&replicas), arrivals, "{route}");
    }
}

/// Guards against a part that is not found as the first one of the prompt, or among many others.
#[tokio::test(flavor = "multi_thread")]
async fn the_part_is_found_as_the_first_one_and_among_forty() {
    let many = |number: usize| {
        let others = (0..38).map(|index| format!("{:x}:10", 0x9000 + index + (number % 2) * 38));
        let others: Vec<String> = others.collect();
        let parts = format!("{},{POISON_PART}:10", others.join(","));
        prompt("draft", &parts, number)
    };
    let first = |number| prompt("draft", &format!("{POISON_PART}:500,77:200"), number);
    let prompts: [&dyn Fn(usize) -> Call; 2] = [&first, &many];
    for poison in prompts {
        let (_site, replicas, routers) = fleet(2).await;
        // The other parts are those of sound requests.
        let others: Vec<String> = (0..76)
            .map(|index| format!("{:x}", 0x9000 + index))
            .collect();
        for (number, part) in others.iter().enumerate() {
            let call = prompt("draft", &format!("{part}:10,77:200"), 50_000 + number);
            let router = &routers[number % 2];
            let got = call.send(router.callers_address).await.unwrap();
            assert_eq!(got.status, 200);
        }
        call_until_quarantined(&routers, &replicas, poison).await;
        let line = &routers[0].log_lines(QUARANTINED)[0];
        assert_eq!(line["part"], format!("{POISON_PART:0>16}"));
        for (number, part) in others.iter().enumerate() {
            let call = prompt("draft", &format!("{part}:10,77:200"), 60_000 + number);
            let router = &routers[number % 2];
            let got = call.send(router.callers_address).await.unwrap();
            assert_eq!(got.status, 200, "{part}: {:?}", got.body);
        }
    }
}

/// Guards against a refusal that does not state the reason, is charged, or is sent although the
/// request ran.
#[tokio::test(flavor = "multi_thread")]
async fn the_refusal_of_a_quarantined_part_states_the_reason_and_costs_nothing() {
    let (site, replicas, routers) = fleet(1).await;
    call_until_quarantined(&routers, &replicas, |number| poison("draft", number)).await;
    let call = poison("draft", 900).with_tokens(100, 10);
    let got = call.send(routers[0].callers_address).await.unwrap();
    assert_eq!(
        (got.status, got.body),
        (503, r#"{"error":"quarantined"}"#.into())
    );
    assert!(got.headers.contains_key("retry-after"));
    wait_until("the refusal is logged", || async {
        let lines = routers[0].log_lines("request");
        lines.iter().any(|line| line["request"] == "draft-900")
    })
    .await;
    let lines = routers[0].log_lines("request");
    let line = lines.iter().find(|line| line["request"] == "draft-900");
    let line = line.unwrap();
    assert_eq!(line["outcome"], "quarantined");
    assert_eq!(line["spent_tokens"], 0);
    let quarantined = &routers[0].log_lines(QUARANTINED)[0];
    assert_eq!(line["quarantined_part"], quarantined["part"]);
    let servers = quarantined["ended_servers"].as_str().unwrap();
    assert_eq!(servers.matches("seen by r-0").count(), 5, "{servers}");
    wait_until("the object is written to the store", || async {
        let names = site.store.names("quarantined-requests");
        names == [format!("part-{POISON_PART:0>16}")]
    })
    .await;
}

/// Guards against losing the quarantine of a part when all routers are killed.
#[tokio::test(flavor = "multi_thread")]
async fn the_quarantine_of_a_part_survives_a_restart_of_all_routers() {
    let (site, replicas, mut routers) = fleet(2).await;
    call_until_quarantined(&routers, &replicas, |number| poison("draft", number)).await;
    wait_until("the object is written to the store", || async {
        !site.store.names("quarantined-requests").is_empty()
    })
    .await;
    for router in &mut routers {
        router.kill();
    }
    for router in &mut routers {
        router.restart();
        wait_ready(router).await;
    }
    wait_until("both routers have read the object", || async {
        let has_read = |router: &Router| router.log_lines(QUARANTINED).len() == 2;
        routers.iter().all(has_read)
    })
    .await;
    for (number, router) in routers.iter().enumerate() {
        assert_refused(router, &replicas, 900 + number).await;
    }
}

/// Guards against routers that learn of the part only through the store.
#[tokio::test(flavor = "multi_thread")]
async fn the_other_routers_refuse_the_part_while_the_store_is_down() {
    let (site, replicas, routers) = fleet(3).await;
    for (number, router) in routers.iter().enumerate() {
        let got = sound("draft", number).send(router.callers_address).await;
        assert_eq!(got.unwrap().status, 200);
    }
    site.store.start_outage();
    call_until_quarantined(&routers, &replicas, |number| poison("draft", number)).await;
    for (number, router) in routers.iter().enumerate() {
        assert_refused(router, &replicas, 900 + number).await;
    }
}

/// Guards against a quarantine that an operator cannot lift.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_whose_object_is_removed_from_the_store_may_run_again() {
    let (site, replicas, routers) = fleet(2).await;
    call_until_quarantined(&routers, &replicas, |number| poison("draft", number)).await;
    wait_until("the object is written to the store", || async {
        !site.store.names("quarantined-requests").is_empty()
    })
    .await;
    let name = site.store.names("quarantined-requests").remove(0);
    site.store.remove("quarantined-requests", &name);
    for (number, router) in routers.iter().enumerate() {
        wait_until("the part is released", || async {
            !router.log_lines("prompt part released").is_empty()
        })
        .await;
        let before = poison_arrivals(&replicas);
        let call = poison("draft", 900 + number);
        let got = call.send(router.callers_address).await.unwrap();
        assert!(!got.is_whole || got.status == 502, "{got:?}");
        assert_eq!(poison_arrivals(&replicas), before + 1);
    }
}

/// Guards against quarantining a new part that many waiting requests share when servers crash
/// together for another reason.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_part_on_many_servers_that_crash_at_once_is_served_afterwards() {
    let (_site, replicas, routers) = fleet(3).await;
    for number in 0..30 {
        let router = &routers[number % 3];
        let got = sound("draft", number).send(router.callers_address).await;
        assert_eq!(got.unwrap().status, 200);
    }
    let before = super::received_count(&replicas);
    for replica in &replicas {
        replica.set_behaviour(Behaviour::ResetAfter(Duration::from_secs(10)));
    }
    let calls = (0..36).map(|number| {
        let call = prompt("draft", "5a:500,4e:200", number);
        let callers_address = routers[number % 3].callers_address;
        async move { call.send(callers_address).await.unwrap().status }
    });
    let calls = futures::future::join_all(calls);
    let crash_servers = async {
        wait_until("all requests have arrived", || async {
            super::received_count(&replicas) >= before + 36
        })
        .await;
        for replica in &replicas {
            replica.crash();
        }
    };
    let (_, ()) = futures::join!(calls, crash_servers);
    for replica in &replicas {
        replica.set_behaviour(Behaviour::Stream {
            events: 3,
            pause: Duration::from_millis(2),
        });
    }
    tokio::time::sleep(RESTART_DELAY + Duration::from_millis(300)).await;
    for number in 0..30 {
        let call = prompt("draft", "5a:500,4e:200", 1_000 + number);
        let router = &routers[number % 3];
        let got = call.send(router.callers_address).await.unwrap();
        assert_eq!(got.status, 200, "request {number}: {got:?}");
    }
}
