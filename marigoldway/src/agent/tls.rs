//! TLS and QUIC configuration of an agent.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use error_stack::ResultExt;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;

use crate::errors::Error;
use crate::errors::Result;
use crate::settings::TlsSettings;

/// ALPN protocol ID of HTTP/3.
const ALPN: &[u8] = b"h3";

/// Time without a received packet after which a flow is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 20_000;

/// Interval between keep-alive packets. They keep the flow of an idle feed (an event
/// stream that stays open for hours) from reaching the idle timeout.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Initial estimate of the round-trip time. Zones are a few milliseconds apart. A
/// lost handshake packet delays the handshake by three times the estimate.
const INITIAL_RTT: Duration = Duration::from_millis(100);

/// Maximum number of concurrent requests of one flow. QUIC reserves state for
/// each of them when the connection opens.
const MAX_REQUEST_STREAMS: u32 = 32;

/// Maximum number of unidirectional streams that a caller may open on one flow. HTTP/3
/// itself uses them: one for control, two for QPACK, and some that later versions may add.
const MAX_UNI_STREAMS: u32 = 8;

/// Reads the certificate and builds the QUIC server configuration of an agent.
///
/// Fails if the certificate or its key can't be read or used.
pub(super) fn server_config(tls: &TlsSettings) -> Result<ServerConfig> {
    let chain = read_chain(&tls.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&tls.key)
        .change_context_lazy(|| Error::certificate(&tls.key))?;

    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut crypto = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context_lazy(|| Error::Start("TLS library"))?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .change_context_lazy(|| Error::certificate(&tls.certificate))?;
    crypto.alpn_protocols = vec![ALPN.to_vec()];
    // 0-RTT data can be replayed, and a replayed request would run twice.
    crypto.max_early_data_size = 0;

    let crypto =
        QuicServerConfig::try_from(crypto).change_context_lazy(|| Error::Start("TLS library"))?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(Arc::new(transport()));
    Ok(config)
}

fn read_chain(file: &Path) -> Result<Vec<CertificateDer<'static>>> {
    let context = || Error::certificate(file);
    CertificateDer::pem_file_iter(file)
        .change_context_lazy(context)?
        .collect::<std::result::Result<Vec<_>, _>>()
        .change_context_lazy(context)
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    let idle = IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS));
    transport
        .max_idle_timeout(Some(idle))
        .keep_alive_interval(Some(KEEP_ALIVE))
        .initial_rtt(INITIAL_RTT)
        .max_concurrent_bidi_streams(MAX_REQUEST_STREAMS.into())
        .max_concurrent_uni_streams(MAX_UNI_STREAMS.into())
        // Between entry and agent, each packet carries an envelope, an authenticated
        // header. It takes up part of the packet, so path MTU discovery must stay off.
        .mtu_discovery_config(None);
    transport
}
