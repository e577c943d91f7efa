//! Load reports as members write them: in a header, in a call-back, or as the body of an answer to a probe.

use simd_json::prelude::*;
use simd_json::tape::Value;

/// The values of a report by name. What is no figure is passed over.
pub type Report = Vec<(String, f64)>;

/// A report as a header writes it: `name=value,name=value`.
pub fn from_header(text: &str) -> Report {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs.filter_map(|(name, value)| Some((name.trim().to_owned(), value.trim().parse().ok()?))).collect()
}

/// A report as the object `load` of `value`; none where there is no such object.
pub fn from_load(value: &Value) -> Report {
    value.get("load").map(|load| figures(&load)).unwrap_or_default()
}

/// A report that is a body of its own: an object, one that holds it as `load`, or the form of the header.
pub fn from_body(mut body: Vec<u8>) -> Report {
    if !body.trim_ascii().starts_with(b"{") {
        return String::from_utf8(body).map(|text| from_header(&text)).unwrap_or_default();
    }
    let Ok(tape) = simd_json::to_tape(&mut body) else { return Report::new() };
    let value = tape.as_value();
    if value.get("load").is_some() {
        from_load(&value)
    } else {
        figures(&value)
    }
}

/// Not by `get_object`: simd-json 0.15 cuts its slice of the tape one node short and panics on the last.
fn figures(value: &Value) -> Report {
    let object = value.as_object();
    let pairs = object.iter().flat_map(|object| object.iter());
    pairs.filter_map(|(name, value)| Some((name.to_owned(), value.cast_f64()?))).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_body_is_read_in_each_form_and_nonsense_tells_nothing() {
        let two = vec![("x0".to_owned(), 2.0), ("x1".to_owned(), 1.5)];
        for body in
            ["x0=2,x1=1.5", " x0 = 2 , x1 = 1.5,", r#"{"x0":2,"x1":1.5}"#, r#"{"load":{"x0":2,"x1":1.5}}"#]
        {
            assert_eq!(from_body(body.into()), two, "{body}");
        }
        for body in ["", "{", "{\"load\":7}", "[1]", "x0", "\u{0}"] {
            assert!(from_body(body.into()).is_empty(), "{body}");
        }
    }
}
