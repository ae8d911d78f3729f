//! Publishes roster counts in `/status`. The roster holds one record for each entry or agent, with
//! its state.

use std::sync::Arc;

use tokio::sync::watch;

use marigoldway_core::roster::RosterView;
use marigoldway_core::roster::State;

use crate::operator::Status;

/// Spawns a task that updates the roster counts in `/status` with each change of the roster. It
/// ends when the sender of `views` is dropped.
pub fn publish(status: &Arc<Status>, mut views: watch::Receiver<Arc<RosterView>>) {
    let status = status.clone();
    tokio::spawn(async move {
        loop {
            let view = views.borrow_and_update().clone();
            let count = |state| {
                view.records()
                    .filter(|record| record.state == state)
                    .count()
            };
            status.set_fact("records", view.records().count());
            status.set_fact("entries", view.entries().len());
            status.set_fact("serving", count(State::Serving));
            status.set_fact("leaving", count(State::Leaving));
            status.set_fact("suspect", count(State::Suspect));
            status.set_fact("down", count(State::Down));
            if views.changed().await.is_err() {
                return;
            }
        }
    });
}
