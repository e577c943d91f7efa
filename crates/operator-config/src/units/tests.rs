use super::*;

#[test]
fn parses_values_with_units_and_rejects_all_others() {
    assert_eq!(duration("5ms"), Some(Duration::from_millis(5)));
    assert_eq!(duration("1.5s"), Some(Duration::from_millis(1500)));
    assert_eq!(duration("2 min"), Some(Duration::from_secs(120)));
    assert_eq!(bytes("64KiB"), Some(65_536));
    assert_eq!(percentage("25%"), Some(0.25));
    for invalid in ["5", "ms", "", "-5ms", "5 m", "1e3s", "5ms5ms", "99h", "..s"] {
        assert_eq!(duration(invalid), None, "{invalid:?}");
    }
    for invalid in ["64", "64KB", "0.3B", "9999GiB"] {
        assert_eq!(bytes(invalid), None, "{invalid:?}");
    }
    for invalid in ["25", "101%", "0.25"] {
        assert_eq!(percentage(invalid), None, "{invalid:?}");
    }
}
