//! How revisions reach every process.
//!
//! A process that puts a new revision in force tells a few random peers. Every
//! heartbeat carries the revisions in force, so whoever missed that notice
//! learns of the gap from the next heartbeat. The process that lags asks one
//! peer at a time, and gets the lines that changed, or the whole list if it lags
//! by much. Nobody is sent a list unasked.
//!
//! Peers are named by the addresses of their control channels.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::lists::ListKind;
use crate::lists::patch::Patch;
use crate::lists::revisions::HeldLists;
use crate::lists::revisions::OfferOutcome;
use crate::lists::revisions::Revisions;
use crate::time::Timestamp;

/// `Message` travels between two processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender has these revisions in force.
    Have(Revisions),
    /// The sender holds these revisions and asks for higher ones.
    Ask(Revisions),
    /// One list.
    List {
        /// Which list.
        kind: ListKind,
        /// Its text.
        text: Arc<str>,
    },
    /// The difference between two states of one list.
    Patch {
        /// Which list.
        kind: ListKind,
        /// Number of the revision that it was made from.
        base: u32,
        /// The difference.
        patch: Patch,
    },
}

/// `Output` is what the process does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Publish the catalog, which has changed.
    Publish,
    /// Write the list held here to the platform, which holds an older state.
    Repair(ListKind),
    /// Log what became of a list that was outcome and not accepted.
    Report {
        /// Which list.
        kind: ListKind,
        /// What became of it.
        outcome: OfferOutcome,
    },
}

/// `PropagationOptions` sets the pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PropagationOptions {
    /// Peers that are told of a new revision.
    pub fanout: usize,
    /// Time after which a peer that was asked is given up.
    pub reply_timeout: Duration,
    /// Former states that are kept. A process that lags by more gets the list.
    pub history: usize,
}

impl Default for PropagationOptions {
    fn default() -> PropagationOptions {
        PropagationOptions {
            fanout: 3,
            reply_timeout: Duration::from_millis(500),
            history: 8,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Timestamp,
    wanted: Revisions,
}

/// `Propagation` holds the lists of one process and decides what it sends.
#[derive(Clone, Debug, Default)]
pub struct Propagation {
    options: PropagationOptions,
    held_lists: HeldLists,
    asked: Option<Asked>,
    /// Former states, by list and number, from which patches are made.
    former: VecDeque<(ListKind, u32, Arc<str>)>,
}

impl Propagation {
    /// Makes a process that holds no lists.
    pub fn new(options: PropagationOptions) -> Propagation {
        Propagation {
            options,
            ..Propagation::default()
        }
    }

    /// The lists held here.
    pub fn held_lists(&self) -> &HeldLists {
        &self.held_lists
    }

    /// Takes the revisions that `peer` has in force, from a heartbeat or from
    /// [`Message::Have`].
    pub fn receive_revisions(
        &mut self,
        now: Timestamp,
        peer: SocketAddrV4,
        theirs: Revisions,
    ) -> Option<Output> {
        let held = self.held_lists.held_revisions();
        let message = if theirs.newer_lists(held).next().is_some() {
            if !self.may_ask(now, theirs) {
                return None;
            }
            self.asked = Some(Asked {
                at: now,
                wanted: theirs,
            });
            Message::Ask(held)
        } else {
            let ours = self.held_lists.in_force();
            ours.newer_lists(theirs).next()?;
            Message::Have(ours)
        };
        Some(Output::Send { to: peer, message })
    }

    /// Takes a message of `from`. `peers` are those that a new revision may be
    /// passed on to.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        message: &Message,
        peers: &[SocketAddrV4],
        rng: &mut impl Rng,
    ) -> Vec<Output> {
        match message {
            Message::Have(theirs) => self
                .receive_revisions(now, from, *theirs)
                .into_iter()
                .collect(),
            Message::Ask(theirs) => self.lists_above(from, *theirs),
            Message::List { kind, text } => self.offer(*kind, text, &others(peers, from), rng),
            Message::Patch { kind, base, patch } => {
                let held = self.held_lists.held_revisions();
                let Some(text) = self
                    .held_lists
                    .text(*kind)
                    .filter(|_| held.of(*kind) == *base)
                else {
                    // It is late, and another answer was faster.
                    return Vec::new();
                };
                match patch.apply(text) {
                    Some(text) => self.offer(*kind, &text, &others(peers, from), rng),
                    // Two texts have the same number: only the whole list helps.
                    None => vec![Output::Send {
                        to: from,
                        message: Message::Ask(held.without(*kind)),
                    }],
                }
            }
        }
    }

    /// Takes a list as it stands in the platform.
    pub fn receive_stored(
        &mut self,
        kind: ListKind,
        text: &str,
        peers: &[SocketAddrV4],
        rng: &mut impl Rng,
    ) -> Vec<Output> {
        let outputs = self.offer(kind, text, peers, rng);
        let [Output::Report { outcome, .. }] = outputs.as_slice() else {
            return outputs;
        };
        match outcome {
            OfferOutcome::Stale { .. } if self.differs(kind, text) => vec![Output::Repair(kind)],
            OfferOutcome::Stale { .. } => Vec::new(),
            _ => outputs,
        }
    }

    fn differs(&self, kind: ListKind, text: &str) -> bool {
        self.held_lists
            .text(kind)
            .is_some_and(|held| **held != *text)
    }

    fn may_ask(&self, now: Timestamp, theirs: Revisions) -> bool {
        let Some(asked) = self.asked else {
            return true;
        };
        now.since(asked.at) >= self.options.reply_timeout
            || theirs.newer_lists(asked.wanted).next().is_some()
    }

    fn lists_above(&self, to: SocketAddrV4, theirs: Revisions) -> Vec<Output> {
        self.held_lists
            .held_revisions()
            .newer_lists(theirs)
            .filter_map(|kind| {
                let message = self.message(kind, theirs.of(kind))?;
                Some(Output::Send { to, message })
            })
            .collect()
    }

    /// What brings a process that holds revision `theirs` of a list to the one
    /// held here: a patch where it is shorter, and else the list.
    fn message(&self, kind: ListKind, theirs: u32) -> Option<Message> {
        let text = self.held_lists.text(kind)?.clone();
        let base = self
            .former
            .iter()
            .find(|(k, number, _)| (*k, *number) == (kind, theirs));
        if let Some((_, base, former)) = base {
            let patch = Patch::new(former, &text);
            if patch.len() < text.len() / 2 {
                let base = *base;
                return Some(Message::Patch { kind, base, patch });
            }
        }
        Some(Message::List { kind, text })
    }

    fn offer(
        &mut self,
        kind: ListKind,
        text: &str,
        peers: &[SocketAddrV4],
        rng: &mut impl Rng,
    ) -> Vec<Output> {
        let former = self.held_lists.text(kind).cloned();
        let number = self.held_lists.held_revisions().of(kind);
        let outcome = self.held_lists.offer(kind, text);
        if let Some(former) = former.filter(|_| self.held_lists.held_revisions().of(kind) > number)
        {
            self.former.push_front((kind, number, former));
            self.former.truncate(self.options.history);
        }
        match outcome {
            OfferOutcome::Accepted => {
                let ours = self.held_lists.in_force();
                let told = choose(peers, self.options.fanout, rng);
                let tell = told.into_iter().map(|to| Output::Send {
                    to,
                    message: Message::Have(ours),
                });
                std::iter::once(Output::Publish).chain(tell).collect()
            }
            outcome => vec![Output::Report { kind, outcome }],
        }
    }
}

fn others(peers: &[SocketAddrV4], from: SocketAddrV4) -> Vec<SocketAddrV4> {
    peers.iter().copied().filter(|id| *id != from).collect()
}

/// Chooses `count` different peers, or all if there are fewer.
fn choose(peers: &[SocketAddrV4], count: usize, rng: &mut impl Rng) -> Vec<SocketAddrV4> {
    let mut pool = peers.to_vec();
    let count = count.min(pool.len());
    for n in 0..count {
        let other = rng.random_range(n..pool.len());
        pool.swap(n, other);
    }
    pool.truncate(count);
    pool
}
