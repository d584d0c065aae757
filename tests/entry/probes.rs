//! Requests that probe a replica after its ejection and end in ways that show nothing of it.

use std::time::Duration;

use super::replica::{Behaviour, FakeReplica};
use super::site::{wait_until, Call, Router};
use super::site_with;

const SHORT: Duration = Duration::from_millis(300);

/// A way in which a probe ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeEnd {
    /// The replica hangs until the caller's deadline.
    Deadline,
    /// The caller closes its connection before an answer.
    CallerLeft,
    /// The caller closes its connection in the middle of a stream.
    CallerLeftMidStream,
    /// The replica refuses the request without running it.
    NotRun,
    /// Another replica answers at the address.
    Misdirected,
    /// The stream falls silent before its first event.
    SilentStream,
}

const ENDS: [ProbeEnd; 6] = [
    ProbeEnd::Deadline,
    ProbeEnd::CallerLeft,
    ProbeEnd::CallerLeftMidStream,
    ProbeEnd::NotRun,
    ProbeEnd::Misdirected,
    ProbeEnd::SilentStream,
];

impl ProbeEnd {
    fn behaviour(self) -> Behaviour {
        let hour = Duration::from_secs(3_600);
        match self {
            Self::Deadline | Self::CallerLeft => Behaviour::AnswerAfter(hour),
            Self::CallerLeftMidStream => Behaviour::SilentStream {
                events: 8,
                silent_after: 1,
                silence: hour,
            },
            Self::NotRun => Behaviour::NotRun,
            Self::Misdirected => Behaviour::Misdirected,
            Self::SilentStream => Behaviour::StreamAfter {
                delay: hour,
                events: 1,
            },
        }
    }

    fn call(self, attempt: &str) -> Call {
        let route = match self {
            Self::CallerLeftMidStream | Self::SilentStream => "draft",
            _ => "book",
        };
        let deadline_ms = match self {
            Self::CallerLeft | Self::CallerLeftMidStream => "5000",
            _ => "300",
        };
        Call::new(route, attempt).with("currantlever-deadline-ms", deadline_ms)
    }
}

/// Lets requests fail until the router has ejected its only replica.
async fn eject(router: &Router, replica: &FakeReplica, name: &str) {
    replica.set_behaviour(Behaviour::RunAndReset);
    let mut number = 0;
    loop {
        number += 1;
        let call = Call::new("book", &format!("{name}-{number}"));
        if call.send(router.callers_address).await.unwrap().status == 503 {
            return;
        }
        assert!(number < 20, "the replica is not ejected");
    }
}

/// Guards against a replica that is out of service for good because its probe ended in another way
/// than by a success or a failure.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_is_probed_again_however_the_probe_before_ended() {
    let (site, replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    for end in ENDS {
        eject(&router, &replicas[0], &format!("{end:?}")).await;
        replicas[0].set_behaviour(end.behaviour());
        let before = replicas[0].received().len();
        wait_until("a probe reaches the replica", || async {
            let call = end.call(&format!("probe-{end:?}"));
            // Callers leave by dropping the call.
            let _ = tokio::time::timeout(SHORT, call.send(router.callers_address)).await;
            replicas[0].received().len() > before
        })
        .await;
        replicas[0].set_behaviour(Behaviour::Answer);
        wait_until(&format!("requests are served after {end:?}"), || async {
            let call = Call::new("book", "after");
            call.send(router.callers_address).await.unwrap().status == 200
        })
        .await;
    }
}
