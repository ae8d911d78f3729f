//! `explain` traces a request through logs and reports lines that may be missing.

use std::process::Command;

use marigoldway::explain::line::Line;
use marigoldway::explain::trace;
use marigoldway::explain::trace::Trace;

const PLACED: &str = "time=100.000 level=info instance=e1 module=m event=flow-placed \
                      flow=1.2.3.4:5>6.7.8.9:80 agent=Some(10.0.0.1:7000) copy=0 version=3";
const HELD: &str = "time=100.004 level=info instance=a1 module=m event=flow-held \
                    flow=1.2.3.4:5>6.7.8.9:80 entry=10.0.0.9:7000 version=3";
const LET_IN: &str = "time=100.011 level=info instance=a1 module=m event=request-let-in \
                      flow=1.2.3.4:5>6.7.8.9:80 request=r1 running=1 waiting=0 slots=4 version=3";
const ANSWERED: &str = "time=100.040 level=info instance=a1 module=m event=request-answered \
                        flow=1.2.3.4:5>6.7.8.9:80 took-ms=29 version=3";
const RESET: &str = "time=100.900 level=info instance=a1 module=m event=flow-reset \
                     flow=1.2.3.4:5>6.7.8.9:80 target-restarted version=3 reason=target-restarted";
const QUEUED: &str = "time=100.011 level=info instance=a1 module=m event=request-held \
                     flow=1.2.3.4:5>6.7.8.9:80 request=r1 running=6 waiting=9 slots=4 version=3";
const TIMED_OUT: &str = "time=102.511 level=info instance=a1 module=m event=request-given-up \
                        flow=1.2.3.4:5>6.7.8.9:80 reason=timeout version=3";
const CUT: &str = "time=100.500 level=info instance=a1 module=m event=lines-left-out \
                   kind=request-answered count=7";
const UNROUTED: &str = "time=100.000 level=info instance=e1 module=m event=flow-reset \
                        flow=1.2.3.4:6>6.7.8.9:81 reason=unrouted version=3";

fn follow(texts: &[&str], id: &str) -> Option<Trace> {
    let lines: Vec<Line> = texts.iter().filter_map(|text| Line::parse(text)).collect();
    assert_eq!(lines.len(), texts.len());
    trace::follow(&lines, id)
}

#[test]
fn line_parse_skips_collector_prefix() {
    let line = Line::parse(&format!("  36.01 node-7 {PLACED}")).unwrap();
    assert_eq!((line.time, line.instance.as_str()), (100_000, "e1"));
    assert_eq!(line.event, "flow-placed");
    assert!(line.text.starts_with("event=flow-placed flow="));
    assert_eq!(Line::parse("some other program's line time=now"), None);
}

#[test]
fn follow_joins_request_and_flow_in_the_order_of_time() {
    let trace = follow(&[ANSWERED, LET_IN, PLACED, HELD], "r1").unwrap();
    let events: Vec<&str> = trace
        .events
        .iter()
        .map(|line| line.event.as_str())
        .collect();
    let expected = [
        "flow-placed",
        "flow-held",
        "request-let-in",
        "request-answered",
    ];
    assert_eq!(events, expected);
    assert!(trace.notes.is_empty(), "{:?}", trace.notes);
    assert_eq!(trace.cause, "the target beside a1 answered after 29 ms");
}

#[test]
fn follow_reports_cause_of_each_failure_kind() {
    for (lines, cause) in [
        (
            &[PLACED, HELD, LET_IN, RESET][..],
            "a1 reset the flow: target-restarted",
        ),
        (
            &[PLACED, HELD, LET_IN],
            "the target beside a1 did not answer",
        ),
        (
            &[PLACED, HELD, QUEUED, TIMED_OUT],
            "a1 queued the request until its timeout",
        ),
    ] {
        assert_eq!(follow(lines, "r1").unwrap().cause, cause);
    }
    let unrouted = follow(&[UNROUTED], "1.2.3.4:6>6.7.8.9:81").unwrap();
    assert_eq!(unrouted.cause, "e1 reset the flow: unrouted");
}

#[test]
fn follow_says_what_may_be_missing() {
    let trace = follow(&[LET_IN, CUT], "r1").unwrap();
    assert!(
        trace
            .notes
            .iter()
            .any(|note| note == "a1 omitted 7 log lines")
    );
    assert!(
        trace
            .notes
            .iter()
            .any(|note| note.contains("no entry's line"))
    );
    assert_eq!(follow(&[PLACED, HELD], "r1"), None);
}

#[test]
fn command_fails_for_unknown_id() {
    let output = Command::new(env!("CARGO_BIN_EXE_marigoldway"))
        .args(["explain", "r9"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("none of 0 lines names"), "{error}");
}
