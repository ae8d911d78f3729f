//! The limiter of opening packets to a target in slow start, and their queue.

use std::num::NonZeroU32;
use std::time::Duration;

use proptest::prelude::*;

use marigoldway_core::flow::agent::ramp::RampLimiter;
use marigoldway_core::time::Timestamp;

const SECOND: Duration = Duration::from_secs(1);

fn ramp(limit: u32) -> NonZeroU32 {
    NonZeroU32::new(limit).unwrap()
}

/// Guards against a budget that an earlier process of the agent has used and this one spends again.
#[test]
fn limiter_of_a_new_process_frees_nothing_for_a_second() {
    let started = Timestamp::from_millis(5_000);
    let limiter = RampLimiter::new(started);
    for ms in [0, 500, 1_000] {
        let now = started + Duration::from_millis(ms);
        assert!(limiter.free_at(now, ramp(10), 0) > started + SECOND, "{ms}");
    }
    let now = started + Duration::from_millis(1_001);
    assert_eq!(limiter.free_at(now, ramp(10), 9), now);
    assert!(limiter.free_at(now, ramp(10), 10) > now + SECOND);
}

/// Guards against packets that were sent before the slow start was known and then don't count.
#[test]
fn limiter_counts_packets_that_were_sent_without_a_limit() {
    let mut limiter = RampLimiter::new(Timestamp::ZERO);
    let start = Timestamp::from_millis(5_000);
    for n in 0..20 {
        limiter.record(start + Duration::from_millis(10 * n));
    }
    // Of 20 packets, 11 have to leave the window before one more is within a limit of 10.
    let now = start + Duration::from_millis(300);
    let expected = start + Duration::from_millis(100 + 1_001);
    assert_eq!(limiter.free_at(now, ramp(10), 0), expected);
}

/// Guards against an entry with an older configuration that changes the limit, or a limit that
/// stays after a newer configuration has dropped it.
#[test]
fn limiter_applies_the_limit_of_the_highest_version() {
    let mut limiter = RampLimiter::new(Timestamp::ZERO);
    assert_eq!(limiter.ramp(), None);
    limiter.set_ramp(5, Some(ramp(10)));
    limiter.set_ramp(4, None);
    assert_eq!(limiter.ramp(), Some(ramp(10)));
    limiter.set_ramp(6, None);
    assert_eq!(limiter.ramp(), None);
}

proptest! {
    /// Guards against any window of one second, both ends included, with more packets than the
    /// ramp, and against a limiter that holds packets back for no reason.
    #[test]
    fn limiter_never_exceeds_the_ramp_in_any_window(
        limit in 1..30_u32,
        steps in prop::collection::vec((0..60_000_u64, 1..8_usize, 0..10_u32), 1..300),
    ) {
        let started = Timestamp::from_millis(1_000);
        let mut limiter = RampLimiter::new(started);
        let mut now = started;
        let mut sent: Vec<Timestamp> = Vec::new();
        for (micros, attempts, kind) in steps {
            now = now + Duration::from_micros(micros);
            if kind == 0 {
                // A packet outside of the slow start.
                limiter.record(now);
                sent.push(now);
                continue;
            }
            for _ in 0..attempts {
                let recent = |span: Duration| sent.iter().filter(|at| now.since(**at) <= span).count();
                let free = limiter.free_at(now, ramp(limit), 0) <= now;
                let blocked = now.since(started) <= SECOND;
                if free {
                    prop_assert!(!blocked);
                    prop_assert!(recent(SECOND) < limit as usize);
                    limiter.record(now);
                    sent.push(now);
                } else {
                    let slack = Duration::from_millis(1);
                    let full = recent(SECOND + slack) >= limit as usize;
                    prop_assert!(full || now.since(started) <= SECOND + slack);
                }
            }
        }
    }

    /// Guards against an estimate of a wait that isn't kept, on which clients are rejected.
    #[test]
    fn limiter_frees_places_at_the_estimated_times(
        limit in 1..20_u32,
        before in prop::collection::vec(0..100_000_u64, 0..40),
        count in 1..50_usize,
    ) {
        let mut limiter = RampLimiter::new(Timestamp::ZERO);
        let mut now = Timestamp::from_millis(10_000);
        for micros in before {
            now = now + Duration::from_micros(micros);
            limiter.record(now);
        }
        let times = limiter.free_times(now, ramp(limit), count);
        prop_assert_eq!(times.len(), count);
        prop_assert!(times.is_sorted());
        for at in times {
            let at = at.max(now);
            prop_assert_eq!(limiter.free_at(at, ramp(limit), 0), at);
            limiter.record(at);
        }
    }
}
