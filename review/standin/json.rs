//! A small JSON reader and writer for the bodies of the store and of heartbeats.

use std::fmt::Write;

/// `Json` is a parsed value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a whole text. Invalid text becomes `Null`.
    pub fn parse(text: &str) -> Json {
        let mut parser = Parser {
            chars: text.chars().collect(),
            at: 0,
        };
        parser.value().unwrap_or(Json::Null)
    }

    /// The value of a field, or `Null`.
    pub fn get(&self, name: &str) -> &Json {
        const NULL: Json = Json::Null;
        const MISSING: &Json = &NULL;
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(MISSING, |(_, value)| value),
            _ => MISSING,
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

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Quotes a text.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn peek(&mut self) -> Option<char> {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.chars.get(self.at).copied()
    }

    fn expect(&mut self, c: char) -> Option<()> {
        (self.peek()? == c).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        for c in word.chars() {
            self.expect(c)?;
        }
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '{' => self.object(),
            '[' => self.array(),
            '"' => self.string().map(Json::Text),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.expect('{')?;
        let mut fields = Vec::new();
        while self.peek()? != '}' {
            let key = self.string()?;
            self.expect(':')?;
            fields.push((key, self.value()?));
            if self.peek()? == ',' {
                self.at += 1;
            }
        }
        self.expect('}')?;
        Some(Json::Object(fields))
    }

    fn array(&mut self) -> Option<Json> {
        self.expect('[')?;
        let mut items = Vec::new();
        while self.peek()? != ']' {
            items.push(self.value()?);
            if self.peek()? == ',' {
                self.at += 1;
            }
        }
        self.expect(']')?;
        Some(Json::List(items))
    }

    fn string(&mut self) -> Option<String> {
        self.expect('"')?;
        let mut out = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(out),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => out.push('\n'),
                        't' => out.push('\t'),
                        'r' => out.push('\r'),
                        'u' => {
                            let code = self.chars.get(self.at..self.at + 4)?;
                            let code: String = code.iter().collect();
                            self.at += 4;
                            let code = u32::from_str_radix(&code, 16).ok()?;
                            out.push(char::from_u32(code).unwrap_or('?'));
                        }
                        other => out.push(other),
                    }
                }
                c => out.push(c),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .chars
            .get(self.at)
            .is_some_and(|c| c.is_ascii_digit() || "+-.eE".contains(*c))
        {
            self.at += 1;
        }
        let text: String = self.chars[start..self.at].iter().collect();
        text.parse().ok().map(Json::Number)
    }
}
