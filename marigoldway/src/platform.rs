//! The platform as a process reaches it.

use std::net::SocketAddr;

use marigoldway_net::platform::etcd::EtcdOptions;
use marigoldway_net::platform::etcd::EtcdPlatform;

use crate::settings::PlatformSettings;

/// Makes a client of the platform. Nothing is sent yet.
pub fn connect(settings: &PlatformSettings) -> EtcdPlatform {
    EtcdPlatform::new(EtcdOptions {
        address: SocketAddr::V4(settings.address),
        timeout: settings.timeout,
    })
}
