//! Packets of flows reach the right target while entries, agents and targets
//! start, stop and restart.

mod candidates;
mod early;
mod fleet;
mod holders;
mod load;
mod locate;
mod moved;
mod overload;
mod properties;
mod refused;
mod rejected;
mod slot_queue;
mod target;
mod unconfirmed;
