use super::*;

const LIST: &str =
    "{\n  \"version\": 43,\n  \"servers\": [\n    {\"id\": \"a } \\\" ]\\n\"},\n\n    {}\n  ]\n}\n";

fn values(chunks: impl Iterator<Item = Vec<u8>>) -> (Vec<String>, usize) {
    let (mut reader, mut values, mut malformed) = (StreamReader::default(), Vec::new(), 0);
    for item in chunks.flat_map(|chunk| reader.push(&chunk)) {
        match item {
            StreamItem::Value(value) => values.push(String::from_utf8(value).unwrap()),
            StreamItem::MalformedLine => malformed += 1,
        }
    }
    assert!(!reader.is_incomplete());
    (values, malformed)
}

#[test]
fn reads_an_indented_list_as_one_value_wherever_it_is_split() {
    let text = format!("\n{LIST}\n{{\"version\":44}}\n{LIST}");
    for at in 0..text.len() {
        let (head, tail) = text.as_bytes().split_at(at);
        let found = values([head.to_vec(), tail.to_vec()].into_iter());
        assert_eq!(found.0, [LIST.trim(), "{\"version\":44}", LIST.trim()]);
        assert_eq!(found.1, 0);
    }
    let bytes = values(text.bytes().map(|byte| vec![byte]));
    assert_eq!((bytes.0.len(), bytes.1), (3, 0));
}

#[test]
fn reads_the_list_after_a_malformed_line_wherever_it_is_split() {
    for (malformed, max_lines) in
        [("nonsense", 1), ("{{{{", 1), ("{\"version\":42,\"servers\":[{\"id\":\"m1\"", 1), ("}", 1)]
    {
        let text = format!("{LIST}{malformed}\n{{\"version\":44}}\n");
        for at in 0..text.len() {
            let (head, tail) = text.as_bytes().split_at(at);
            let found = values([head.to_vec(), tail.to_vec()].into_iter());
            assert_eq!(found.0, [LIST.trim(), "{\"version\":44}"], "{malformed} split at {at}");
            assert!(
                found.1 >= 1 && found.1 <= max_lines,
                "{malformed} split at {at}: {} malformed lines",
                found.1
            );
        }
    }
}

/// An incomplete list may absorb the next one. The reader reports it as incomplete, so that discovery is polled again.
#[test]
fn reports_an_unterminated_list_as_incomplete() {
    let mut reader = StreamReader::default();
    assert_eq!(reader.push(b"{\"servers\":[\n"), []);
    assert_eq!(reader.push(b"{\"version\":44}\n\n"), []);
    assert!(reader.is_incomplete());
}
