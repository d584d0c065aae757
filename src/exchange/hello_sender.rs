//! What a hello shows of the router that sent it.

/// What was known of the router that sent a hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HelloSender {
    /// Its process was known, or the hello is an old one.
    Known,
    /// Another process of its VM was known.
    Restarted,
    /// It was unknown or timed out.
    Discovered,
}
