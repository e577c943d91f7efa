//! Parses values with units: `"5ms"`, `"64KiB"`, `"25%"`. Numbers without a unit are rejected.

use std::time::Duration;

const KIB: f64 = 1024.0;
const MIB: f64 = 1024.0 * KIB;
const GIB: f64 = 1024.0 * MIB;
const MAX_BYTES: f64 = 4.0 * GIB;
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);

/// A number with a unit, which is not validated yet.
struct NumberWithUnit<'a> {
    number: f64,
    unit: &'a str,
}

impl<'a> NumberWithUnit<'a> {
    /// Splits a text such as `"5 ms"`. Returns `None` if it does not start with a number.
    fn parse(text: &'a str) -> Option<Self> {
        let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
        let (number, unit) = text.split_at(end);
        let number: f64 = number.parse().ok()?;
        number.is_finite().then_some(NumberWithUnit { number, unit: unit.trim_start() })
    }
}

/// Parses a duration such as `"5ms"`, `"1.5s"` or `"2min"`. Returns `None` without a unit, or for more than a day.
pub fn duration(text: &str) -> Option<Duration> {
    let NumberWithUnit { number, unit } = NumberWithUnit::parse(text)?;
    let seconds = match unit {
        "us" => number / 1e6,
        "ms" => number / 1e3,
        "s" => number,
        "min" => number * 60.0,
        "h" => number * 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(seconds).ok().filter(|duration| *duration <= MAX_DURATION)
}

/// Parses a size such as `"64KiB"`, `"1MiB"` or `"512B"`. Returns `None` without a unit, for a fraction of a byte, or for
/// more than 4 GiB.
pub(crate) fn bytes(text: &str) -> Option<usize> {
    let NumberWithUnit { number, unit } = NumberWithUnit::parse(text)?;
    let factor = match unit {
        "B" => 1.0,
        "KiB" => KIB,
        "MiB" => MIB,
        "GiB" => GIB,
        _ => return None,
    };
    let bytes = number * factor;
    (bytes.fract() == 0.0 && bytes <= MAX_BYTES).then_some(bytes as usize)
}

/// Parses a percentage such as `"25%"` as the fraction 0.25. Returns `None` without the percent sign, or for more than
/// 100%.
pub fn percentage(text: &str) -> Option<f64> {
    let NumberWithUnit { number, unit } = NumberWithUnit::parse(text)?;
    (unit == "%" && number <= 100.0).then_some(number / 100.0)
}

#[cfg(test)]
mod tests;
