//! Tests of the formats of a load report.

use super::*;

#[test]
fn body_is_parsed_in_each_format_and_invalid_input_gives_an_empty_report() {
    let expected = vec![("x0".to_owned(), 2.0), ("x1".to_owned(), 1.5)];
    for body in
        ["x0=2,x1=1.5", " x0 = 2 , x1 = 1.5,", r#"{"x0":2,"x1":1.5}"#, r#"{"load":{"x0":2,"x1":1.5}}"#]
    {
        assert_eq!(from_body(body.into()), expected, "{body}");
    }
    for body in ["", "{", "{\"load\":7}", "[1]", "x0", "\u{0}"] {
        assert!(from_body(body.into()).is_empty(), "{body}");
    }
}
