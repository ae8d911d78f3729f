//! Flows of packets find their targets through changes of every process.

mod fleet;
mod found;
mod load;
mod properties;
mod refused;
mod slot_queue;
mod target;
