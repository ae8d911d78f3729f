//! Sizes that grow with the fleet and with the customers: memory of the roster
//! and of the lists, time to read the lists, and the length of each message of
//! the membership protocol with the time to encode and decode it.
//!
//! `cargo run --release -p marigoldway-net --example measure_capacity [CSV]`
//!
//! Memory is what the process's resident size grows by. Linux only.

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

/// Numbers of instances; the last is the size of two years.
const INSTANCES: [u32; 4] = [1_000, 3_600, 7_200, 14_500];

/// Numbers of customers. A list of plans may have a million octets.
const CUSTOMERS: [u32; 3] = [2_000, 5_000, 9_000];

/// One instance in this many is an entry.
const ENTRY_STRIDE: u32 = 10;

/// Agents of a service.
const SERVICE_AGENTS: u32 = 3;

/// Failure domains.
const DOMAINS: u32 = 7;

/// Records in one message.
const BATCH: usize = 200;

/// Copies that one figure for memory is taken over.
const COPIES: usize = 16;

/// Octets that are encoded and decoded for one figure.
const CODEC_OCTETS: u32 = 2_000_000;

fn main() -> Result<()> {
    let mut csv = String::from("what,size,figure,value\n");
    rosters(&mut csv)?;
    lists(&mut csv)?;
    messages(&mut csv)?;
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
        domain: DomainId((number % DOMAINS) as u8),
        region: RegionId((number % DOMAINS % 3) as u8),
        control: SocketAddrV4::new(ip, 7_001),
        state: State::Serving,
        version: 7,
        weight: FULL_WEIGHT,
    }
}

/// An entry that has learned of `count` instances.
fn entry(count: u32) -> Membership {
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

/// Resident size in octets.
fn resident() -> Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(field.ok_or("no resident size")?.parse::<u64>()? * 1_024)
}

/// What `make` leaves resident, in octets a copy, and its time.
fn grown<T>(make: impl Fn() -> T) -> Result<(u64, Duration)> {
    let before = resident()?;
    let start = Instant::now();
    let copies: Vec<T> = (0..COPIES).map(|_| make()).collect();
    let time = start.elapsed() / COPIES as u32;
    let after = resident()?;
    // A copy that is freed would be filled again by the next figure.
    std::mem::forget(black_box(copies));
    Ok((after.saturating_sub(before) / COPIES as u64, time))
}

fn rosters(csv: &mut String) -> Result<()> {
    println!("instances  state KiB  view KiB  view ms  digest us");
    for count in INSTANCES {
        let (state, _) = grown(|| entry(count))?;
        let entry = entry(count);
        let (view, view_time) = grown(|| entry.view())?;
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

/// The two lists with `count` customers, one token each.
fn documents(count: u32) -> (String, String) {
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

fn lists(csv: &mut String) -> Result<()> {
    println!("customers  document KiB  catalog KiB  read ms");
    for count in CUSTOMERS {
        let (plans, allowances) = documents(count);
        Catalog::parse(&plans, &allowances)?;
        let (catalog, time) = grown(|| Catalog::parse(&plans, &allowances))?;
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

fn messages(csv: &mut String) -> Result<()> {
    let heartbeat = Heartbeat {
        id: record(1).id,
        incarnation: record(1).incarnation,
        version: 7,
        sum: Some(0xdead_beef),
        revision: 1 << 33,
    };
    let mark = RecordSummary {
        incarnation: record(1).incarnation,
        version: 7,
        state: State::Serving,
    };
    let ack = Ack {
        record: Some(mark),
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
    let beat = |domain| DomainCounter {
        domain: DomainId(domain),
        count: 1_000_000,
    };
    let beats = Delta {
        records: Vec::new(),
        counters: (0..DOMAINS as u8).map(beat).collect(),
    };
    let sums = digest::digest(entry(14_500).roster(), Scope::All);
    let all = [
        ("heartbeat", Message::Heartbeat(heartbeat)),
        ("ack", Message::Ack(ack)),
        ("delta, 1 record", Message::Delta(one)),
        ("delta, 200 records", Message::Delta(full)),
        ("delta, 7 beats", Message::Delta(beats)),
        ("digest of 14,500", Message::Digest(sums)),
    ];
    let membership = all
        .iter()
        .map(|(name, message)| (*name, Frame::Membership(MembershipWire::from(message))));
    let frames = membership.chain(shares());

    println!("{:<20} octets  encode ns  decode ns", "message");
    for (name, frame) in frames {
        let (octets, encode, decode) = codec(&frame)?;
        println!("{name:<20} {octets:>6}  {encode:>9}  {decode:>9}");
        let name = name.replace(',', "");
        writeln!(csv, "{name},1,octets,{octets}")?;
        writeln!(csv, "{name},1,encode ns,{encode}")?;
        writeln!(csv, "{name},1,decode ns,{decode}")?;
    }
    Ok(())
}

/// The messages by which a share of one customer's allowance is lent.
fn shares() -> [(&'static str, Frame); 2] {
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

/// Length of a frame, and the time to encode and to decode it.
fn codec(frame: &Frame) -> Result<(usize, u128, u128)> {
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
