//! What follows when a deployment's settings change while the process runs.

use super::keys;
use crate::scheduling::Settings;

/// The settings in force after a change.
#[derive(Debug)]
pub struct Reconfigured {
    /// The new settings, with the old numbers of classes, tenants, zones and kinds.
    pub settings: Settings,
    /// The keys of the lists from which the new settings dropped a name. It stays in use until a restart.
    pub lists_with_kept_names: Vec<&'static str>,
}

impl Settings {
    /// These settings followed by `new` ones while the process runs.
    ///
    /// Requests that are under way refer to classes, tenants, zones and kinds by number, so each name keeps its
    /// number, and new names are added at the end. A name that the new settings drop stays until a restart.
    pub fn reconfigured(&self, new: Settings) -> Reconfigured {
        let zone_name = new.zones.get(usize::from(new.zone)).cloned();
        let new_kinds = new.worker_kinds.clone();
        let mut lists_with_kept_names = Vec::new();
        let mut settings = Settings {
            classes: merge(
                &self.classes,
                new.classes,
                |class| &class.name,
                keys::CLASSES,
                &mut lists_with_kept_names,
            ),
            tenants: merge(
                &self.tenants,
                new.tenants,
                |tenant| &tenant.name,
                keys::TENANTS,
                &mut lists_with_kept_names,
            ),
            zones: merge(&self.zones, new.zones, |name| name, keys::ZONES, &mut lists_with_kept_names),
            worker_kinds: merge(
                &self.worker_kinds,
                new.worker_kinds,
                |name| name,
                keys::WORKER_KINDS,
                &mut lists_with_kept_names,
            ),
            ..new
        };
        let zone = zone_name.and_then(|name| position(&settings.zones, &name));
        settings.zone = zone.and_then(|zone| u16::try_from(zone).ok()).unwrap_or(settings.zone);
        for class in &mut settings.classes {
            let kind_name = class.required_kind.and_then(|kind| new_kinds.get(kind));
            let kind = kind_name.and_then(|name| position(&settings.worker_kinds, name));
            class.required_kind = kind.or(class.required_kind);
        }
        Reconfigured { settings, lists_with_kept_names }
    }
}

fn position(names: &[String], name: &String) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// The old items in their order, each replaced by the new one of its name, then the new names. Where the new list
/// lacks an old name, the old item stays and the list's key is added to `lists_with_kept_names`.
fn merge<T: Clone>(
    old: &[T],
    mut new: Vec<T>,
    name: impl Fn(&T) -> &String,
    list: &'static str,
    lists_with_kept_names: &mut Vec<&'static str>,
) -> Vec<T> {
    let mut merged = Vec::with_capacity(new.len());
    for item in old {
        if let Some(position) = new.iter().position(|other| name(other) == name(item)) {
            merged.push(new.remove(position));
            continue;
        }
        merged.push(item.clone());
        if !lists_with_kept_names.contains(&list) {
            lists_with_kept_names.push(list);
        }
    }
    merged.extend(new);
    merged
}
