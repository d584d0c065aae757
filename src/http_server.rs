//! Starts HTTP servers and reports their bound addresses.

use std::net::SocketAddr;

use rocket::config::LogLevel;
use rocket::fairing::AdHoc;
use rocket::{Build, Config, Ignite, Rocket, Shutdown};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinHandle};

/// Time that a stopping server waits for open connections, in seconds.
///
/// Routers finish their requests before they stop the server, so only idle connections are left.
const SHUTDOWN_GRACE_S: u32 = 2;

/// Error of starting a server.
#[derive(Debug, Error)]
#[error("HTTP server on {listen} did not start: {reason}")]
pub struct StartError {
    /// The requested address.
    listen: SocketAddr,
    /// The HTTP library's error.
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
    /// Starts a server. With port 0 the operating system chooses the port.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or two routes collide.
    pub async fn start(rocket: Rocket<Build>) -> Result<Self, StartError> {
        let config: Config = rocket.figment().extract().unwrap_or_default();
        let listen = SocketAddr::new(config.address, config.port);
        let start_error = |reason: String| StartError { listen, reason };
        let (port_sender, port_receiver) = oneshot::channel();
        let port_sender = std::sync::Mutex::new(Some(port_sender));
        let port_fairing = AdHoc::on_liftoff("report port", move |rocket| {
            let sender = port_sender.lock().ok().and_then(|mut slot| slot.take());
            let port = rocket.config().port;
            Box::pin(async move {
                if let Some(sender) = sender {
                    let _ = sender.send(port);
                }
            })
        });
        let rocket = rocket.attach(port_fairing).ignite().await;
        let rocket = rocket.map_err(|error| start_error(describe(error)))?;
        let shutdown = rocket.shutdown();
        let task = tokio::spawn(rocket.launch());
        match port_receiver.await {
            Ok(port) => Ok(Self {
                address: SocketAddr::new(config.address, port),
                shutdown,
                task,
            }),
            Err(_) => match task.await {
                Ok(Err(error)) => Err(start_error(describe(error))),
                _ => Err(start_error("the server ended during startup".to_owned())),
            },
        }
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server: refuses new connections and gives open ones a short grace period.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }

    /// Refuses new connections from now on, as a crashed server would.
    pub fn abort(&self) {
        self.task.abort();
    }

    /// Returns a handle by which another task can call `abort`.
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

/// Discards log records of libraries: the HTTP library would print each request to standard output.
struct DiscardLogger;

impl log::Log for DiscardLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &log::Record<'_>) {}

    fn flush(&self) {}
}

/// Returns the configuration shared by all HTTP servers of this crate.
#[must_use]
pub fn server_config(listen: SocketAddr) -> Config {
    let _ = log::set_logger(&DiscardLogger);
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
