use super::*;

/// Scripts read the last line: its keys keep their names, whatever the fields are called.
#[test]
fn last_line_keeps_its_printed_keys() {
    let figures = Figures {
        measure: "gateway-price",
        seed: 1,
        ok: true,
        requests: 2,
        cpu_us_a_request_off: 0.5,
        cpu_us_a_request_idle: 0.25,
        cpu_more: 1.5,
        core_more: 2.5,
        p50_us_off: 3,
        p50_us_idle: 4,
        latency_more: 3.5,
        forwarded: 5,
    };
    let expected = r#"{"measure":"gateway-price","seed":1,"ok":true,"jobs":2,"cpu_us_a_job_off":0.5,"cpu_us_a_job_idle":0.25,"cpu_more":1.5,"core_more":2.5,"p50_us_off":3,"p50_us_idle":4,"latency_more":3.5,"crossings":5}"#;
    assert_eq!(serde_json::to_string(&figures).unwrap(), expected);
}
