//! Names in the settings, and how names from elsewhere are compared with them.
//!
//! In the settings a name has `_` in place of each space, comma and line break, because the format of the settings
//! separates values by these. The endpoint list, paths, headers and load reports may have the name in either form. All
//! comparisons with a configured name are made here.

use std::borrow::Cow;
use std::cmp::Ordering;

use crate::scheduling::{RequestClass, Settings};

/// Characters that are replaced in the settings.
const REPLACED: [char; 3] = [' ', ',', '\n'];

/// The form that a name has in the settings.
pub fn settings_form(name: &str) -> Cow<'_, str> {
    if name.contains(REPLACED) {
        return Cow::Owned(name.replace(REPLACED, "_"));
    }
    Cow::Borrowed(name)
}

/// Position of a name, in either form, in a list of configured names. `None` for an empty name.
pub fn position(configured: &[String], name: &str) -> Option<usize> {
    let wanted = settings_form(name);
    configured.iter().position(|known| !known.is_empty() && *known == wanted)
}

/// Index of the request class with this name, in either form.
///
/// If two configured names have the same form, it cannot be told which class is meant. The result is then the class
/// that allows the fewest repetitions.
pub fn find_class(settings: &Settings, name: &str) -> Option<usize> {
    let wanted = settings_form(name);
    let is_named = |class: &RequestClass| !class.name.is_empty() && class.name == wanted;
    let named = settings.classes.iter().enumerate().filter(|(_, class)| is_named(class));
    named.min_by(|(_, first), (_, second)| compare_repetitions(first, second)).map(|(index, _)| index)
}

/// Index of the tenant with this name, in either form.
pub fn find_tenant(settings: &Settings, name: &str) -> Option<usize> {
    let wanted = settings_form(name);
    settings.tenants.iter().position(|tenant| !tenant.name.is_empty() && tenant.name == wanted)
}

/// Orders two classes by how often, where and for how long their requests may be repeated.
fn compare_repetitions(first: &RequestClass, second: &RequestClass) -> Ordering {
    let restrictions = |class: &RequestClass| (class.idempotency, class.deduplication_scope);
    let window_order = first.deduplication_window_s.total_cmp(&second.deduplication_window_s);
    restrictions(second).cmp(&restrictions(first)).then(window_order)
}

#[cfg(test)]
mod tests;
