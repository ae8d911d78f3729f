//! The allowances list: services, their routes, and the limits of each plan.
//!
//! ```text
//! service ordering id=1
//! plan shop services=ordering connections=200 rate=50 burst=100 bulk=2
//! route ordering GET /feed class=feed repeatable=yes
//! ```
//!
//! `connections` limits open connections, `rate` requests per second, `burst`
//! requests at once, and `bulk` concurrent bulk requests. All limits apply per
//! customer across the whole fleet. A route matches every path that starts with
//! its prefix; the longest prefix wins. Method `*` matches any method.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::errors::Result;
use crate::ids::ServiceId;
use crate::lists::ListKind;
use crate::lists::document::Document;
use crate::lists::document::Item;
use crate::lists::document::Revision;
use crate::request::Class;

/// Maximum `connections` value of a plan.
const MAX_CONNECTIONS: u32 = 10_000_000;

/// Maximum `rate` value of a plan, in requests per second.
const MAX_RATE: u32 = 1_000_000;

/// Maximum `burst` value of a plan, in requests.
const MAX_BURST: u32 = 1_000_000;

/// Maximum `bulk` value of a plan, in concurrent bulk requests.
const MAX_BULK: u32 = 100_000;

/// Maximum length of a path prefix, in octets.
const MAX_PREFIX_LEN: usize = 1_024;

/// `Allowance` holds the limits of one plan. Each customer has them to itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Services that the plan includes.
    pub services: IndexSet<ServiceId>,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Maximum sustained rate, in requests per second.
    pub rate: u32,
    /// Maximum number of requests at once after an idle period.
    pub burst: u32,
    /// Maximum number of concurrent bulk requests; 0 excludes bulk requests.
    pub bulk: u32,
}

/// `RouteRule` holds the class and the retry policy of one route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Class of the requests: feed, short or bulk.
    pub class: Class,
    /// Whether a request may be retried when it may already have run.
    pub repeatable: bool,
}

impl Default for RouteRule {
    fn default() -> RouteRule {
        RouteRule {
            class: Class::Short,
            repeatable: false,
        }
    }
}

/// `Route` is one parsed `route` line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    pub(crate) service: ServiceId,
    pub(crate) method: String,
    pub(crate) prefix: String,
    pub(crate) rule: RouteRule,
}

/// `Allowances` is the parsed and validated allowances list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowances {
    /// Revision in the header of the list.
    pub revision: Revision,
    /// Service ids by service name.
    pub services: IndexMap<String, ServiceId>,
    /// Limits by plan name.
    pub plans: IndexMap<String, Allowance>,
    /// Routes, longest prefix first; for equal lengths, named methods before `*`.
    pub(crate) routes: Vec<Route>,
}

impl Allowances {
    /// Parses and validates the text of an allowances list.
    ///
    /// # Errors
    ///
    /// [`Error::Line`](crate::errors::Error::Line) with the first line that is
    /// malformed, names an unknown service, has a number out of range, or
    /// repeats a service, plan or route.
    pub fn parse(text: &str) -> Result<Allowances> {
        let document = Document::parse(ListKind::Allowances, text)?;
        let mut list = Allowances {
            revision: document.revision,
            services: IndexMap::new(),
            plans: IndexMap::new(),
            routes: Vec::new(),
        };
        for item in &document.items {
            match item.keyword() {
                "service" => list.parse_service(item)?,
                "plan" => list.parse_plan(item)?,
                "route" => list.parse_route(item)?,
                keyword => {
                    let reason = format!("keyword {keyword:?}, expected service, plan or route");
                    return Err(item.error(reason));
                }
            }
        }
        // The first match is then the longest prefix, and a named method takes
        // precedence over `*`.
        list.routes
            .sort_by_key(|route| (std::cmp::Reverse(route.prefix.len()), route.method == "*"));
        Ok(list)
    }

    fn parse_service(&mut self, item: &Item<'_>) -> Result<()> {
        let [name] = item.names("service NAME id=N")?;
        let fields = item.fields(1, &["id"])?;
        let id = item.number(&fields, "id", 1, u32::from(u16::MAX))?;
        let id = ServiceId(u16::try_from(id).unwrap_or(u16::MAX));
        if self.services.values().any(|other| *other == id) {
            return Err(item.error(format!("duplicate service id {id}")));
        }
        if self.services.insert(item.checked_name(name)?, id).is_some() {
            return Err(item.error(format!("duplicate service {name}")));
        }
        Ok(())
    }

    fn parse_plan(&mut self, item: &Item<'_>) -> Result<()> {
        let [name] = item.names("plan NAME services=A,B connections=N rate=N burst=N bulk=N")?;
        let keys = ["services", "connections", "rate", "burst", "bulk"];
        let fields = item.fields(1, &keys)?;
        let services = item
            .value(&fields, "services")?
            .split(',')
            .map(|service| self.service(item, service))
            .collect::<Result<IndexSet<_>>>()?;
        let allowance = Allowance {
            services,
            connections: item.number(&fields, "connections", 1, MAX_CONNECTIONS)?,
            rate: item.number(&fields, "rate", 1, MAX_RATE)?,
            burst: item.number(&fields, "burst", 1, MAX_BURST)?,
            bulk: item.number(&fields, "bulk", 0, MAX_BULK)?,
        };
        let name = item.checked_name(name)?;
        if self.plans.contains_key(&name) {
            return Err(item.error(format!("duplicate plan {name}")));
        }
        self.plans.insert(name, allowance);
        Ok(())
    }

    fn parse_route(&mut self, item: &Item<'_>) -> Result<()> {
        let syntax = "route SERVICE METHOD /PREFIX class=feed|short|bulk repeatable=yes|no";
        let [service, method, prefix] = item.names(syntax)?;
        let fields = item.fields(3, &["class", "repeatable"])?;
        let service = self.service(item, service)?;
        let valid = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        if method != "*" && !valid {
            return Err(item.error(format!("method {method:?}, expected A-Z or *")));
        }
        if !prefix.starts_with('/') || prefix.len() > MAX_PREFIX_LEN {
            return Err(item.error(format!(
                "prefix {prefix:?}, expected /… of at most {MAX_PREFIX_LEN} octets"
            )));
        }
        let duplicate =
            |r: &Route| r.service == service && r.method == method && r.prefix == prefix;
        if self.routes.iter().any(duplicate) {
            return Err(item.error(format!("duplicate route {method} {prefix}")));
        }
        self.routes.push(Route {
            service,
            method: method.to_owned(),
            prefix: prefix.to_owned(),
            rule: parse_rule(item, &fields)?,
        });
        Ok(())
    }

    fn service(&self, item: &Item<'_>, name: &str) -> Result<ServiceId> {
        self.services
            .get(name)
            .copied()
            .ok_or_else(|| item.error(format!("unknown service {name:?}")))
    }
}

fn parse_rule(item: &Item<'_>, fields: &[(&str, &str)]) -> Result<RouteRule> {
    let class = match item.value(fields, "class")? {
        "feed" => Class::Feed,
        "short" => Class::Short,
        "bulk" => Class::Bulk,
        text => return Err(item.error(format!("class={text}, expected feed, short or bulk"))),
    };
    let repeatable = match item.value(fields, "repeatable")? {
        "yes" => true,
        "no" => false,
        text => return Err(item.error(format!("repeatable={text}, expected yes or no"))),
    };
    Ok(RouteRule { class, repeatable })
}
