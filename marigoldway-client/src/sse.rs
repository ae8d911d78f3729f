//! Parser of server-sent events, the `text/event-stream` format of the HTML
//! standard, fed by chunks that may end anywhere.

use crate::errors::Error;
use crate::errors::Result;

/// Longest line and longest event in octets.
const MAX_EVENT_LENGTH: usize = 1 << 20;

/// Octets of a byte order mark, which may stand before the first line.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// `Event` is one event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Number of the event, or `None` for an event without one. An id that is
    /// no number counts as none.
    pub id: Option<u64>,
    /// Type of the event, empty where none is given.
    pub kind: String,
    /// Data lines, joined by line feeds.
    pub data: String,
}

/// `Parser` turns chunks into events.
#[derive(Clone, Debug, Default)]
pub struct Parser {
    /// The line that is not yet whole.
    line: Vec<u8>,
    /// The event that is not yet whole.
    event: Event,
    has_data: bool,
    /// Whether the last octet was a carriage return, which a line feed may follow.
    after_cr: bool,
    first_line_read: bool,
}

impl Parser {
    /// Takes a chunk and appends the events that it completes to `events`.
    ///
    /// Fails where a line or an event is longer than one mebibyte.
    pub fn push(&mut self, chunk: &[u8], events: &mut impl Extend<Event>) -> Result<()> {
        for &octet in chunk {
            let after_cr = std::mem::replace(&mut self.after_cr, octet == b'\r');
            match octet {
                b'\n' if after_cr => {}
                b'\n' | b'\r' => events.extend(self.end_line()),
                _ => self.line.push(octet),
            }
            if self.line.len() + self.event.data.len() > MAX_EVENT_LENGTH {
                return Err(Error::malformed(format!(
                    "event longer than {MAX_EVENT_LENGTH} octets"
                )));
            }
        }
        Ok(())
    }

    fn end_line(&mut self) -> Option<Event> {
        let line = std::mem::take(&mut self.line);
        let mut line = line.as_slice();
        if !std::mem::replace(&mut self.first_line_read, true) {
            line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
        }
        if line.is_empty() {
            return self.end_event();
        }
        self.field(&String::from_utf8_lossy(line));
        None
    }

    fn end_event(&mut self) -> Option<Event> {
        let event = std::mem::take(&mut self.event);
        let whole = std::mem::take(&mut self.has_data);
        whole.then_some(event)
    }

    fn field(&mut self, line: &str) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "data" => {
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            "event" => self.event.kind = value.to_owned(),
            "id" => self.event.id = value.parse().ok(),
            // Comments, the reconnection time and unknown fields change nothing.
            _ => {}
        }
    }
}
