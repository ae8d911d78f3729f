//! Counts the datagrams that the kernel dropped because a receive buffer was full.
//!
//! The kernel counts these datagrams for each socket and lists the counts in a table of
//! all UDP sockets. The count of a socket is lost when the socket is closed.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

/// The kernel's table of IPv4 UDP sockets.
const UDP_TABLE_PATH: &str = "/proc/net/udp";

/// Index of the local address column, from 0.
const ADDRESS_COLUMN: usize = 1;

/// Index of the column of dropped datagrams, from 0.
const DROPS_COLUMN: usize = 12;

/// Returns the number of datagrams dropped at the sockets bound to `addrs`. Returns 0 if the
/// table can't be read.
pub fn overflows(addrs: &[SocketAddrV4]) -> u64 {
    let table = fs::read_to_string(UDP_TABLE_PATH).unwrap_or_default();
    let rows = table.lines().filter_map(parse_row);
    rows.filter(|row| addrs.contains(&row.addr))
        .map(|row| row.drops)
        .sum()
}

/// `Row` holds the bound address and the drop count of one socket.
struct Row {
    addr: SocketAddrV4,
    drops: u64,
}

/// Parses a row. Returns `None` for the header line and for a malformed row.
fn parse_row(line: &str) -> Option<Row> {
    let mut columns = line.split_whitespace();
    let (ip, port) = columns.nth(ADDRESS_COLUMN)?.split_once(':')?;
    // The address is printed in the machine's byte order.
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
