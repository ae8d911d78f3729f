//! Tests of membership state machines connected by a message queue.

mod fleet;
mod protocol;
mod replay;
mod trace;
