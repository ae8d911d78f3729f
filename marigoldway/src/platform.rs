//! Creates the client of the platform, the key-value service in which processes share data.

use std::net::SocketAddr;

use marigoldway_net::platform::etcd::EtcdOptions;
use marigoldway_net::platform::etcd::EtcdPlatform;

use crate::settings::PlatformSettings;

/// Creates a client of the platform. It opens a connection for each call, the first one only when
/// the first call is made.
pub fn new_client(settings: &PlatformSettings) -> EtcdPlatform {
    EtcdPlatform::new(EtcdOptions {
        address: SocketAddr::V4(settings.address),
        timeout: settings.timeout,
    })
}
