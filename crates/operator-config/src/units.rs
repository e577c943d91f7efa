//! Values with their units written out.

use std::time::Duration;

/// A number and the unit behind it.
fn split(text: &str) -> Option<(f64, &str)> {
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let number: f64 = number.parse().ok()?;
    number.is_finite().then_some((number, unit.trim_start()))
}

/// Reads `"5ms"`, `"1.5s"`, `"2min"`; `None` without a unit, or for more than a day.
pub fn duration(text: &str) -> Option<Duration> {
    let (number, unit) = split(text)?;
    let seconds = match unit {
        "us" => number / 1e6,
        "ms" => number / 1e3,
        "s" => number,
        "min" => number * 60.0,
        "h" => number * 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(seconds).ok().filter(|d| *d <= Duration::from_secs(24 * 3600))
}

/// `"64KiB"`, `"1MiB"`, `"512B"`.
pub(crate) fn bytes(text: &str) -> Option<usize> {
    let (number, unit) = split(text)?;
    let factor = match unit {
        "B" => 1.0,
        "KiB" => 1024.0,
        "MiB" => 1024.0 * 1024.0,
        "GiB" => 1024.0 * 1024.0 * 1024.0,
        _ => return None,
    };
    let bytes = number * factor;
    (bytes.fract() == 0.0 && bytes <= 4.0 * 1024.0 * 1024.0 * 1024.0).then_some(bytes as usize)
}

/// `"25%"`, as a fraction.
pub fn share(text: &str) -> Option<f64> {
    let (number, unit) = split(text)?;
    (unit == "%" && number <= 100.0).then_some(number / 100.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn units_are_read_and_their_absence_is_not_guessed() {
        assert_eq!(duration("5ms"), Some(Duration::from_millis(5)));
        assert_eq!(duration("1.5s"), Some(Duration::from_millis(1500)));
        assert_eq!(duration("2 min"), Some(Duration::from_secs(120)));
        assert_eq!(bytes("64KiB"), Some(65_536));
        assert_eq!(share("25%"), Some(0.25));
        for wrong in ["5", "ms", "", "-5ms", "5 m", "1e3s", "5ms5ms", "99h", "..s"] {
            assert_eq!(duration(wrong), None, "{wrong:?}");
        }
        for wrong in ["64", "64KB", "0.3B", "9999GiB"] {
            assert_eq!(bytes(wrong), None, "{wrong:?}");
        }
        for wrong in ["25", "101%", "0.25"] {
            assert_eq!(share(wrong), None, "{wrong:?}");
        }
    }
}
