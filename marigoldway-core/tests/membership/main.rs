//! The membership state machines, many of them joined by a queue of messages.

mod fleet;
mod protocol;
mod replay;
mod trace;
