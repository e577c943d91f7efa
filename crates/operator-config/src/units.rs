//! Values with their units written out: `"5ms"`, `"64KiB"`, `"25%"`. A number without a unit is rejected.

use std::time::Duration;

const KIB: f64 = 1024.0;
const MIB: f64 = 1024.0 * KIB;
const GIB: f64 = 1024.0 * MIB;
const MOST_BYTES: f64 = 4.0 * GIB;
const LONGEST: Duration = Duration::from_secs(24 * 3600);

/// A number and its unit.
struct Quantity<'a> {
    number: f64,
    unit: &'a str,
}

impl<'a> Quantity<'a> {
    /// Splits a text such as `"5 ms"`; `None` if it does not begin with a number.
    fn parse(text: &'a str) -> Option<Self> {
        let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
        let (number, unit) = text.split_at(end);
        let number: f64 = number.parse().ok()?;
        number.is_finite().then_some(Quantity { number, unit: unit.trim_start() })
    }
}

/// Reads `"5ms"`, `"1.5s"`, `"2min"`; `None` without a unit, or for more than a day.
pub fn duration(text: &str) -> Option<Duration> {
    let Quantity { number, unit } = Quantity::parse(text)?;
    let seconds = match unit {
        "us" => number / 1e6,
        "ms" => number / 1e3,
        "s" => number,
        "min" => number * 60.0,
        "h" => number * 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(seconds).ok().filter(|duration| *duration <= LONGEST)
}

/// Reads `"64KiB"`, `"1MiB"`, `"512B"`; `None` without a unit, for part of a byte, or for more than 4 GiB.
pub(crate) fn bytes(text: &str) -> Option<usize> {
    let Quantity { number, unit } = Quantity::parse(text)?;
    let factor = match unit {
        "B" => 1.0,
        "KiB" => KIB,
        "MiB" => MIB,
        "GiB" => GIB,
        _ => return None,
    };
    let bytes = number * factor;
    (bytes.fract() == 0.0 && bytes <= MOST_BYTES).then_some(bytes as usize)
}

/// Reads `"25%"` as the fraction 0.25; `None` without the sign, or for more than 100%.
pub fn percentage(text: &str) -> Option<f64> {
    let Quantity { number, unit } = Quantity::parse(text)?;
    (unit == "%" && number <= 100.0).then_some(number / 100.0)
}

#[cfg(test)]
mod tests;
