//! Propagation of list revisions to all processes.
//!
//! A process that puts a new revision in force notifies a few random peers. Every
//! heartbeat also carries the revisions that its sender has in force, so a process
//! that missed the notification detects at the next heartbeat that it lags. It
//! requests the lists from one peer at a time. The peer sends the changed lines, or
//! the whole list if the process lags by too many revisions or too many lines
//! changed. Lists are sent only on request.
//!
//! Peers are identified by the TCP addresses of their control channels.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::lists::ListKind;
use crate::lists::document;
use crate::lists::document::Revision;
use crate::lists::patch::Patch;
use crate::lists::revisions::HeldLists;
use crate::lists::revisions::OfferOutcome;
use crate::lists::revisions::Revisions;
use crate::time::Timestamp;

/// `Message` is a message between two processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Announces the revisions that the sender has in force.
    Have(Revisions),
    /// Requests the lists whose revisions are higher than these. The sender holds
    /// these revisions itself.
    Ask(Revisions),
    /// Transfers a whole list.
    List {
        /// Kind of the list.
        kind: ListKind,
        /// Text of the list.
        text: Arc<str>,
    },
    /// Transfers the difference between two revisions of a list.
    Patch {
        /// Kind of the list.
        kind: ListKind,
        /// Number of the revision that the patch applies to.
        base: u32,
        /// Changed lines.
        patch: Patch,
    },
}

/// `Output` is an action that the caller performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a peer.
    Send {
        /// Control address of the peer.
        to: SocketAddrV4,
        /// Message to send.
        message: Message,
    },
    /// Publish the changed catalog within the process.
    Publish,
    /// Write the held list to the platform (the key-value store of the lists), which
    /// has a lower revision or another text of the same revision.
    Repair(ListKind),
    /// Report that an accepted edit is lost: another edit has the same generation, which happens
    /// only after the platform was restored to an older state.
    Conflict {
        /// Kind of the list.
        kind: ListKind,
        /// Revision that stays, at every process alike.
        kept: Revision,
        /// Revision of the lost edit.
        lost: Revision,
    },
    /// Log why an offered list was not accepted.
    Report {
        /// Kind of the list.
        kind: ListKind,
        /// Reason: waiting, stale or refused.
        outcome: OfferOutcome,
    },
}

/// `PropagationOptions` configures a [`Propagation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PropagationOptions {
    /// Number of peers that are notified of a new revision. Default: 3.
    pub fanout: usize,
    /// Time after which a request to a peer times out. Default: 500 ms.
    pub reply_timeout: Duration,
    /// Maximum number of previous revisions kept for patches, for both lists
    /// together. A peer that lags by more receives the whole list. Default: 8.
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

/// The latest request to a peer. It stays stored after a reply.
#[derive(Clone, Copy, Debug)]
struct Request {
    sent_at: Timestamp,
    /// Revisions that the peer announced.
    wanted: Revisions,
}

/// `Propagation` holds the lists of one process and exchanges revisions with its
/// peers. It does no I/O: the caller performs the returned [`Output`]s.
#[derive(Clone, Debug, Default)]
pub struct Propagation {
    options: PropagationOptions,
    held_lists: HeldLists,
    request: Option<Request>,
    /// Previous revisions as kind, number and text, latest first, as bases for
    /// patches.
    history: VecDeque<(ListKind, u32, Arc<str>)>,
}

impl Propagation {
    /// Creates the state of a process without lists.
    pub fn new(options: PropagationOptions) -> Propagation {
        Propagation {
            options,
            ..Propagation::default()
        }
    }

    /// Returns the lists that this process holds.
    pub fn held_lists(&self) -> &HeldLists {
        &self.held_lists
    }

    /// Handles the revisions that `peer` has in force, from a heartbeat or from
    /// [`Message::Have`]. Returns a request if the peer is ahead and no recent
    /// request covers its revisions, or an announcement if the peer lags behind the
    /// revisions in force here. Returns `None` if neither is needed.
    pub fn receive_revisions(
        &mut self,
        now: Timestamp,
        peer: SocketAddrV4,
        theirs: Revisions,
    ) -> Option<Output> {
        let held = self.held_lists.held_revisions();
        let message = if theirs.newer_lists(held).next().is_some() {
            if !self.may_request(now, theirs) {
                return None;
            }
            self.request = Some(Request {
                sent_at: now,
                wanted: theirs,
            });
            Message::Ask(held)
        } else {
            let own = self.held_lists.in_force();
            own.newer_lists(theirs).next()?;
            Message::Have(own)
        };
        Some(Output::Send { to: peer, message })
    }

    /// Handles a message from `from`. `peers` are the candidates for notifications
    /// of a new revision.
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
            Message::Ask(theirs) => self.newer_messages(from, *theirs),
            Message::List { kind, text } => self.offer(*kind, text, &others(peers, from), rng),
            Message::Patch { kind, base, patch } => {
                let held = self.held_lists.held_revisions();
                let Some(text) = self
                    .held_lists
                    .text(*kind)
                    .filter(|_| held.of(*kind) == *base)
                else {
                    // The patch is late: another message has replaced its base.
                    return Vec::new();
                };
                match patch.apply(text) {
                    Some(text) => self.offer(*kind, &text, &others(peers, from), rng),
                    // The peer's text of the base differs although it has the same
                    // revision number: request the whole list.
                    None => vec![Output::Send {
                        to: from,
                        message: Message::Ask(held.without(*kind)),
                    }],
                }
            }
        }
    }

    /// Handles a list that was read from the platform. Returns [`Output::Repair`] if
    /// the list that was read is not newer than the held one and differs from it.
    pub fn receive_stored(
        &mut self,
        kind: ListKind,
        text: &str,
        peers: &[SocketAddrV4],
        rng: &mut impl Rng,
    ) -> Vec<Output> {
        let mut outputs = self.offer(kind, text, peers, rng);
        let Some(Output::Report {
            outcome: OfferOutcome::Stale { .. },
            ..
        }) = outputs.first()
        else {
            return outputs;
        };
        outputs.remove(0);
        if self.differs(kind, text) {
            outputs.insert(0, Output::Repair(kind));
        }
        outputs
    }

    /// Compares an offered list with the held one. Returns a report if they are different edits of
    /// the same generation.
    fn conflict(&self, kind: ListKind, text: &str) -> Option<Output> {
        let held = document::revision(kind, self.held_lists.text(kind)?).ok()?;
        let offered = document::revision(kind, text).ok()?;
        let differs = held.generation == offered.generation && held.change != offered.change;
        differs.then(|| Output::Conflict {
            kind,
            kept: held.max(offered),
            lost: held.min(offered),
        })
    }

    fn differs(&self, kind: ListKind, text: &str) -> bool {
        self.held_lists
            .text(kind)
            .is_some_and(|held| **held != *text)
    }

    /// Returns true if there was no request yet, the reply timeout of the latest one
    /// has passed, or a revision of `theirs` is higher than that request wanted.
    fn may_request(&self, now: Timestamp, theirs: Revisions) -> bool {
        let Some(request) = self.request else {
            return true;
        };
        now.since(request.sent_at) >= self.options.reply_timeout
            || theirs.newer_lists(request.wanted).next().is_some()
    }

    /// Returns the messages that update the peer at `to` from the revisions `theirs`.
    fn newer_messages(&self, to: SocketAddrV4, theirs: Revisions) -> Vec<Output> {
        self.held_lists
            .held_revisions()
            .newer_lists(theirs)
            .filter_map(|kind| {
                let message = self.message(kind, theirs.of(kind))?;
                Some(Output::Send { to, message })
            })
            .collect()
    }

    /// Returns the message that updates a peer from revision `theirs` of a list to
    /// the one held: a patch if `theirs` is in the history and the patch is shorter
    /// than half of the list, otherwise the whole list.
    fn message(&self, kind: ListKind, theirs: u32) -> Option<Message> {
        let text = self.held_lists.text(kind)?.clone();
        let base = self
            .history
            .iter()
            .find(|(k, number, _)| (*k, *number) == (kind, theirs));
        if let Some((_, base, base_text)) = base {
            let patch = Patch::new(base_text, &text);
            if patch.len() < text.len() / 2 {
                let base = *base;
                return Some(Message::Patch { kind, base, patch });
            }
        }
        Some(Message::List { kind, text })
    }

    /// Offers a list to the held ones. If it comes into force, publishes it and
    /// notifies random peers, otherwise reports why not.
    fn offer(
        &mut self,
        kind: ListKind,
        text: &str,
        peers: &[SocketAddrV4],
        rng: &mut impl Rng,
    ) -> Vec<Output> {
        let previous = self.held_lists.text(kind).cloned();
        let number = self.held_lists.held_revisions().of(kind);
        let conflict = self.conflict(kind, text);
        let outcome = self.held_lists.offer(kind, text);
        if let Some(previous) =
            previous.filter(|_| self.held_lists.held_revisions().of(kind) > number)
        {
            self.history.push_front((kind, number, previous));
            self.history.truncate(self.options.history);
        }
        let mut outputs = match outcome {
            // A list that can't be read loses no edit.
            OfferOutcome::Refused { .. } => return vec![Output::Report { kind, outcome }],
            OfferOutcome::Accepted => {
                let own = self.held_lists.in_force();
                let notified = choose(peers, self.options.fanout, rng);
                let notices = notified.into_iter().map(|to| Output::Send {
                    to,
                    message: Message::Have(own),
                });
                std::iter::once(Output::Publish).chain(notices).collect()
            }
            outcome => vec![Output::Report { kind, outcome }],
        };
        outputs.extend(conflict);
        outputs
    }
}

/// Returns `peers` without `from`.
fn others(peers: &[SocketAddrV4], from: SocketAddrV4) -> Vec<SocketAddrV4> {
    peers.iter().copied().filter(|peer| *peer != from).collect()
}

/// Selects `count` distinct random peers, or all if there are fewer.
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
