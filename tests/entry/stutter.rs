//! Backend servers that answer twice, break off or state no end, beside kills, planned stops, crashes
//! and cuts: each answer that looks whole is the whole answer to its own request.

use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::gate::Cut;
use super::partition::Fleet;
use super::replica::{chunk, stream_head, unframed_head, Behaviour, ReceivedRequest};
use super::site::{wait_ready, Call, ReceivedAnswer};

const ROUTERS: usize = 4;
const REPLICAS: usize = 6;
const CALLERS: u64 = 16;
/// Time for which calls are sent.
const DURATION: Duration = Duration::from_secs(15);
const MAX_CALL_PAUSE_MS: u64 = 60;
const MAX_EVENT_PAUSE_MS: u64 = 40;
const MIN_EVENTS: u64 = 3;
const MAX_EVENTS: u64 = 24;
/// Time from an answer to the same answer once more.
const LATE_MS: std::ops::Range<u64> = 0..200;
const DISRUPTION_PAUSE_MS: std::ops::Range<u64> = 200..900;
/// Routes of all types: idempotent, run once, resumable stream, stream.
const ROUTES: [&str; 4] = ["look", "book", "chat", "draft"];

/// What a faulty server does with one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Sends the answer once more, at once or late.
    Twice,
    /// Sends neither a length nor chunks.
    Unframed,
    /// Breaks off with a reset.
    Broken,
    /// The same for an answer with neither a length nor chunks.
    UnframedBroken,
}

impl Fault {
    fn draw(random: &mut SmallRng) -> Self {
        match random.random_range(0..10) {
            0..=3 => Self::None,
            4..=5 => Self::Twice,
            6..=7 => Self::Unframed,
            8 => Self::Broken,
            _ => Self::UnframedBroken,
        }
    }

    const fn is_framed(self) -> bool {
        !matches!(self, Self::Unframed | Self::UnframedBroken)
    }

    const fn is_broken(self) -> bool {
        matches!(self, Self::Broken | Self::UnframedBroken)
    }
}

/// Number of events of the stream of an attempt, the same at each replica.
fn event_count(attempt: &str) -> u64 {
    let sum: u64 = attempt.bytes().map(u64::from).sum();
    MIN_EVENTS + sum % (MAX_EVENTS - MIN_EVENTS)
}

fn event(attempt: &str, number: u64) -> String {
    let count = event_count(attempt);
    format!("id: {number}\ndata: {attempt} {number} of {count}\n\n")
}

fn whole_text(attempt: &str) -> String {
    format!("the whole answer to {attempt}").repeat(20)
}

fn whole_stream(attempt: &str) -> String {
    let numbers = 1..=event_count(attempt);
    numbers.map(|number| event(attempt, number)).collect()
}

/// Answers a request as a faulty server does. Returns whether the connection can be used again.
pub async fn answer_faultily(stream: &mut TcpStream, request: &ReceivedRequest) -> bool {
    let mut random = SmallRng::from_rng(&mut rand::rng());
    let fault = Fault::draw(&mut random);
    let attempt = request
        .header("currantlever-attempt-id")
        .unwrap_or_default();
    let is_stream =
        request.head.starts_with("POST /chat/") || request.head.starts_with("POST /draft/");
    let parts = if is_stream {
        stream_parts(request, attempt, fault)
    } else {
        text_parts(attempt, fault)
    };
    let sent_parts = if fault.is_broken() {
        random.random_range(1..parts.len())
    } else {
        parts.len()
    };
    let pause = Duration::from_millis(random.random_range(0..MAX_EVENT_PAUSE_MS));
    for part in &parts[..sent_parts] {
        if stream.write_all(part.as_bytes()).await.is_err() {
            return false;
        }
        tokio::time::sleep(pause).await;
    }
    match fault {
        Fault::None => true,
        Fault::Twice => {
            let late = Duration::from_millis(random.random_range(LATE_MS));
            tokio::time::sleep(late).await;
            stream.write_all(parts.concat().as_bytes()).await.is_ok()
        }
        Fault::Unframed => false,
        Fault::Broken | Fault::UnframedBroken => {
            let socket = socket2::SockRef::from(&*stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
            false
        }
    }
}

fn stream_parts(request: &ReceivedRequest, attempt: &str, fault: Fault) -> Vec<String> {
    let after = request.header("last-event-id").unwrap_or("0");
    let after: u64 = after.parse().unwrap();
    let events = (after + 1..=event_count(attempt)).map(|number| event(attempt, number));
    let mut parts = Vec::new();
    if fault.is_framed() {
        parts.push(stream_head(attempt, ""));
        parts.extend(events.map(|event| chunk(&event)));
        parts.push("0\r\n\r\n".to_owned());
    } else {
        parts.push(unframed_head(attempt, "text/event-stream"));
        parts.extend(events);
        parts.push(String::new());
    }
    parts
}

fn text_parts(attempt: &str, fault: Fault) -> Vec<String> {
    let text = whole_text(attempt);
    let mut head = unframed_head(attempt, "text/plain");
    if fault.is_framed() {
        head.truncate(head.len() - 2);
        write!(head, "Content-Length: {}\r\n\r\n", text.len()).unwrap();
    }
    let (first, rest) = text.split_at(text.len() / 2);
    vec![head, first.to_owned(), rest.to_owned()]
}

/// Returns what is wrong with an answer, if anything.
fn check(route: &str, attempt: &str, answer: &ReceivedAnswer) -> Option<String> {
    if answer.status != 200 {
        return None;
    }
    let whole = match route {
        "chat" | "draft" => whole_stream(attempt),
        _ => whole_text(attempt),
    };
    let body = String::from_utf8_lossy(&answer.body);
    let is_right = if answer.is_whole {
        body == whole
    } else {
        whole.starts_with(body.as_ref())
    };
    (!is_right).then(|| {
        format!(
            "{route} {attempt}, whole: {}, {} of {} bytes: {body:?}",
            answer.is_whole,
            body.len(),
            whole.len()
        )
    })
}

/// Sends calls to all routers until told to stop. Returns what was wrong, and counts whole answers.
async fn call_repeatedly(
    fleet: Vec<std::net::SocketAddr>,
    caller: u64,
    seed: u64,
    is_over: Arc<AtomicBool>,
    whole_answers: Arc<AtomicUsize>,
) -> Vec<String> {
    let mut random = SmallRng::seed_from_u64(seed * 1_000 + caller);
    let mut faults = Vec::new();
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let route = ROUTES[random.random_range(0..ROUTES.len())];
        let attempt = format!("s{seed}-{caller}-{number}");
        let router = fleet[random.random_range(0..fleet.len())];
        if let Ok(answer) = Call::new(route, &attempt).send(router).await {
            faults.extend(check(route, &attempt, &answer));
            let is_whole = answer.status == 200 && answer.is_whole;
            whole_answers.fetch_add(usize::from(is_whole), Ordering::Relaxed);
        }
        let pause_ms = random.random_range(0..MAX_CALL_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    faults
}

/// Kills, stops, cuts and crashes one after the other until the end.
async fn disrupt(fleet: &mut Fleet, seed: u64, end: Instant) {
    let mut random = SmallRng::seed_from_u64(seed);
    while Instant::now() < end {
        let pause_ms = random.random_range(DISRUPTION_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let router = random.random_range(0..ROUTERS);
        match random.random_range(0..6) {
            0 => {
                fleet.routers[router].kill();
                fleet.routers[router].restart();
                wait_ready(&fleet.routers[router]).await;
            }
            1 => {
                fleet.routers[router].terminate();
                fleet.routers[router].exit_code().await;
                fleet.routers[router].restart();
                wait_ready(&fleet.routers[router]).await;
            }
            2 => fleet.crash(random.random_range(0..REPLICAS)).await,
            3 => fleet.cut(router, Cut::Hang),
            4 => fleet.cut(router, Cut::RefuseNew),
            _ => (0..ROUTERS).for_each(|router| fleet.cut(router, Cut::None)),
        }
    }
}

/// Plays one seed and returns what was wrong.
async fn play(seed: u64) -> Vec<String> {
    let mut fleet = Fleet::start(ROUTERS, &vec![Behaviour::Faulty; REPLICAS]).await;
    let addresses: Vec<_> = (0..ROUTERS).map(|router| fleet.address(router)).collect();
    let (is_over, whole_answers) = (Arc::default(), Arc::default());
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        let (is_over, whole_answers) = (Arc::clone(&is_over), Arc::clone(&whole_answers));
        let addresses = addresses.clone();
        callers.spawn(call_repeatedly(
            addresses,
            caller,
            seed,
            is_over,
            whole_answers,
        ));
    }
    disrupt(&mut fleet, seed, Instant::now() + DURATION).await;
    is_over.store(true, Ordering::Relaxed);
    let mut faults = callers.join_all().await.concat();
    let whole_answers = whole_answers.load(Ordering::Relaxed);
    for fault in &faults {
        print_trace(&fleet, fault);
    }
    println!(
        "seed {seed}: {whole_answers} whole answers, {} wrong",
        faults.len()
    );
    if whole_answers < 100 {
        faults.push(format!("only {whole_answers} whole answers"));
    }
    faults
}

/// Prints what the routers logged about a request.
fn print_trace(fleet: &Fleet, fault: &str) {
    println!("{fault}");
    let attempt = fault.split([' ', ',']).nth(1).unwrap_or_default();
    for router in &fleet.routers {
        for line in router.log() {
            if line["request"] == attempt {
                println!("{line}");
            }
        }
    }
}

/// Guards against answers that belong to another request, are joined from two, or look whole and
/// are not. The seeds are those of `CURRANTLEVER_SEEDS`, a range such as `1..50`, or one.
#[tokio::test(flavor = "multi_thread")]
async fn every_answer_of_faulty_servers_that_looks_whole_is_its_requests_own_whole_answer() {
    let seeds = std::env::var("CURRANTLEVER_SEEDS").unwrap_or_else(|_| "1..2".to_owned());
    let (first, end) = seeds.split_once("..").unwrap();
    for seed in first.parse().unwrap()..end.parse().unwrap() {
        let faults = play(seed).await;
        assert_eq!(faults, Vec::<String>::new(), "seed {seed}");
    }
}
