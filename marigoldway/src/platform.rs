//! Connection of a process to the platform.

use std::net::SocketAddr;

use marigoldway_net::platform::etcd::EtcdOptions;
use marigoldway_net::platform::etcd::EtcdPlatform;

use crate::settings::PlatformSettings;

/// Creates a client of the platform without sending anything yet.
pub fn connect(settings: &PlatformSettings) -> EtcdPlatform {
    EtcdPlatform::new(EtcdOptions {
        address: SocketAddr::V4(settings.address),
        timeout: settings.timeout,
    })
}
