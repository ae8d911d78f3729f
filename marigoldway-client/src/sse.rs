//! Incremental parser of server-sent events, the `text/event-stream` format of
//! the HTML standard. Chunks may end anywhere.

use crate::errors::Error;
use crate::errors::Result;

/// Maximum length in octets of the current line and the data of its event together.
const MAX_EVENT_LENGTH: usize = 1 << 20;

/// UTF-8 byte order mark, which may precede the first line.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// One event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Number of the event, or `None` if it has no id or the id is not a number.
    pub id: Option<u64>,
    /// Type of the event, empty if none is given.
    pub kind: String,
    /// Data lines, joined by line feeds.
    pub data: String,
}

/// Parser state between chunks.
#[derive(Clone, Debug, Default)]
pub struct Parser {
    /// Octets of the incomplete line.
    line: Vec<u8>,
    /// Fields of the incomplete event.
    event: Event,
    has_data: bool,
    /// Whether the last octet was a carriage return. A line feed after it ends no line.
    after_cr: bool,
    first_line_read: bool,
}

impl Parser {
    /// Parses a chunk and appends the events that it completes to `events`.
    ///
    /// Fails if the current line and the data of its event together exceed 1 MiB.
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
        self.set_field(&String::from_utf8_lossy(line));
        None
    }

    fn end_event(&mut self) -> Option<Event> {
        let event = std::mem::take(&mut self.event);
        let has_data = std::mem::take(&mut self.has_data);
        has_data.then_some(event)
    }

    fn set_field(&mut self, line: &str) {
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
            // Ignores comments, the reconnection time and unknown fields.
            _ => {}
        }
    }
}
