//! Connection permits of one flow. A permit counts the flow as one of a customer's
//! connections.

use indexmap::IndexMap;
use tokio::sync::Mutex;

use marigoldway_core::request::Refusal;

use crate::shares::CustomerLimiter;
use crate::shares::PermitGuard;

/// `ConnectionPermits` holds one connection permit for each customer that has sent
/// requests over one flow. Dropping it at the end of the flow releases the permits.
#[derive(Default)]
pub struct ConnectionPermits {
    permits: Mutex<IndexMap<String, PermitGuard>>,
}

impl ConnectionPermits {
    /// Counts the flow as a connection of `customer`, unless it is already counted.
    ///
    /// # Errors
    ///
    /// The reason for which [`CustomerLimiter::connect`] refuses the connection.
    pub async fn acquire(&self, limiter: &CustomerLimiter, customer: &str) -> Result<(), Refusal> {
        let mut permits = self.permits.lock().await;
        if permits.contains_key(customer) {
            return Ok(());
        }
        let permit = limiter.connect(customer).await;
        let permit = permit.map_err(|denial| denial.refusal)?;
        permits.insert(customer.to_owned(), permit);
        Ok(())
    }
}
