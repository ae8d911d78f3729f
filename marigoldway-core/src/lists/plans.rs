//! The plans list: customers, their plans and the digests of their tokens.
//!
//! The list has one line per customer: `customer NAME plan=NAME token=SHA256 …`,
//! with one `token` field for each valid token. It never contains the tokens
//! themselves.

use std::fmt;
use std::str::FromStr;

use indexmap::IndexMap;
use indexmap::IndexSet;
use sha2::Digest;
use sha2::Sha256;

use crate::errors::Error;
use crate::errors::Result;
use crate::lists::ListKind;
use crate::lists::document::Document;
use crate::lists::document::Item;
use crate::lists::document::Revision;

/// `TokenDigest` is the SHA-256 digest of a customer's token.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    /// Computes the digest of `token`.
    pub fn of(token: &str) -> TokenDigest {
        TokenDigest(Sha256::digest(token.as_bytes()).into())
    }
}

impl fmt::Debug for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for TokenDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for TokenDigest {
    type Err = Error;

    fn from_str(text: &str) -> Result<TokenDigest> {
        let error = || Error::malformed(format!("token {text:?}, expected 64 hex digits"));
        if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(error());
        }
        let mut digest = [0; 32];
        for (n, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * n..2 * n + 2], 16).map_err(|_| error())?;
        }
        Ok(TokenDigest(digest))
    }
}

/// `Customer` is one parsed `customer` line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer, unique in the list.
    pub name: String,
    /// Name of the customer's plan.
    pub plan: String,
    /// Digests of the valid tokens.
    pub tokens: Vec<TokenDigest>,
    /// Line number in the list, from 1.
    pub line: usize,
}

/// `Plans` is the parsed and validated plans list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plans {
    /// Revision in the header of the list.
    pub revision: Revision,
    /// Customers by name, in the order of the list.
    pub customers: IndexMap<String, Customer>,
}

impl Plans {
    /// Parses and validates the text of a plans list.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] with the first line that is malformed, or that repeats a
    /// customer or a token.
    pub fn parse(text: &str) -> Result<Plans> {
        let document = Document::parse(ListKind::Plans, text)?;
        let mut customers = IndexMap::new();
        let mut tokens = IndexSet::new();
        for item in &document.items {
            let customer = parse_customer(item)?;
            if let Some(token) = customer.tokens.iter().find(|t| !tokens.insert(**t)) {
                return Err(item.error(format!("duplicate token {token}")));
            }
            if let Some(previous) = customers.insert(customer.name.clone(), customer) {
                let reason = format!(
                    "customer {} is on line {} too",
                    previous.name, previous.line
                );
                return Err(item.error(reason));
            }
        }
        Ok(Plans {
            revision: document.revision,
            customers,
        })
    }
}

fn parse_customer(item: &Item<'_>) -> Result<Customer> {
    if item.keyword() != "customer" {
        let reason = format!("keyword {:?}, expected customer", item.keyword());
        return Err(item.error(reason));
    }
    let [name] = item.names("customer NAME plan=NAME token=SHA256 …")?;
    let fields = item.fields(1, &["plan", "token"])?;
    let tokens = fields
        .iter()
        .filter(|(key, _)| *key == "token")
        .map(|(_, value)| {
            let token = value.parse::<TokenDigest>();
            token.map_err(|e| item.error(e.to_string()))
        })
        .collect::<Result<Vec<_>>>()?;
    Ok(Customer {
        name: item.checked_name(name)?,
        plan: item.checked_name(item.value(&fields, "plan")?)?,
        tokens,
        line: item.line,
    })
}
