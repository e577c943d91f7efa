use super::*;

fn settings(zones: &[&str]) -> Settings {
    Settings { zones: zones.iter().map(|zone| (*zone).to_owned()).collect(), ..Settings::default() }
}

#[test]
fn configured_zone_has_its_index_however_it_is_spelled() {
    let settings = settings(&["Old_Town", "New_Town"]);
    for spelling in ["New Town", "New_Town"] {
        assert_eq!(ZoneNumbers::default().number(&settings, spelling), 1, "{spelling}");
    }
}

#[test]
fn different_names_never_have_the_same_number() {
    let mut settings = settings(&["Old_Town"]);
    let mut zones = ZoneNumbers::default();
    let names = ["Old Town", "Old_Town", "North", "South"];
    let before: Vec<u16> = names.iter().map(|name| zones.number(&settings, name)).collect();
    assert_eq!(before[0], settings.zone, "the first spelling has the index of the zone");
    assert!((1..4).all(|index| !before[..index].contains(&before[index])), "{before:?}");
    assert!(names.iter().zip(&before).all(|(name, number)| zones.number(&settings, name) == *number));
    // A worker that was listed before a reload keeps its number until it is listed again.
    settings.zones.push("North".to_owned());
    zones.settings_changed(&settings);
    assert_eq!(zones.number(&settings, "North"), 1);
    let added = zones.number(&settings, "East");
    assert!(added != 1 && !before.contains(&added), "{before:?}, {added}");
    assert_eq!(zones.number(&settings, "South"), before[3]);
}

#[test]
fn worker_without_a_zone_is_in_an_unknown_one_unless_there_are_no_zones() {
    let mut zones = ZoneNumbers::default();
    assert_eq!(zones.number(&settings(&["Old_Town"]), ""), WorkerInfo::UNKNOWN_ZONE);
    let only = zones.number(&settings(&[]), "");
    assert!(only != WorkerInfo::UNKNOWN_ZONE && only == zones.number(&settings(&[]), ""));
}

#[test]
fn zones_beyond_the_last_number_are_unknown() {
    let settings = settings(&["Old_Town"]);
    let mut zones = ZoneNumbers { unlisted: u16::MAX - 3, ..ZoneNumbers::default() };
    assert_eq!(zones.number(&settings, "North"), 2);
    assert_eq!(zones.number(&settings, "South"), WorkerInfo::UNKNOWN_ZONE);
}
