//! Parsing and validation of both lists, with the line of each error.

use marigoldway_core::errors::Error;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::lists::ListKind;
use marigoldway_core::lists::catalog::Catalog;
use marigoldway_core::lists::document;
use marigoldway_core::lists::document::ChangeId;
use marigoldway_core::lists::document::Revision;
use marigoldway_core::request::Class;

const PLANS: &str = include_str!("../../deploy/sungur-dana/lists/plans.txt");
const ALLOWANCES: &str = include_str!("../../deploy/sungur-dana/lists/allowances.txt");
const WAQT_PLANS: &str = include_str!("../../deploy/waqt-saanjha/lists/plans.txt");
const WAQT_ALLOWANCES: &str = include_str!("../../deploy/waqt-saanjha/lists/allowances.txt");

/// Returns line and reason of the error for an invalid pair of lists.
fn parse_error(plans: &str, allowances: &str) -> (usize, String) {
    match Catalog::parse(plans, allowances) {
        Err(Error::Line { line, reason }) => (line, reason),
        other => panic!("expected Error::Line, got {other:?}"),
    }
}

#[test]
fn parse_accepts_deployed_lists() {
    let catalog = Catalog::parse(PLANS, ALLOWANCES).unwrap();
    assert_eq!(catalog.customer("demo-token").unwrap().name, "demo");
    assert_eq!(catalog.customer("demo-tokem"), None);
    assert_eq!(catalog.allowance("shop").unwrap().rate, 500);
    Catalog::parse(WAQT_PLANS, WAQT_ALLOWANCES).unwrap();
}

#[test]
fn rule_prefers_longest_prefix() {
    let catalog = Catalog::parse(PLANS, ALLOWANCES).unwrap();
    let rule = |method, path| catalog.rule(ServiceId(1), method, path);
    assert_eq!(rule("GET", "/feed").class, Class::Feed);
    assert!(rule("GET", "/prices").repeatable);
    assert!(!rule("POST", "/order").repeatable);
    assert!(!rule("PUT", "/prices").repeatable);
}

#[test]
fn parse_reports_line_and_reason() {
    let unknown_plan = PLANS.replace("plan=cooperative", "plan=village");
    assert_eq!(
        parse_error(&unknown_plan, ALLOWANCES),
        (9, "unknown plan \"village\"".to_owned())
    );

    let duplicate = PLANS.replace("customer hill-cooperative", "customer demo");
    assert_eq!(
        parse_error(&duplicate, ALLOWANCES),
        (9, "customer demo is on line 7 too".to_owned())
    );

    let service = ALLOWANCES.replace("services=ordering,intake", "services=ordering,ledger");
    assert_eq!(
        parse_error(PLANS, &service),
        (9, "unknown service \"ledger\"".to_owned())
    );

    let range = ALLOWANCES.replace("rate=5000", "rate=0");
    assert_eq!(
        parse_error(PLANS, &range),
        (10, "rate=0, expected 1 to 1000000".to_owned())
    );

    let token = PLANS.replace("token=", "token=z");
    assert_eq!(parse_error(&token, ALLOWANCES).0, 7);
    assert_eq!(parse_error(ALLOWANCES, ALLOWANCES).0, 1);
    assert_eq!(parse_error("", ALLOWANCES).0, 1);
}

#[test]
fn with_revision_keeps_other_lines() {
    let next = Revision {
        generation: 2,
        change: ChangeId(0xabc),
    };
    let text = document::with_revision(PLANS, next);
    assert_eq!(document::revision(ListKind::Plans, &text), Ok(next));
    let lines = |text: &str| -> Vec<String> { text.lines().skip(3).map(str::to_owned).collect() };
    assert_eq!(lines(&text), lines(PLANS));
}
