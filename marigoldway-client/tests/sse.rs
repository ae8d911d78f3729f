//! Parsing of server-sent events from chunks.

use marigoldway_client::sse::Event;
use marigoldway_client::sse::Parser;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;

fn event(id: Option<u64>, kind: &str, data: &str) -> Event {
    Event {
        id,
        kind: kind.to_owned(),
        data: data.to_owned(),
    }
}

fn parse<'a>(chunks: impl IntoIterator<Item = &'a [u8]>) -> Vec<Event> {
    let mut parser = Parser::default();
    let mut events = Vec::new();
    for chunk in chunks {
        parser.push(chunk, &mut events).expect("events");
    }
    events
}

#[test]
fn push_fields() {
    let text = "\u{feff}id: 7\nevent: price\ndata: maize\ndata:  31\n\n: idle\n\n";
    let text = format!("{text}retry: 3\rdata\r\rid: x\r\ndata:a:b\r\n\r\nid: 9\n\ndata: cut");
    let expected = [
        event(Some(7), "price", "maize\n 31"),
        event(None, "", ""),
        event(None, "", "a:b"),
    ];
    assert_eq!(parse([text.as_bytes()]), expected);
}

#[test]
fn push_too_long() {
    let mut parser = Parser::default();
    let chunk = vec![b'x'; 600 << 10];
    let mut events = Vec::new();
    assert!(parser.push(&chunk, &mut events).is_ok());
    assert!(parser.push(&chunk, &mut events).is_err());
}

proptest! {
    #[test]
    fn push_any_chunking(
        text in "((id: [0-9]{1,3}|data: ?[a-z\u{e9}]{0,4}|event: b|: c|)(\n|\r|\r\n)){0,30}",
        cuts in proptest::collection::vec(1_usize..7, 1..20),
    ) {
        let mut chunks = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, tail) = rest.split_at((*cut).min(rest.len()));
            chunks.push(chunk);
            rest = tail;
        }
        prop_assert_eq!(parse(chunks), parse([text.as_bytes()]));
    }
}
