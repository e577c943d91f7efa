use super::*;

/// Scripts read the JSON keys of the last line: renaming a field must not change its key.
#[test]
fn last_line_keeps_its_json_keys() {
    let figures = OverheadFigures {
        measure: "gateway-price",
        seed: 1,
        ok: true,
        requests: 2,
        cpu_us_per_request_off: 0.5,
        cpu_us_per_request_idle: 0.25,
        cpu_increase: 1.5,
        core_increase: 2.5,
        p50_us_off: 3,
        p50_us_idle: 4,
        latency_increase: 3.5,
        forwarded: 5,
    };
    let expected = r#"{"measure":"gateway-price","seed":1,"ok":true,"jobs":2,"cpu_us_a_job_off":0.5,"cpu_us_a_job_idle":0.25,"cpu_more":1.5,"core_more":2.5,"p50_us_off":3,"p50_us_idle":4,"latency_more":3.5,"crossings":5}"#;
    assert_eq!(serde_json::to_string(&figures).unwrap(), expected);
}
