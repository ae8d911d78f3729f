//! Measures how fast a list change reaches every entry, and its traffic.
//!
//! Entries (load balancer processes) in seven failure domains forward a change of a list
//! of 500 customers. Three entries in each domain, the watchers, read the change from the
//! store. Messages take 1 to 15 ms one way;
//! 1% are lost. Every 750 ms each entry sends a heartbeat to three others, which
//! answer. Octet counts cover the list messages only, without heartbeats and
//! without the frames that carry the messages.
//!
//! ```text
//! cargo run --release -p marigoldway-core --example measure_propagation -- out.csv
//! ```

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::env;
use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::lists::ListKind;
use marigoldway_core::lists::propagation::Message;
use marigoldway_core::lists::propagation::Output;
use marigoldway_core::lists::propagation::Propagation;
use marigoldway_core::lists::propagation::PropagationOptions;
use marigoldway_core::time::Timestamp;

const ALLOWANCES: &str = "list allowances\ngeneration 1\nchange 0000000000000001\n\
    service s id=1\nplan p services=s connections=1 rate=1 burst=1 bulk=1\n";

/// Number of customers in the list.
const CUSTOMERS: u64 = 500;
/// Number of entries that read the change from the store.
const WATCHERS: usize = 21;
/// Fraction of the messages that are lost.
const LOSS_RATE: f64 = 0.01;
/// Minimum and maximum one-way delay, in microseconds.
const ONE_WAY_MICROS: (u64, u64) = (1_000, 15_000);
/// Heartbeat interval of an entry, in microseconds.
const HEARTBEAT_MICROS: u64 = 750_000;
/// Length of a message that carries only revisions (`Have`, `Ask`), in octets.
const HAVE_LEN: usize = 12;
/// Length of a hunk without its lines, in octets.
const HUNK_LEN: usize = 8;
/// Number of seeded runs of each form and size.
const SEEDS: u64 = 5;

/// Returns the text of the list of customers in the given generation.
fn plans(generation: u64) -> String {
    let mut text = format!("list plans\ngeneration {generation}\nchange {generation:016x}\n");
    for n in 0..CUSTOMERS {
        // Each generation removes the token of one customer.
        text += &if n == generation {
            format!("customer customer-{n} plan=p\n")
        } else {
            format!("customer customer-{n} plan=p token={n:064x}\n")
        };
    }
    text
}

enum Event {
    /// A message arrives: its sender and its recipient.
    Message(usize, usize, Message),
    /// An entry sends its heartbeats.
    Heartbeat(usize),
}

struct Simulation {
    now: u64,
    rng: StdRng,
    members: Vec<Propagation>,
    peers: Vec<SocketAddrV4>,
    /// Times in microseconds, and indices in `events`.
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
    messages: u64,
    /// Octets that each entry has sent.
    octets: Vec<u64>,
}

impl Simulation {
    fn new(size: usize, options: PropagationOptions, seed: u64) -> Simulation {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut member = Propagation::new(options);
        member.receive_stored(ListKind::Allowances, ALLOWANCES, &[], &mut rng);
        member.receive_stored(ListKind::Plans, &plans(1), &[], &mut rng);
        let mut sim = Simulation {
            now: 0,
            rng,
            members: vec![member; size],
            peers: (0..size).map(addr).collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            messages: 0,
            octets: vec![0; size],
        };
        for n in 0..size {
            let at = sim.rng.random_range(0..HEARTBEAT_MICROS);
            sim.push(at, Event::Heartbeat(n));
        }
        sim
    }

    fn push(&mut self, at: u64, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let octets = match &message {
            Message::Have(_) | Message::Ask(_) => HAVE_LEN,
            Message::List { text, .. } => text.len(),
            Message::Patch { patch, .. } => HAVE_LEN + patch.len() + HUNK_LEN * patch.hunks.len(),
        };
        self.messages += 1;
        self.octets[from] += octets as u64;
        if !self.rng.random_bool(LOSS_RATE) {
            let delay = self.rng.random_range(ONE_WAY_MICROS.0..ONE_WAY_MICROS.1);
            self.push(self.now + delay, Event::Message(from, to, message));
        }
    }

    fn act(&mut self, member: usize, outputs: Vec<Output>) {
        for output in outputs {
            if let Output::Send { to, message } = output {
                self.send(member, index(to), message);
            }
        }
    }

    fn step(&mut self) {
        let Some(Reverse((at, event))) = self.queue.pop() else {
            return;
        };
        self.now = at;
        let now = Timestamp::from_micros(at);
        match self.events[event].take() {
            Some(Event::Message(from, to, message)) => {
                let member = &mut self.members[to];
                let rng = &mut self.rng;
                let outputs = member.receive(now, addr(from), &message, &self.peers, rng);
                self.act(to, outputs);
            }
            Some(Event::Heartbeat(n)) => {
                for _ in 0..3 {
                    let peer = self.rng.random_range(0..self.members.len());
                    for (one, two) in [(n, peer), (peer, n)] {
                        let theirs = self.members[two].held_lists().in_force();
                        let output = self.members[one].receive_revisions(now, addr(two), theirs);
                        self.act(one, output.into_iter().collect());
                    }
                }
                self.push(at + HEARTBEAT_MICROS, Event::Heartbeat(n));
            }
            None => (),
        }
    }

    /// Lets the watchers read a change and runs until it is in force at all
    /// entries. Returns the milliseconds until half, 99% and all of the entries had it
    /// in force.
    fn propagate(&mut self) -> [u64; 3] {
        let text = plans(2);
        for n in 0..WATCHERS {
            let member = &mut self.members[n];
            let outputs = member.receive_stored(ListKind::Plans, &text, &self.peers, &mut self.rng);
            self.act(n, outputs);
        }
        let wanted = self.members[0].held_lists().in_force();
        let size = self.members.len();
        let mut times = [0; 3];
        for (time, percent) in times.iter_mut().zip([50, 99, 100]) {
            loop {
                let have = self.members.iter();
                let have = have.filter(|m| m.held_lists().in_force() == wanted).count();
                if have * 100 >= size * percent {
                    break;
                }
                for _ in 0..size / 20 {
                    self.step();
                }
            }
            *time = self.now / 1_000;
        }
        times
    }
}

fn addr(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from_bits(0x7f00_0000 + n as u32), 7_001)
}

fn index(addr: SocketAddrV4) -> usize {
    (addr.ip().to_bits() - 0x7f00_0000) as usize
}

fn main() -> io::Result<()> {
    let mut csv = String::from(
        "form,entries,seed,half_ms,most_ms,all_ms,messages_per_entry,octets_per_entry,octets_worst\n",
    );
    println!("list of {} octets; worst of {SEEDS} seeds", plans(1).len());
    println!(
        "| form | entries | half | 99% | all | messages an entry | octets an entry | octets of the busiest |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (form, history) in [("patches", 8), ("whole lists", 0)] {
        for size in [100, 500, 1_500] {
            let mut worst = [0_u64; 6];
            for seed in 0..SEEDS {
                let options = PropagationOptions {
                    history,
                    ..PropagationOptions::default()
                };
                let mut sim = Simulation::new(size, options, seed);
                let [half, most, all] = sim.propagate();
                let octets: u64 = sim.octets.iter().sum();
                let busiest = sim.octets.iter().max().copied().unwrap_or_default();
                let per = size as u64;
                let row = [half, most, all, sim.messages / per, octets / per, busiest];
                let fields: Vec<String> = row.iter().map(u64::to_string).collect();
                csv += &format!("{form},{size},{seed},{}\n", fields.join(","));
                for (worst, value) in worst.iter_mut().zip(row) {
                    *worst = value.max(*worst);
                }
            }
            let [half, most, all, messages, octets, busiest] = worst;
            println!(
                "| {form} | {size} | {half} ms | {most} ms | {all} ms | {messages} | {octets} | {busiest} |"
            );
        }
    }
    match env::args().nth(1) {
        Some(path) => fs::write(path, csv),
        None => Ok(()),
    }
}
