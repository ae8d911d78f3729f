//! The list of what each plan may use, with the services and their routes.
//!
//! ```text
//! service ordering id=1
//! plan shop services=ordering connections=200 rate=50 burst=100 bulk=2
//! route ordering GET /feed class=feed repeatable=yes
//! ```
//!
//! `rate` counts requests a second, `burst` requests at once, `bulk` pieces of
//! bulk work at a time, all over the whole fleet. A route applies to every path
//! that starts with its prefix, the longest prefix first; method `*` stands for
//! any method.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::errors::Result;
use crate::ids::ServiceId;
use crate::lists::ListKind;
use crate::lists::document::Document;
use crate::lists::document::Item;
use crate::lists::document::Revision;
use crate::request::Class;

/// Most connections of one plan.
const MAX_CONNECTIONS: u32 = 10_000_000;

/// Highest rate of one plan, in requests a second.
const MAX_RATE: u32 = 1_000_000;

/// Largest burst of one plan, in requests.
const MAX_BURST: u32 = 1_000_000;

/// Most bulk work of one plan at a time.
const MAX_BULK: u32 = 100_000;

/// Longest path prefix in octets.
const MAX_PREFIX_LEN: usize = 1_024;

/// `Allowance` is what the customers of one plan may use, each for itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// The services that the plan includes.
    pub services: IndexSet<ServiceId>,
    /// Connections open at a time.
    pub connections: u32,
    /// Requests a second.
    pub rate: u32,
    /// Requests at once after a pause.
    pub burst: u32,
    /// Pieces of bulk work at a time; 0 excludes bulk work.
    pub bulk: u32,
}

/// `RouteRule` says how requests of one route are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// The class of the requests.
    pub class: Class,
    /// Whether a request may be run again after it may have run.
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

/// `RouteItem` is one `route` line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RouteItem {
    pub(crate) service: ServiceId,
    pub(crate) method: String,
    pub(crate) prefix: String,
    pub(crate) rule: RouteRule,
}

/// `Allowances` is the checked list of what plans may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allowances {
    /// Revision in the list's header.
    pub revision: Revision,
    /// The services, by name.
    pub services: IndexMap<String, ServiceId>,
    /// The plans, by name.
    pub plans: IndexMap<String, Allowance>,
    pub(crate) routes: Vec<RouteItem>,
}

impl Allowances {
    /// Reads a list.
    ///
    /// # Errors
    ///
    /// [`Error::Line`](crate::errors::Error::Line) with the first line that
    /// breaks the format, names an unknown service, states a figure out of
    /// range, or repeats a service, plan or route.
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
                "service" => list.read_service(item)?,
                "plan" => list.read_plan(item)?,
                "route" => list.read_route(item)?,
                word => {
                    let reason = format!("keyword {word:?}, expected service, plan or route");
                    return Err(item.fault(reason));
                }
            }
        }
        // The first match of a search is then the longest prefix, and a named
        // method goes before `*`.
        list.routes
            .sort_by_key(|r| (std::cmp::Reverse(r.prefix.len()), r.method == "*"));
        Ok(list)
    }

    fn read_service(&mut self, item: &Item<'_>) -> Result<()> {
        let [name] = item.names("service NAME id=N")?;
        let fields = item.fields(1, &["id"])?;
        let id = item.number(&fields, "id", 1, u32::from(u16::MAX))?;
        let id = ServiceId(u16::try_from(id).unwrap_or(u16::MAX));
        if self.services.values().any(|other| *other == id) {
            return Err(item.fault(format!("service id {id} stands twice")));
        }
        if self.services.insert(item.checked_name(name)?, id).is_some() {
            return Err(item.fault(format!("service {name} stands twice")));
        }
        Ok(())
    }

    fn read_plan(&mut self, item: &Item<'_>) -> Result<()> {
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
            return Err(item.fault(format!("plan {name} stands twice")));
        }
        self.plans.insert(name, allowance);
        Ok(())
    }

    fn read_route(&mut self, item: &Item<'_>) -> Result<()> {
        let form = "route SERVICE METHOD /PREFIX class=feed|short|bulk repeatable=yes|no";
        let [service, method, prefix] = item.names(form)?;
        let fields = item.fields(3, &["class", "repeatable"])?;
        let service = self.service(item, service)?;
        let plain = !method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase());
        if method != "*" && !plain {
            return Err(item.fault(format!("method {method:?}, expected A-Z or *")));
        }
        if !prefix.starts_with('/') || prefix.len() > MAX_PREFIX_LEN {
            return Err(item.fault(format!("prefix {prefix:?}, expected /…")));
        }
        let same = |r: &RouteItem| r.service == service && r.method == method && r.prefix == prefix;
        if self.routes.iter().any(same) {
            return Err(item.fault(format!("route {method} {prefix} stands twice")));
        }
        self.routes.push(RouteItem {
            service,
            method: method.to_owned(),
            prefix: prefix.to_owned(),
            rule: rule(item, &fields)?,
        });
        Ok(())
    }

    fn service(&self, item: &Item<'_>, name: &str) -> Result<ServiceId> {
        self.services
            .get(name)
            .copied()
            .ok_or_else(|| item.fault(format!("unknown service {name:?}")))
    }
}

fn rule(item: &Item<'_>, fields: &[(&str, &str)]) -> Result<RouteRule> {
    let class = match item.value(fields, "class")? {
        "feed" => Class::Feed,
        "short" => Class::Short,
        "bulk" => Class::Bulk,
        text => return Err(item.fault(format!("class={text}, expected feed, short or bulk"))),
    };
    let repeatable = match item.value(fields, "repeatable")? {
        "yes" => true,
        "no" => false,
        text => return Err(item.fault(format!("repeatable={text}, expected yes or no"))),
    };
    Ok(RouteRule { class, repeatable })
}
