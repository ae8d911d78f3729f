//! What the requests of one flow share.

use std::sync::Arc;

use indexmap::IndexMap;
use tokio::sync::Mutex;
use tokio::sync::watch;

use marigoldway_core::request::Refusal;

use crate::shares::Admitted;
use crate::shares::Gatekeeper;

/// `Flow` is the context of a flow's requests. Clones share it.
#[derive(Clone)]
pub(crate) struct Flow {
    gone: watch::Receiver<()>,
    /// The connection that each customer has through this flow. It is one in
    /// practice, that of the first request.
    seats: Arc<Mutex<IndexMap<String, Admitted>>>,
}

/// `Alive` stands for an open flow; dropping it tells the requests that the
/// flow is gone.
pub(crate) struct Alive(#[expect(dead_code, reason = "dropping it is its use")] watch::Sender<()>);

impl Flow {
    /// Makes the context of an open flow.
    pub(crate) fn open() -> (Alive, Flow) {
        let (alive, gone) = watch::channel(());
        let flow = Flow {
            gone,
            seats: Arc::default(),
        };
        (Alive(alive), flow)
    }

    /// Waits until the flow is gone.
    pub(crate) async fn gone(&mut self) {
        // Nothing is ever sent; the sender is dropped with the flow.
        let _ = self.gone.changed().await;
    }

    /// Counts the flow as a connection of a customer, once.
    pub(crate) async fn seat(
        &self,
        gatekeeper: &Gatekeeper,
        customer: &str,
    ) -> Result<(), Refusal> {
        let mut seats = self.seats.lock().await;
        if seats.contains_key(customer) {
            return Ok(());
        }
        let seat = gatekeeper.connect(customer).await;
        let seat = seat.map_err(|denial| denial.refusal)?;
        seats.insert(customer.to_owned(), seat);
        Ok(())
    }
}
