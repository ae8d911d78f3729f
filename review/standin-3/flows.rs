//! The rule FLOW (a): while the flow's endpoint lives and nothing disturbs it, its client gets no
//! reset that the endpoint didn't send.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::client::Flow;
use crate::client::Phase;
use crate::endpoint::name;
use crate::world::World;

/// What the judge counts.
#[derive(Default)]
pub struct Verdict {
    /// Flows that were open before the disruption.
    pub judged: usize,
    /// Those whose last request was answered.
    pub served: usize,
    /// Those that the system reset while their endpoint held them.
    pub reset: usize,
    /// Resets that the rule excuses.
    pub excused: usize,
}

/// Judges the flows that had an answer before `until`. `calm_since` is the time since which no
/// process was disturbed, `None` if the disruption was planned work only: then each reset counts.
pub fn judge(
    world: &World,
    clients: &[&Client],
    until: Instant,
    calm_since: Option<Instant>,
    stable_window: Duration,
) -> Verdict {
    let mut verdict = Verdict::default();
    let mut holders: BTreeMap<String, usize> = BTreeMap::new();
    let flows: Vec<Flow> = clients.iter().flat_map(|it| it.flows()).collect();
    for flow in flows {
        let was_open = flow.opened.is_some_and(|it| it < until) && flow.answered > 0;
        if !was_open {
            continue;
        }
        verdict.judged += 1;
        verdict.served += usize::from(flow.answered == flow.requests);
        let Phase::Reset(at, by_system) = flow.phase else {
            continue;
        };
        let holder = world.holder(&flow.key, flow.peer);
        let in_touch = calm_since.is_none_or(|it| at >= it + stable_window);
        let is_young = at - flow.begun < Duration::from_secs(60);
        let text = format!(
            "{} (open for {:.1} s): reset by the system: {by_system}, held by {holder:?}",
            name(&flow.key),
            (at - flow.begun).as_secs_f64(),
        );
        match holder {
            Some((id, started)) if by_system && in_touch && is_young => {
                if at - started >= stable_window {
                    verdict.reset += 1;
                    *holders.entry(id).or_default() += 1;
                    world.record.broken("FLOW", &text);
                    continue;
                }
                verdict.excused += 1;
            }
            _ => verdict.excused += 1,
        }
        world.record.line(&format!("excused: {text}"));
    }
    world.record.line(&format!(
        "resets by endpoint that still holds the flow: {holders:?}"
    ));
    verdict
}

impl Verdict {
    pub fn summary(&self) -> String {
        format!(
            "flows open before: {}, served after: {}, reset while their endpoint holds them: {}, \
             excused resets: {}",
            self.judged, self.served, self.reset, self.excused
        )
    }
}
