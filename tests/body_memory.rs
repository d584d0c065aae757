//! Memory for bodies: what is counted, what is refused, and which body yields to another one.

use std::sync::Arc;
use std::time::Duration;

use currantlever::{AnswerBuffer, BodyError, BodyMemory, RequestBuffer};
use quickcheck::{quickcheck, Arbitrary, Gen, TestResult};

const LIMIT_BYTES: usize = 1 << 20;
/// Share that requests may use.
const REQUEST_LIMIT_BYTES: usize = LIMIT_BYTES / 4 * 3;
const MAX_BODY_BYTES: usize = 400_000;
/// Bytes of a body that do not count.
const UNCOUNTED_BYTES: usize = 16 * 1_024;

fn bytes(count: usize) -> Vec<u8> {
    vec![1; count]
}

fn request(memory: &Arc<BodyMemory>) -> RequestBuffer {
    RequestBuffer::new(memory, MAX_BODY_BYTES)
}

/// Guards against counts that bodies do not return, however they end.
#[tokio::test]
async fn all_memory_is_returned_when_bodies_end() {
    let memory = BodyMemory::new(LIMIT_BYTES);
    let mut announced = request(&memory);
    announced.reserve(300_000).unwrap();
    let mut received = request(&memory);
    received.push(&bytes(200_000)).unwrap();
    let mut answer = AnswerBuffer::new(&memory, MAX_BODY_BYTES);
    answer.push(&bytes(100_000)).unwrap();
    let held = memory.held_bytes();
    assert_eq!(held, 600_000 - 3 * UNCOUNTED_BYTES);
    let (received, answer) = (received.into_bytes().unwrap(), answer.into_bytes());
    assert_eq!(memory.held_bytes(), held);
    assert_eq!(received.as_ref(), bytes(200_000));
    drop((announced, received, answer));
    assert_eq!(memory.held_bytes(), 0);
}

/// Guards against a single request that is refused in calm since it is larger than the memory.
#[tokio::test]
async fn a_single_body_is_held_whatever_the_limit() {
    let memory = BodyMemory::new(100_000);
    let mut alone = request(&memory);
    alone.push(&bytes(300_000)).unwrap();
    alone.push(&bytes(100_000)).unwrap();
    assert_eq!(alone.push(&[1]), Err(BodyError::TooLong));
    let mut second = request(&memory);
    assert_eq!(second.reserve(50_000), Err(BodyError::OutOfMemory));
    // Small bodies go on beside large ones.
    let mut small = request(&memory);
    small.push(&bytes(UNCOUNTED_BYTES)).unwrap();
    assert_eq!(small.push(&[1]), Err(BodyError::OutOfMemory));
    drop(alone);
    second.reserve(50_000).unwrap();
    second.push(&bytes(50_000)).unwrap();
}

/// Guards against clients that hold all memory by bodies that they do not finish.
#[tokio::test(start_paused = true)]
async fn the_body_that_is_received_for_the_longest_time_yields_to_another_one() {
    let memory = BodyMemory::new(LIMIT_BYTES);
    let mut slow: Vec<RequestBuffer> = (0..2).map(|_| request(&memory)).collect();
    for body in &mut slow {
        body.reserve(350_000).unwrap();
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    let mut next = request(&memory);
    assert_eq!(next.reserve(300_000), Err(BodyError::OutOfMemory));
    tokio::time::advance(Duration::from_secs(1)).await;
    next.reserve(300_000).unwrap();
    slow[0].displaced().await;
    assert_eq!(slow[0].push(&[1; 10]), Err(BodyError::Displaced));
    slow[1].push(&bytes(350_000)).unwrap();
    // A body that was received whole is in use and never yields.
    let whole = slow.pop().unwrap().into_bytes().unwrap();
    tokio::time::advance(Duration::from_secs(5)).await;
    let mut other = request(&memory);
    other.reserve(300_000).unwrap();
    assert_eq!(next.push(&[1; 10]), Err(BodyError::Displaced));
    assert_eq!(whole.len(), 350_000);
}

/// Guards against answers that are lost, though they have run, because of bodies that are received.
#[tokio::test]
async fn answers_get_the_memory_of_requests_that_are_being_received() {
    let memory = BodyMemory::new(LIMIT_BYTES);
    let mut bodies: Vec<RequestBuffer> = (0..2).map(|_| request(&memory)).collect();
    for body in &mut bodies {
        body.reserve(350_000).unwrap();
    }
    let mut answer = AnswerBuffer::new(&memory, MAX_BODY_BYTES);
    answer.push(&bytes(MAX_BODY_BYTES)).unwrap();
    assert_eq!(bodies[0].push(&[1; 10]), Err(BodyError::Displaced));
    bodies[1].push(&[1; 10]).unwrap();
}

/// What happens to one of several bodies.
#[derive(Clone, Debug)]
enum Step {
    Begin { announced_bytes: Option<u64> },
    Receive { body: usize, bytes: usize },
    Finish { body: usize },
    Drop { body: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let body = usize::arbitrary(g) % 8;
        let bytes = usize::arbitrary(g) % 150_000;
        match u8::arbitrary(g) % 8 {
            0..=1 => Self::Begin {
                announced_bytes: bool::arbitrary(g).then_some(bytes as u64),
            },
            2..=5 => Self::Receive { body, bytes },
            6 => Self::Finish { body },
            _ => Self::Drop { body },
        }
    }
}

quickcheck! {
    /// Guards against a sum that exceeds the limit, and against counts that are not returned.
    fn bodies_in_any_order_stay_within_the_memory(steps: Vec<Step>) -> TestResult {
        let memory = BodyMemory::new(LIMIT_BYTES);
        let mut receiving: Vec<RequestBuffer> = Vec::new();
        let mut whole = Vec::new();
        for step in steps {
            match step {
                Step::Begin { announced_bytes } => {
                    let mut body = request(&memory);
                    let length = announced_bytes.unwrap_or(0);
                    if body.reserve(length).is_ok() && announced_bytes.is_some() {
                        receiving.push(body);
                    } else if announced_bytes.is_none() {
                        receiving.push(request(&memory));
                    }
                }
                Step::Receive { body, bytes } if body < receiving.len() => {
                    if receiving[body].push(&self::bytes(bytes)).is_err() {
                        receiving.remove(body);
                    }
                }
                Step::Finish { body } if body < receiving.len() => {
                    whole.extend(receiving.remove(body).into_bytes());
                }
                Step::Drop { body } if body < receiving.len() => {
                    receiving.remove(body);
                }
                Step::Receive { .. } | Step::Finish { .. } | Step::Drop { .. } => {}
            }
            // No body is larger than what requests may use.
            if memory.held_bytes() > REQUEST_LIMIT_BYTES {
                return TestResult::failed();
            }
        }
        drop((receiving, whole));
        TestResult::from_bool(memory.held_bytes() == 0)
    }
}
