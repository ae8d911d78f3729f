//! Measures sizes that grow with the number of instances and of customers: the
//! memory of the roster and of the lists, the time to parse the lists, and the
//! length of each message of the membership and share protocols with the time to
//! encode and decode it.
//!
//! `cargo run --release -p marigoldway-net --example measure_capacity [CSV]`
//!
//! The roster holds one record for each instance. The lists are the plans of the customers and
//! the allowances of each plan. Shares are parts of allowances that agents may use for a limited
//! time. Memory is the growth of the process's resident set size. Linux only.

use std::env;
use std::error::Error;
use std::fmt::Write;
use std::fs;
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::digest;
use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::RegionId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::lists::catalog::Catalog;
use marigoldway_core::lists::plans::TokenDigest;
use marigoldway_core::membership::Input;
use marigoldway_core::membership::Membership;
use marigoldway_core::membership::MembershipOptions;
use marigoldway_core::message::Ack;
use marigoldway_core::message::Delta;
use marigoldway_core::message::DomainCounter;
use marigoldway_core::message::Heartbeat;
use marigoldway_core::message::Message;
use marigoldway_core::message::RecordSummary;
use marigoldway_core::message::Scope;
use marigoldway_core::roster::FULL_WEIGHT;
use marigoldway_core::roster::Record;
use marigoldway_core::roster::Role;
use marigoldway_core::roster::State;
use marigoldway_core::share::Grant;
use marigoldway_core::share::Report;
use marigoldway_core::share::amounts::Amounts;
use marigoldway_core::time::Timestamp;

use marigoldway_net::wire;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::membership::MembershipWire;
use marigoldway_net::wire::shares::SharesWire;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Numbers of instances. The last is the size expected in two years.
const INSTANCE_COUNTS: [u32; 4] = [1_000, 3_600, 7_200, 14_500];

/// Numbers of customers. Their list of plans must have at most a million octets.
const CUSTOMER_COUNTS: [u32; 3] = [2_000, 5_000, 9_000];

/// Number of instances of which one is an entry, a process that forwards packets to agents.
/// The others are agents, the processes beside the targets.
const ENTRY_STRIDE: u32 = 10;

/// Number of agents per service.
const SERVICE_AGENTS: u32 = 3;

/// Number of failure domains.
const DOMAIN_COUNT: u32 = 7;

/// Number of records in a delta message.
const BATCH: usize = 200;

/// Number of copies over which memory and creation time are averaged.
const COPIES: usize = 16;

/// Number of octets to encode, and to decode, per measured message. A message is encoded and
/// decoded at least 20 times.
const CODEC_OCTETS: u32 = 2_000_000;

fn main() -> Result<()> {
    let mut csv = String::from("what,size,figure,value\n");
    measure_rosters(&mut csv)?;
    measure_lists(&mut csv)?;
    measure_messages(&mut csv)?;
    if let Some(path) = env::args().nth(1) {
        fs::write(path, csv)?;
    }
    Ok(())
}

fn record(number: u32) -> Record {
    let ip = Ipv4Addr::from_bits(0x0a00_0000 + number);
    let entry = number.is_multiple_of(ENTRY_STRIDE);
    let service = u16::try_from(number / SERVICE_AGENTS).unwrap_or(u16::MAX);
    Record {
        id: InstanceId::new(ip, 7_000),
        incarnation: Incarnation(300_000_000 + number),
        role: if entry { Role::Entry } else { Role::Agent },
        service: (!entry).then_some(ServiceId(service)),
        domain: DomainId((number % DOMAIN_COUNT) as u8),
        region: RegionId((number % DOMAIN_COUNT % 3) as u8),
        control: SocketAddrV4::new(ip, 7_001),
        state: State::Serving,
        version: 7,
        weight: FULL_WEIGHT,
    }
}

/// Returns an entry whose roster holds `count` instances.
fn populated_entry(count: u32) -> Membership {
    let mut rng = StdRng::seed_from_u64(1);
    let now = Timestamp::ZERO;
    let own = record(0);
    let mut entry = Membership::new(now, own, Vec::new(), MembershipOptions::default());
    let records: Vec<Record> = (1..count).map(record).collect();
    for batch in records.chunks(BATCH) {
        let delta = Delta {
            records: batch.to_vec(),
            counters: Vec::new(),
        };
        let input = Input::Receive {
            from: record(1).control,
            message: Message::Delta(delta),
        };
        entry.handle(now, input, &mut rng);
    }
    entry
}

/// Returns the resident set size of this process in octets.
fn resident_size() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(field.ok_or("no VmRSS field")?.parse::<u64>()? * 1_024)
}

/// Returns the growth of the resident set size in octets per value that `create` returns,
/// and the time of one call.
fn measure_growth<T>(create: impl Fn() -> T) -> Result<(u64, Duration)> {
    let before = resident_size()?;
    let start = Instant::now();
    let copies: Vec<T> = (0..COPIES).map(|_| create()).collect();
    let time = start.elapsed() / COPIES as u32;
    let after = resident_size()?;
    // The next measurement would reuse the memory of freed copies and show too little growth.
    std::mem::forget(black_box(copies));
    Ok((after.saturating_sub(before) / COPIES as u64, time))
}

fn measure_rosters(csv: &mut String) -> Result<()> {
    println!("instances  state KiB  view KiB  view ms  digest us");
    for count in INSTANCE_COUNTS {
        let (state, _) = measure_growth(|| populated_entry(count))?;
        let entry = populated_entry(count);
        let (view, view_time) = measure_growth(|| entry.view())?;
        let start = Instant::now();
        black_box(digest::digest(entry.roster(), Scope::All));
        let digest_time = start.elapsed();
        println!(
            "{count:>9}  {:>9}  {:>8}  {:>7.2}  {:>9}",
            state / 1_024,
            view / 1_024,
            view_time.as_secs_f64() * 1_000.0,
            digest_time.as_micros()
        );
        writeln!(csv, "roster,{count},state octets,{state}")?;
        writeln!(csv, "roster,{count},view octets,{view}")?;
        writeln!(csv, "roster,{count},view us,{}", view_time.as_micros())?;
        writeln!(csv, "roster,{count},digest us,{}", digest_time.as_micros())?;
    }
    Ok(())
}

/// Returns the lists of plans and of allowances for `count` customers with one token each.
fn list_documents(count: u32) -> (String, String) {
    let mut plans = String::from("list plans\ngeneration 1\nchange 0000000000000001\n");
    for number in 0..count {
        let token = TokenDigest::of(&number.to_string());
        plans.push_str(&format!(
            "customer agrovet-{number:06} plan=shop token={token}\n"
        ));
    }
    let allowances = "list allowances\ngeneration 1\nchange 0000000000000001\n\
        service ordering id=1\n\
        plan shop services=ordering connections=200 rate=50 burst=100 bulk=2\n\
        route ordering GET /feed class=feed repeatable=yes\n";
    (plans, allowances.to_owned())
}

fn measure_lists(csv: &mut String) -> Result<()> {
    println!("customers  document KiB  catalog KiB  read ms");
    for count in CUSTOMER_COUNTS {
        let (plans, allowances) = list_documents(count);
        Catalog::parse(&plans, &allowances)?;
        let (catalog, time) = measure_growth(|| Catalog::parse(&plans, &allowances))?;
        println!(
            "{count:>9}  {:>12}  {:>11}  {:>7.1}",
            plans.len() / 1_024,
            catalog / 1_024,
            time.as_secs_f64() * 1_000.0
        );
        writeln!(csv, "lists,{count},document octets,{}", plans.len())?;
        writeln!(csv, "lists,{count},catalog octets,{catalog}")?;
        writeln!(csv, "lists,{count},read us,{}", time.as_micros())?;
    }
    Ok(())
}

fn measure_messages(csv: &mut String) -> Result<()> {
    let heartbeat = Heartbeat {
        id: record(1).id,
        incarnation: record(1).incarnation,
        version: 7,
        sum: Some(0xdead_beef),
        revision: 1 << 33,
    };
    let summary = RecordSummary {
        incarnation: record(1).incarnation,
        version: 7,
        state: State::Serving,
    };
    let ack = Ack {
        record: Some(summary),
        number: 0,
        lost: Vec::new(),
        revision: 1 << 33,
    };
    let one = Delta {
        records: vec![record(1)],
        counters: Vec::new(),
    };
    let full = Delta {
        records: (0..BATCH as u32).map(record).collect(),
        counters: Vec::new(),
    };
    let counter = |domain| DomainCounter {
        domain: DomainId(domain),
        count: 1_000_000,
    };
    let counters = Delta {
        records: Vec::new(),
        counters: (0..DOMAIN_COUNT as u8).map(counter).collect(),
    };
    let digest = digest::digest(populated_entry(14_500).roster(), Scope::All);
    let messages = [
        ("heartbeat", Message::Heartbeat(heartbeat)),
        ("ack", Message::Ack(ack)),
        ("delta, 1 record", Message::Delta(one)),
        ("delta, 200 records", Message::Delta(full)),
        ("delta, 7 beats", Message::Delta(counters)),
        ("digest of 14,500", Message::Digest(digest)),
    ];
    let membership = messages
        .iter()
        .map(|(name, message)| (*name, Frame::Membership(MembershipWire::from(message))));
    let frames = membership.chain(share_messages());

    println!("{:<20} octets  encode ns  decode ns", "message");
    for (name, frame) in frames {
        let (octets, encode, decode) = measure_codec(&frame)?;
        println!("{name:<20} {octets:>6}  {encode:>9}  {decode:>9}");
        let name = name.replace(',', "");
        writeln!(csv, "{name},1,octets,{octets}")?;
        writeln!(csv, "{name},1,encode ns,{encode}")?;
        writeln!(csv, "{name},1,decode ns,{decode}")?;
    }
    Ok(())
}

/// Returns the messages by which a share of one customer's allowance is lent.
fn share_messages() -> [(&'static str, Frame); 2] {
    let amounts = Amounts {
        rate: 50_000,
        connections: 200,
        bulk: 2,
    };
    let report = Report {
        customer: "agrovet-000001".to_owned(),
        number: 1 << 33,
        requested: amounts,
        open: amounts,
        share: amounts,
        applied: 1 << 33,
    };
    let grant = Grant {
        customer: "agrovet-000001".to_owned(),
        number: 1 << 33,
        share: amounts,
        term: Duration::from_secs(2),
    };
    [
        ("share report", Frame::Shares(SharesWire::from(&report))),
        ("share grant", Frame::Shares(SharesWire::from(&grant))),
    ]
}

/// Returns the length of a frame in octets, and the mean times to encode and to decode it, in
/// nanoseconds.
fn measure_codec(frame: &Frame) -> Result<(usize, u128, u128)> {
    let octets = wire::encode(frame)?;
    let rounds = (CODEC_OCTETS / octets.len() as u32).max(20);

    let start = Instant::now();
    for _ in 0..rounds {
        black_box(wire::encode(frame)?);
    }
    let encode = start.elapsed().as_nanos() / u128::from(rounds);

    let start = Instant::now();
    for _ in 0..rounds {
        black_box(wire::decode::<Frame>(&octets)?);
    }
    let decode = start.elapsed().as_nanos() / u128::from(rounds);
    Ok((octets.len(), encode, decode))
}
