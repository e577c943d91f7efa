use super::*;

fn command(parent: u64, number: u64, change: Change) -> Command {
    Command { name: "rules".into(), parent, change, proposal: Proposal { member: MemberId(1), number } }
}

fn put(parent: u64, number: u64, body: &str) -> Command {
    command(parent, number, Change::Put(body.into()))
}

#[test]
fn rejects_changes_based_on_an_old_version() {
    let mut value = Value::default();
    assert_eq!(value.apply(&put(0, 1, "a")), Ok(1));
    assert_eq!(value.apply(&put(0, 2, "b")), Err(Rejection::Conflict(1)));
    assert_eq!(value.apply(&put(1, 3, "b")), Ok(2));
    assert_eq!(value.apply(&put(0, 1, "a")), Ok(1), "an applied proposal is not applied again");
    assert_eq!(value.apply(&command(2, 4, Change::RollBack(1))), Ok(3));
    let newest = value.newest("rules").unwrap();
    assert_eq!((newest.body.as_str(), newest.digest), ("a", Digest::of("a")));
}

#[test]
fn rejects_invalid_voter_changes_and_applies_each_once() {
    let mut value = Value::initial((0..3).map(MemberId));
    let change_voters = |parent, number, add: Option<u16>, remove: Option<u16>| {
        command(
            parent,
            number,
            Change::Voters {
                add: add.map(|n| NewVoter { member: MemberId(n), disk_key: 7 }),
                remove: remove.map(MemberId),
            },
        )
    };
    assert_eq!(value.apply(&change_voters(0, 1, Some(5), Some(1))), Ok(1));
    assert_eq!(
        value.apply(&change_voters(0, 1, Some(5), Some(1))),
        Ok(1),
        "an applied proposal is not applied again"
    );
    assert_eq!(value.apply(&change_voters(0, 2, Some(6), None)), Err(Rejection::Conflict(1)));
    for invalid in [
        change_voters(1, 3, Some(5), None),
        change_voters(1, 3, None, Some(1)),
        change_voters(1, 3, None, None),
    ] {
        assert!(matches!(value.apply(&invalid), Err(Rejection::InvalidElectorate(_))), "{invalid:?}");
    }
    let voters: Vec<_> = value.electorate.voters.iter().map(|(id, key)| (id.0, *key)).collect();
    assert_eq!((voters, value.electorate.majority()), (vec![(0, 0), (2, 0), (5, 7)], 2));
}

#[test]
fn limits_versions_documents_and_body_size() {
    let mut value = Value::default();
    for version in 0..40 {
        value.apply(&put(version, version, &version.to_string())).unwrap();
    }
    assert_eq!(value.history("rules").len(), MAX_VERSIONS);
    assert_eq!(value.apply(&command(40, 99, Change::RollBack(3))), Err(Rejection::VersionNotRetained(3)));
    let oversized = "x".repeat(MAX_BODY_BYTES + 1);
    assert!(matches!(value.apply(&put(40, 99, &oversized)), Err(Rejection::LimitExceeded(_))));
    for n in 1..MAX_DOCUMENTS {
        value.apply(&Command { name: n.to_string(), ..put(0, 100 + n as u64, "") }).unwrap();
    }
    let excess = Command { name: "more".into(), ..put(0, 999, "") };
    assert!(matches!(value.apply(&excess), Err(Rejection::LimitExceeded(_))));
}
