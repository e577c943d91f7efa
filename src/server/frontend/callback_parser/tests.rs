use super::*;

fn parsed(body: &str) -> Option<WorkerCallback> {
    parse(Bytes::copy_from_slice(body.as_bytes()))
}

/// The `Debug` output of the event of a callback with these additional fields.
fn event_debug(fields: &str) -> Option<String> {
    parsed(&format!(r#"{{"id":"r","from":"m1",{fields}}}"#)).map(|callback| format!("{:?}", callback.event))
}

#[test]
fn callback_fields_are_parsed() {
    let callback =
        parsed(r#"{"id":"9b1f","from":"s-0badcafe","state":"started","load":{"queue":2,"util":0.61}}"#)
            .unwrap();
    assert_eq!((callback.request_name.as_ref(), callback.worker_name.as_str()), (&b"9b1f"[..], "s-0badcafe"));
    assert_eq!(callback.load_report, [("queue".to_owned(), 2.0), ("util".to_owned(), 0.61)]);
}

#[test]
fn each_callback_state_maps_to_its_event() {
    for (fields, event) in [
        (r#""state":"started""#, "Started"),
        (r#""state":"running","share":0.4"#, "Progress(0.4)"),
        (r#""state":"done","result":"ok""#, r#"Completed(b"ok")"#),
        (r#""state":"done","result":[1,2]"#, r#"Completed(b"[1,2]")"#),
        (r#""state":"failed""#, "Ended(Failed)"),
        (r#""state":"returned""#, "Ended(RejectedByWorker)"),
        (r#""state":"lost""#, "Ended(LostByWorker)"),
    ] {
        assert_eq!(event_debug(fields).as_deref(), Some(event), "{fields}");
    }
}

#[test]
fn callbacks_without_a_required_field_or_with_an_unknown_state_are_malformed() {
    for fields in [r#""state":"running""#, r#""state":"done""#, r#""state":"paused""#, r#""share":1"#] {
        assert_eq!(event_debug(fields), None, "{fields}");
    }
    for body in [r#"{"from":"m1","state":"lost"}"#, r#"{"id":"r","state":"lost"}"#, "[]", "{"] {
        assert!(parsed(body).is_none(), "{body}");
    }
}
