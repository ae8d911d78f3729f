//! TLS and QUIC settings of an agent.

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

/// Protocol name of HTTP/3 in the TLS handshake.
const ALPN: &[u8] = b"h3";

/// Time without a packet after which a flow is given up, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 20_000;

/// Time between packets that keep a quiet feed open.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// First guess of the round trip time: zones are a few milliseconds apart, and
/// a lost handshake packet costs three times the guess.
const INITIAL_RTT: Duration = Duration::from_millis(100);

/// Requests that one flow may have open at a time. QUIC keeps a place for each
/// of them from the start.
const MAX_REQUEST_STREAMS: u32 = 32;

/// Streams for HTTP/3's own use that a caller may open: control, two of QPACK,
/// and some that later versions may add.
const MAX_UNI_STREAMS: u32 = 8;

/// Reads the certificate and makes the QUIC settings of an agent.
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
    // Early data can be replayed, and a replayed order would run twice.
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
        // The envelope takes a part of each packet on the inner hop, so the
        // path must not be probed for its largest size.
        .mtu_discovery_config(None);
    transport
}
