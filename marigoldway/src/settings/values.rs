//! Parsers of single values. Each returns a description of a valid value as its error.

use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::ops::RangeInclusive;
use std::time::Duration;

use log::LevelFilter;

use crate::settings::faults::Expected;

/// Maximum prefix length of an IPv4 subnet, in bits.
const MAX_PREFIX_LEN: u8 = 32;

/// IPv4 subnet in CIDR notation, such as `127.0.0.0/8`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subnet {
    base: Ipv4Addr,
    prefix: u8,
}

impl Subnet {
    /// Returns whether `ip` is in the subnet.
    pub fn contains(self, ip: Ipv4Addr) -> bool {
        ip.to_bits() & self.mask() == self.base.to_bits()
    }

    fn mask(self) -> u32 {
        u32::MAX
            .checked_shl(u32::from(MAX_PREFIX_LEN - self.prefix))
            .unwrap_or(0)
    }
}

impl fmt::Display for Subnet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.base, self.prefix)
    }
}

impl TryFrom<&str> for Subnet {
    type Error = Expected;

    fn try_from(text: &str) -> Result<Subnet, Expected> {
        let expected = || Expected::new("IPv4 subnets such as 127.0.0.0/8, host bits zero");
        let (base, prefix) = text.split_once('/').ok_or_else(expected)?;
        let base = base.parse().map_err(|_| expected())?;
        let prefix = prefix.parse().map_err(|_| expected())?;
        if prefix > MAX_PREFIX_LEN {
            return Err(expected());
        }

        let subnet = Subnet { base, prefix };
        if subnet.contains(base) {
            Ok(subnet)
        } else {
            Err(expected())
        }
    }
}

/// Parses an IPv4 address with a port above zero.
pub(crate) fn address(text: &str) -> Result<SocketAddrV4, Expected> {
    match text.parse() {
        Ok(SocketAddr::V4(addr)) if addr.port() > 0 => Ok(addr),
        Ok(SocketAddr::V4(_)) => Err(Expected::new("a port from 1 to 65535")),
        Ok(SocketAddr::V6(_)) => Err(Expected::new("an IPv4 address, not IPv6, and a port")),
        Err(_) => Err(Expected::new(
            "an IPv4 address and a port, such as 127.0.1.1:7000",
        )),
    }
}

/// Parses a comma-separated list of at least one item. `parse_item` parses each item without the
/// white space around it.
pub(crate) fn list<T>(
    text: &str,
    parse_item: impl Fn(&str) -> Result<T, Expected>,
) -> Result<Vec<T>, Expected> {
    text.split(',')
        .map(|item| parse_item(item.trim()))
        .collect()
}

/// Parses a whole number within `range`.
pub(crate) fn number(text: &str, range: RangeInclusive<u32>) -> Result<u32, Expected> {
    let number = text.parse().ok().filter(|number| range.contains(number));
    number.ok_or_else(|| {
        let description = format!("a whole number from {} to {}", range.start(), range.end());
        Expected::new(description)
    })
}

/// Parses a time span in milliseconds, seconds, minutes or hours, such as `250ms`, `30s` or `5m`.
/// It must be above zero and not longer than 24 hours.
pub(crate) fn duration(text: &str) -> Result<Duration, Expected> {
    const MAX_DURATION: Duration = Duration::from_secs(24 * 60 * 60);

    let expected = || Expected::new("a time span such as 250ms, 30s or 5m, at most 24h");
    let unit_start = text
        .find(|c: char| !c.is_ascii_digit())
        .ok_or_else(expected)?;
    let (count, unit) = text.split_at(unit_start);
    let count: u32 = count.parse().map_err(|_| expected())?;
    let unit = match unit {
        "ms" => Duration::from_millis(1),
        "s" => Duration::from_secs(1),
        "m" => Duration::from_secs(60),
        "h" => Duration::from_secs(60 * 60),
        _ => return Err(expected()),
    };
    let span = unit.saturating_mul(count);
    if span.is_zero() || span > MAX_DURATION {
        return Err(expected());
    }
    Ok(span)
}

/// Parses `on` or `off`.
pub(crate) fn switch(text: &str) -> Result<bool, Expected> {
    match text {
        "on" => Ok(true),
        "off" => Ok(false),
        _ => Err(Expected::new("on or off")),
    }
}

/// Parses a log level.
pub(crate) fn level(text: &str) -> Result<LevelFilter, Expected> {
    match text {
        "error" => Ok(LevelFilter::Error),
        "warn" => Ok(LevelFilter::Warn),
        "info" => Ok(LevelFilter::Info),
        "debug" => Ok(LevelFilter::Debug),
        "trace" => Ok(LevelFilter::Trace),
        _ => Err(Expected::new("one of error, warn, info, debug, trace")),
    }
}

/// Parses a name of lower-case ASCII letters, digits and hyphens, not empty.
pub(crate) fn name(text: &str) -> Result<String, Expected> {
    let is_valid_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if text.is_empty() || !text.chars().all(is_valid_char) {
        return Err(Expected::new(
            "a name of lower-case letters, digits and hyphens",
        ));
    }
    Ok(text.to_owned())
}

/// Parses a text without white space, not empty.
pub(crate) fn text(text: &str) -> Result<String, Expected> {
    if text.is_empty() || text.contains(char::is_whitespace) {
        return Err(Expected::new("a nonempty name without white space"));
    }
    Ok(text.to_owned())
}

/// Parses the path of a URL: it starts with `/` and has no white space.
pub(crate) fn url_path(text: &str) -> Result<String, Expected> {
    if !text.starts_with('/') || text.contains(char::is_whitespace) {
        return Err(Expected::new("a URL path that starts with /"));
    }
    Ok(text.to_owned())
}
