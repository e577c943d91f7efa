use super::*;

/// Scripts read the last line: its keys keep their names, whatever the fields are called.
#[test]
fn last_line_keeps_its_printed_keys() {
    let figures = Figures {
        measure: "gateway",
        seed: 1,
        ok: true,
        capacity_used_first: true,
        service_alone: None,
        service_gateway: 0.5,
        service_alone_other: None,
        service_gateway_other: 0.25,
        asked: 2,
        answered: 3,
        lost: 4,
        duplicates: 5,
        forwarded: 6,
        forwarded_while_free: 7,
        forwarded_while_ejected: 8,
        forwarded_twice: 9,
        returned: 10,
        resumed: 11,
        unknown: 12,
        failed: 13,
        price: 0.75,
    };
    let expected = r#"{"measure":"gateway","seed":1,"ok":true,"room_kept":true,"service_alone":null,"service_gateway":0.5,"service_alone_other":null,"service_gateway_other":0.25,"asked":2,"answered":3,"lost":4,"duplicates":5,"crossings":6,"crossed_while_room":7,"crossed_while_avoided":8,"forwarded_twice":9,"returned":10,"resumed":11,"unknown":12,"failed":13,"price":0.75}"#;
    assert_eq!(serde_json::to_string(&figures).unwrap(), expected);
}
