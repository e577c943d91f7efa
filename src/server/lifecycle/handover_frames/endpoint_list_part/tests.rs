use super::*;
use crate::config::endpoint_list::EndpointState;
use crate::server::discovery::list_version::ListPosition;

fn origin() -> ListOrigin {
    ListOrigin { position: ListPosition { version: 43, superseded: 7 }, discovery: None }
}

fn entry(name: String) -> EndpointEntry {
    EndpointEntry {
        name,
        address: Some("127.0.0.1:7070".parse().unwrap()),
        zone: "isb-1".to_owned(),
        kind: "fast-3".to_owned(),
        cell: Some(u16::MAX),
        state: EndpointState::Draining,
        started_at_s: 1.7e9,
        weight: 0.25,
    }
}

fn entries(count: usize) -> Vec<EndpointEntry> {
    (0..count).map(|number| entry(format!("s-{number:08x}"))).collect()
}

/// The largest fleet must not produce a frame that the other process rejects, as the learned state does.
#[test]
fn parts_are_bounded_and_join_to_the_whole_list() {
    for count in [0, 1, 700, 3200] {
        let parts = EndpointListPart::split(origin(), true, entries(count).into_iter());
        let mut assembler = EndpointListAssembler::default();
        let (last, others) = parts.split_last().unwrap();
        for part in others {
            assert!(postcard::to_allocvec(part).unwrap().len() <= MAX_PART_BYTES);
            assert_eq!(assembler.add(part.clone()), None);
        }
        let list = assembler.add(last.clone()).expect("the last part completes the list");
        assert_eq!((list.origin, list.update.version), (origin(), 43));
        assert!(list.update.complete_snapshot);
        assert_eq!(list.update.entries, entries(count));
        assert!(assembler.into_incomplete().is_none());
    }
}

#[test]
fn list_cut_off_removes_no_worker() {
    let parts = EndpointListPart::split(origin(), true, entries(3200).into_iter());
    let mut assembler = EndpointListAssembler::default();
    assert!(assembler.add(parts[0].clone()).is_none());
    let list = assembler.into_incomplete().expect("a part was received");
    assert!(!list.update.complete_snapshot);
    assert_eq!(list.update.entries, parts[0].entries);
}

#[test]
fn entry_larger_than_a_part_is_omitted_and_its_worker_not_removed() {
    let list = [entry("x".repeat(MAX_PART_BYTES)), entry("m1".to_owned())];
    let parts = EndpointListPart::split(origin(), true, list.into_iter());
    assert_eq!(parts.len(), 1);
    assert!(!parts[0].complete_snapshot);
    assert_eq!(parts[0].entries, [entry("m1".to_owned())]);
}
