//! Datagrams that the kernel dropped since a receive buffer was full.
//!
//! The kernel counts them for each socket and shows them in a table of all UDP
//! sockets. A socket that is closed takes its count along.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

/// The kernel's table of IPv4 UDP sockets.
const TABLE: &str = "/proc/net/udp";

/// Column of the local address in the table.
const ADDRESS_COLUMN: usize = 1;

/// Column of the dropped datagrams in the table.
const DROPS_COLUMN: usize = 12;

/// Datagrams dropped at the sockets bound to `addrs`; none where the system
/// shows no table.
pub fn overflows(addrs: &[SocketAddrV4]) -> u64 {
    let table = fs::read_to_string(TABLE).unwrap_or_default();
    let rows = table.lines().filter_map(parse_row);
    rows.filter(|row| addrs.contains(&row.addr))
        .map(|row| row.drops)
        .sum()
}

/// `Row` is one socket of the table.
struct Row {
    addr: SocketAddrV4,
    drops: u64,
}

/// Parses a row, or gives `None` for the heading.
fn parse_row(line: &str) -> Option<Row> {
    let mut columns = line.split_whitespace();
    let (ip, port) = columns.nth(ADDRESS_COLUMN)?.split_once(':')?;
    // The address stands as the machine holds it in memory.
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    let port = u16::from_str_radix(port, 16).ok()?;
    let drops = columns
        .nth(DROPS_COLUMN - ADDRESS_COLUMN - 1)?
        .parse()
        .ok()?;
    Some(Row {
        addr: SocketAddrV4::new(Ipv4Addr::from(ip), port),
        drops,
    })
}
