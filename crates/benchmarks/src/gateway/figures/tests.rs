use super::*;

/// Scripts read the JSON keys of the last line: renaming a field must not change its key.
#[test]
fn last_line_keeps_its_json_keys() {
    let figures = GatewayFigures {
        measure: "gateway",
        seed: 1,
        ok: true,
        capacity_used_first: true,
        service_without_gateway: None,
        service_with_gateway: 0.5,
        peer_service_without_gateway: None,
        peer_service_with_gateway: 0.25,
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
        forwarding_cost: 0.75,
    };
    let expected = r#"{"measure":"gateway","seed":1,"ok":true,"room_kept":true,"service_alone":null,"service_gateway":0.5,"service_alone_other":null,"service_gateway_other":0.25,"asked":2,"answered":3,"lost":4,"duplicates":5,"crossings":6,"crossed_while_room":7,"crossed_while_avoided":8,"forwarded_twice":9,"returned":10,"resumed":11,"unknown":12,"failed":13,"price":0.75}"#;
    assert_eq!(serde_json::to_string(&figures).unwrap(), expected);
}
