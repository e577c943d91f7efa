//! Changes of a deployment's settings while the process is running.

use super::keys;
use crate::scheduling::Settings;

/// Result of a change of the settings.
#[derive(Debug)]
pub struct ReconfiguredSettings {
    /// The new settings, in which classes, tenants, zones and kinds keep their previous indices.
    pub settings: Settings,
    /// Keys of the lists from which the new settings removed a name. The name is retained until a restart.
    pub lists_with_retained_names: Vec<&'static str>,
}

impl Settings {
    /// Replaces these settings with `new` ones while the process is running.
    ///
    /// Requests in flight refer to classes, tenants, zones and kinds by index. Therefore each name keeps its
    /// index, new names are appended, and removed names are retained until a restart.
    pub fn reconfigured(&self, new: Settings) -> ReconfiguredSettings {
        let zone_name = new.zones.get(usize::from(new.zone)).cloned();
        let new_kinds = new.worker_kinds.clone();
        let mut lists_with_retained_names = Vec::new();
        let mut settings = Settings {
            classes: merge(
                &self.classes,
                new.classes,
                |class| &class.name,
                keys::CLASSES,
                &mut lists_with_retained_names,
            ),
            tenants: merge(
                &self.tenants,
                new.tenants,
                |tenant| &tenant.name,
                keys::TENANTS,
                &mut lists_with_retained_names,
            ),
            zones: merge(&self.zones, new.zones, |name| name, keys::ZONES, &mut lists_with_retained_names),
            worker_kinds: merge(
                &self.worker_kinds,
                new.worker_kinds,
                |name| name,
                keys::WORKER_KINDS,
                &mut lists_with_retained_names,
            ),
            ..new
        };
        let zone = zone_name.and_then(|name| index_of(&settings.zones, &name));
        settings.zone = zone.and_then(|zone| u16::try_from(zone).ok()).unwrap_or(settings.zone);
        for class in &mut settings.classes {
            let kind_name = class.required_kind.and_then(|kind| new_kinds.get(kind));
            let kind = kind_name.and_then(|name| index_of(&settings.worker_kinds, name));
            class.required_kind = kind.or(class.required_kind);
        }
        ReconfiguredSettings { settings, lists_with_retained_names }
    }
}

fn index_of(names: &[String], name: &String) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// Merges two lists: the old items in their order, each replaced by the new item with the same name, followed by the
/// remaining new items. If the new list lacks an old name, the old item is retained and `list` is added to
/// `lists_with_retained_names`.
fn merge<T: Clone>(
    old: &[T],
    mut new: Vec<T>,
    name: impl Fn(&T) -> &String,
    list: &'static str,
    lists_with_retained_names: &mut Vec<&'static str>,
) -> Vec<T> {
    let mut merged = Vec::with_capacity(new.len());
    for item in old {
        if let Some(position) = new.iter().position(|other| name(other) == name(item)) {
            merged.push(new.remove(position));
            continue;
        }
        merged.push(item.clone());
        if !lists_with_retained_names.contains(&list) {
            lists_with_retained_names.push(list);
        }
    }
    merged.extend(new);
    merged
}
