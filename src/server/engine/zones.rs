//! Numbers the zones of the endpoint list for the dispatcher, which compares zones by number.
//!
//! A zone of the settings has its index there. Any other zone that the list names gets a number of its own, so that two
//! zones have the same number only if they certainly are the same.

use std::collections::HashMap;

use crate::config::names;
use crate::scheduling::{Settings, WorkerInfo};

/// The numbers of all zones named so far. A number is never given to a second name.
#[derive(Default)]
pub(super) struct ZoneNumbers {
    /// Numbers by the name in the endpoint list, as it is spelled there.
    by_name: HashMap<String, u16>,
    /// How many numbers were given to zones that are not in the settings.
    unlisted: u16,
}

impl ZoneNumbers {
    /// The number of the zone with this name.
    ///
    /// Two spellings of one configured name may be two zones, so only the first one gets the index of the configured
    /// zone. A worker without a zone is in an unknown one, unless the deployment has no zones.
    pub(super) fn number(&mut self, settings: &Settings, name: &str) -> u16 {
        if name.is_empty() && !settings.zones.is_empty() {
            return WorkerInfo::UNKNOWN_ZONE;
        }
        if let Some(&number) = self.by_name.get(name) {
            return number;
        }
        let number = match Self::configured_number(settings, name).filter(|number| !self.is_taken(*number)) {
            Some(configured) => configured,
            None => self.next_unlisted(settings),
        };
        if number != WorkerInfo::UNKNOWN_ZONE {
            self.by_name.insert(name.to_owned(), number);
        }
        number
    }

    /// Forgets the numbers of zones that new settings have taken up, so that they get the index there when they are
    /// listed next.
    pub(super) fn settings_changed(&mut self, settings: &Settings) {
        self.by_name.retain(|name, number| {
            let is_unlisted = usize::from(*number) >= settings.zones.len();
            !is_unlisted || Self::configured_number(settings, name).is_none()
        });
    }

    fn configured_number(settings: &Settings, name: &str) -> Option<u16> {
        let zone = names::position(&settings.zones, name)?;
        u16::try_from(zone).ok()
    }

    fn is_taken(&self, number: u16) -> bool {
        self.by_name.values().any(|taken| *taken == number)
    }

    /// A number below all given so far and above those of the settings, or the unknown zone if none is left.
    fn next_unlisted(&mut self, settings: &Settings) -> u16 {
        let number = WorkerInfo::UNKNOWN_ZONE - 1 - self.unlisted;
        if usize::from(number) <= settings.zones.len() {
            return WorkerInfo::UNKNOWN_ZONE;
        }
        self.unlisted += 1;
        number
    }
}

#[cfg(test)]
mod tests;
