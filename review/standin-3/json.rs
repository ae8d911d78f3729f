//! A small JSON reader for the bodies of calls to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

/// Parses a document; `Null` if it isn't one.
pub fn parse(text: &str) -> Json {
    let bytes = text.as_bytes();
    let mut at = 0;
    value(bytes, &mut at).unwrap_or(Json::Null)
}

fn blank(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    blank(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                blank(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = string(bytes, at)?;
                        blank(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        table.insert(key, value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                blank(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
        }
        b'"' => string(bytes, at).map(Json::Text),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|it| !b",]} \r\n\t".contains(it)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
            match word {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                _ => word.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        let mut buffer = [0; 4];
                        let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                        out.extend_from_slice(text.as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let octet = |at: usize| u32::from(part.get(at).copied().unwrap_or(0));
        let bits = octet(0) << 16 | octet(1) << 8 | octet(2);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            let is_data = digit <= part.len();
            out.push(if is_data {
                char::from(DIGITS[index as usize])
            } else {
                '='
            });
        }
    }
    out
}

/// Reads standard base64.
pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|it| *it == byte) else {
            continue;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    out
}
