//! The addresses of the agent's service, which the registrar keeps listed in the store.

use marigoldway_core::flow::key::NameKey;
use marigoldway_core::replica::epoch::EpochRevision;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Swap;
use marigoldway_net::platform::SwapOutcome;
use marigoldway_net::platform::errors::Result;
use marigoldway_net::wire::agents;

use crate::packets::registrar::Registrar;

impl Registrar {
    /// Writes the list of the service's addresses if it is to be changed. If another agent has
    /// changed it meanwhile, reads it. In a later epoch, the first agent reads it at once: the store
    /// may have lost addresses.
    pub(super) async fn write_addrs(&mut self, service: NameKey) -> Result<()> {
        let key = agents::addrs_key(service);
        if self.must_read_addrs && self.agent.is_first() {
            self.read_addrs(&key).await?;
        }
        self.must_read_addrs = false;
        let Some(addrs) = self.agent.due_addrs() else {
            return Ok(());
        };
        // The list may be known from another epoch only.
        let Some(revision) = self.agent.addrs_revision().within(self.epoch) else {
            return self.read_addrs(&key).await;
        };
        let swap = Swap {
            epoch: self.epoch,
            compares: vec![(key.clone(), revision)],
            puts: vec![(key.clone(), agents::encode_addrs(&addrs))],
            ..Swap::default()
        };
        if let SwapOutcome::Applied(revision) = self.store.compare_and_swap(&swap).await? {
            log::info!(
                "event=addrs-written count={} revision={revision}",
                addrs.len()
            );
            let revision = EpochRevision::new(self.epoch, revision);
            self.agent.set_listed_addrs(addrs, revision);
            return Ok(());
        }
        self.read_addrs(&key).await
    }

    /// Reads the list of the service's addresses.
    async fn read_addrs(&self, key: &str) -> Result<()> {
        let stored = self.read_key(key).await?;
        let stored = stored.as_ref();
        let addrs = stored.and_then(|it| agents::decode_addrs(&it.value).ok());
        let revision = EpochRevision::new(self.epoch, stored.map_or(0, |it| it.revision));
        self.agent
            .set_listed_addrs(addrs.unwrap_or_default(), revision);
        Ok(())
    }
}
