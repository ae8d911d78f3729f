//! Bounds the memory of response bodies that peers haven't read yet.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use indexmap::IndexMap;

/// Minimum length in octets of a part that counts. Shorter ones are few for each connection.
const MIN_LEN: usize = 4 * 1024;

/// `InFlight` tracks the parts of bodies that are being sent. A part that several bodies share counts
/// once: many readers ask for the same configuration at the same time. A reader that reads slowly keeps
/// its part in memory, so different parts are limited by their octets in total.
#[derive(Debug)]
pub(crate) struct InFlight {
    /// Maximum number of octets in total.
    max: usize,
    total: Cell<usize>,
    /// Number of bodies with each part, by the part's position in memory and its length.
    parts: RefCell<IndexMap<(usize, usize), usize>>,
}

/// `Sent` counts the parts of one body as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct Sent {
    in_flight: Rc<InFlight>,
    keys: Vec<(usize, usize)>,
}

impl InFlight {
    /// Nothing in flight, of at most `max` octets.
    pub(crate) fn new(max: usize) -> InFlight {
        InFlight {
            max,
            total: Cell::new(0),
            parts: RefCell::default(),
        }
    }

    /// Octets of all parts in flight.
    #[cfg(test)]
    pub(crate) fn total(&self) -> usize {
        self.total.get()
    }

    /// Counts the parts of a body as in flight. Returns `None` if too much is in flight already. A body
    /// is always sent if nothing else is.
    pub(crate) fn admit(self: &Rc<Self>, body: &[Bytes]) -> Option<Sent> {
        let keys = body.iter().filter(|it| it.len() >= MIN_LEN);
        let keys: Vec<(usize, usize)> = keys.map(|it| (it.as_ptr() as usize, it.len())).collect();
        let mut parts = self.parts.borrow_mut();
        let new = keys.iter().filter(|it| !parts.contains_key(*it));
        let added: usize = new.map(|(_, len)| len).sum();
        let total = self.total.get();
        if total > 0 && added > 0 && total + added > self.max {
            return None;
        }
        self.total.set(total + added);
        for key in &keys {
            *parts.entry(*key).or_default() += 1;
        }
        let in_flight = self.clone();
        Some(Sent { in_flight, keys })
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let mut parts = self.in_flight.parts.borrow_mut();
        for key in &self.keys {
            let Some(count) = parts.get_mut(key) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                parts.swap_remove(key);
                let total = &self.in_flight.total;
                total.set(total.get() - key.1);
            }
        }
    }
}
