//! Tests of the affinity keys of request targets.

use super::*;

#[test]
fn affinity_key_is_the_last_path_segment_after_the_class() {
    let same = affinity_key_of(b"/cotizar/7f3a9c21e0b4d655");
    assert!(same.is_some() && same == affinity_key_of(b"/cotizar/x/7f3a9c21e0b4d655?again=1#part"));
    assert_eq!(same, affinity_key_of(b"/cesion/7f3a9c21e0b4d655"), "the key does not depend on the class");
    assert_ne!(same, affinity_key_of(b"/cotizar/7f3a9c21e0b4d65%35"), "the segment is not percent-decoded");
    let long = [b"/cotizar/".as_slice(), &[b'x'; 300]].concat();
    assert!(affinity_key_of(&long).is_some());
    for none in ["/cotizar", "/cotizar/", "/", "", "?", "cotizar"] {
        assert_eq!(affinity_key_of(none.as_bytes()), None, "{none}");
    }
}
