//! Connections counted for one flow.

use indexmap::IndexMap;
use tokio::sync::Mutex;

use marigoldway_core::request::Refusal;

use crate::shares::CustomerLimiter;
use crate::shares::PermitGuard;

/// `ConnectionPermits` holds the connection of each customer that has asked over one flow.
/// They are given back when the flow ends.
#[derive(Default)]
pub struct ConnectionPermits {
    taken: Mutex<IndexMap<String, PermitGuard>>,
}

impl ConnectionPermits {
    /// Counts the flow as a connection of `customer`, unless it was counted
    /// before.
    ///
    /// # Errors
    ///
    /// The allowance that is used up.
    pub async fn acquire(
        &self,
        gatekeeper: &CustomerLimiter,
        customer: &str,
    ) -> Result<(), Refusal> {
        let mut taken = self.taken.lock().await;
        if taken.contains_key(customer) {
            return Ok(());
        }
        let admitted = gatekeeper.connect(customer).await;
        let admitted = admitted.map_err(|denial| denial.refusal)?;
        taken.insert(customer.to_owned(), admitted);
        Ok(())
    }
}
