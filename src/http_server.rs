//! Starts HTTP servers and tells the address that they got.

use std::net::SocketAddr;

use rocket::config::LogLevel;
use rocket::fairing::AdHoc;
use rocket::{Build, Config, Ignite, Rocket, Shutdown};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinHandle};

/// Seconds that a server waits for open connections after it was told to stop.
///
/// Routers finish their requests before they stop the server, so this is only for idle ones.
const SHUTDOWN_GRACE_S: u32 = 2;

/// Why a server did not start.
#[derive(Debug, Error)]
#[error("HTTP server on {listen} did not start: {reason}")]
pub struct StartError {
    /// The address asked for.
    listen: SocketAddr,
    /// What the server said.
    reason: String,
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    shutdown: Shutdown,
    task: JoinHandle<Result<Rocket<Ignite>, rocket::Error>>,
}

impl HttpServer {
    /// Starts a server. With port 0 the system picks the port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the routes clash.
    pub async fn start(rocket: Rocket<Build>) -> Result<Self, StartError> {
        let config: Config = rocket.figment().extract().unwrap_or_default();
        let listen = SocketAddr::new(config.address, config.port);
        let fail = |reason: String| StartError { listen, reason };
        let (port_sender, port_receiver) = oneshot::channel();
        let port_sender = std::sync::Mutex::new(Some(port_sender));
        let announce = AdHoc::on_liftoff("announce port", move |rocket| {
            let sender = port_sender.lock().ok().and_then(|mut slot| slot.take());
            let port = rocket.config().port;
            Box::pin(async move {
                if let Some(sender) = sender {
                    let _ = sender.send(port);
                }
            })
        });
        let rocket = rocket.attach(announce).ignite().await;
        let rocket = rocket.map_err(|error| fail(describe(error)))?;
        let shutdown = rocket.shutdown();
        let task = tokio::spawn(rocket.launch());
        match port_receiver.await {
            Ok(port) => Ok(Self {
                address: SocketAddr::new(config.address, port),
                shutdown,
                task,
            }),
            Err(_) => match task.await {
                Ok(Err(error)) => Err(fail(describe(error))),
                _ => Err(fail("it ended at once".to_owned())),
            },
        }
    }

    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server: no new connections, short grace for open ones.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }

    /// Refuses new connections from now on, as after a crash.
    pub fn abort(&self) {
        self.task.abort();
    }

    /// A handle by which another task can do the same.
    #[must_use]
    pub fn abort_handle(&self) -> AbortHandle {
        self.task.abort_handle()
    }
}

fn describe(error: rocket::Error) -> String {
    let text = error.kind().to_string();
    drop(error);
    text
}

/// Drops what libraries log: the HTTP library would print every request to standard output.
struct QuietLogger;

impl log::Log for QuietLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &log::Record<'_>) {}

    fn flush(&self) {}
}

/// Configuration shared by all our HTTP servers.
#[must_use]
pub fn server_config(listen: SocketAddr) -> Config {
    let _ = log::set_logger(&QuietLogger);
    let mut config = Config {
        address: listen.ip(),
        port: listen.port(),
        log_level: LogLevel::Off,
        ..Config::default()
    };
    config.shutdown.ctrlc = false;
    config.shutdown.signals.clear();
    config.shutdown.grace = SHUTDOWN_GRACE_S;
    config.shutdown.mercy = SHUTDOWN_GRACE_S;
    config
}
