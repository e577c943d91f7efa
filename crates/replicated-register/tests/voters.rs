//! Changes of the electorate with exact message interleavings that randomised tests rarely hit.

use std::time::Duration;

use chutesaddle_replicated_register::{
    Change, Config, Decision, MemberId, Message, NewVoter, Output, ProposedChange, Value, Voter, VoterStage,
};

/// Members 0, 1 and 2, which vote, and member 3, which does not vote yet, on a simulated network.
struct Cluster {
    voters: Vec<Voter>,
    now: Duration,
    decisions: Vec<(usize, Decision)>,
    in_flight: Vec<(usize, usize, Message)>,
}

/// Creates a voter with an empty disk.
fn voter(member: u16, incarnation: u64) -> Voter {
    let config = Config {
        voters: (0..3).map(MemberId).collect(),
        retry_interval: Duration::from_millis(100),
        timeout: Duration::from_secs(5),
        validity_period: Duration::from_secs(1),
        clock_drift: 0.01,
    };
    Voter::new(config, MemberId(member), None, 10 * incarnation + u64::from(member))
}

impl Cluster {
    /// Returns a cluster whose initial voters are active.
    fn established() -> Self {
        let voters = (0..4).map(|member| voter(member, 1)).collect();
        let mut cluster =
            Cluster { voters, now: Duration::ZERO, decisions: Vec::new(), in_flight: Vec::new() };
        cluster.run(1, |_, _, _| true);
        assert!((0..3).all(|member| cluster.voters[member].stage() == VoterStage::Active));
        cluster
    }

    fn collect_outputs(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => self.in_flight.push((from, usize::from(to.0), message)),
                Output::Decided(_, decision) => self.decisions.push((from, decision)),
                Output::Persist(_) => {}
            }
        }
    }

    fn with_voter(&mut self, member: usize, act: impl FnOnce(&mut Voter, Duration, &mut Vec<Output>)) {
        let mut out = Vec::new();
        act(&mut self.voters[member], self.now, &mut out);
        self.collect_outputs(member, out);
    }

    /// Runs for `seconds`. Delivers messages without delay if `is_delivered` returns true, and drops the others.
    fn run(&mut self, seconds: u64, is_delivered: impl Fn(usize, usize, &Message) -> bool) {
        for _ in 0..seconds * 50 {
            self.now += Duration::from_millis(20);
            (0..self.voters.len())
                .for_each(|member| self.with_voter(member, |voter, now, out| voter.tick(now, out)));
            while !self.in_flight.is_empty() {
                let (from, to, message) = self.in_flight.remove(0);
                if is_delivered(from, to, &message) {
                    self.with_voter(to, |voter, now, out| {
                        voter.receive(now, MemberId(from as u16), message, out)
                    });
                }
            }
        }
    }

    fn propose(&mut self, member: usize, name: &str, parent: u64, change: Change) {
        let proposed = ProposedChange { number: 1, name: name.to_owned(), parent, change };
        self.with_voter(member, |voter, now, out| voter.propose(now, proposed, out));
    }

    fn join(&mut self, member: usize) -> u64 {
        let mut key = None;
        self.with_voter(member, |voter, _, out| key = voter.join(out));
        key.expect("the member must not vote yet")
    }
}

/// Guards against a change that is committed by the voters of an old epoch. Voter 0 commits a new electorate and is cut
/// off before anyone learns of it; voter 1 then proposes a change to the old voters, and one of those has accepted the
/// new electorate.
#[test]
fn change_found_during_an_epoch_change_is_made_by_the_new_voters() {
    let mut cluster = Cluster::established();
    let key = cluster.join(3);
    cluster.propose(
        0,
        "",
        0,
        Change::Voters {
            add: Some(NewVoter { member: MemberId(3), disk_key: key }),
            remove: Some(MemberId(2)),
        },
    );
    // 0 and 1 accept the new electorate. 0 learns that it is chosen, but its announcements are lost.
    cluster.run(1, |_, to, message| to == 1 && !matches!(message, Message::Chosen(_)) || to == 0);
    assert_eq!(cluster.decisions, [(0, Decision::Committed(1))]);
    assert_eq!(cluster.voters[1].electorate().epoch, 0);
    // 1 knows only the old voters. 0 is cut off, but 1 and 2 are a majority of the old voters.
    cluster.propose(1, "rules", 0, Change::Put("quota \"acme\" 4".to_owned()));
    let saw_change = std::cell::Cell::new(false);
    cluster.run(2, |from, to, message| {
        if let Message::Accept(ballot, value) = message {
            let documents = value.newest_documents().count();
            assert!(ballot.epoch == 1 || documents == 0, "the change is proposed to the old voters");
            saw_change.set(saw_change.get() || documents == 1);
        }
        from != 0 && to != 0
    });
    assert!(
        saw_change.get() && cluster.decisions[1..] == [(1, Decision::Committed(1))],
        "{:?}",
        cluster.decisions
    );
    assert_eq!(cluster.voters[3].stage(), VoterStage::Active);
}

/// Guards against a member that votes after losing its disk, and with it its promises: only the disk whose key is in
/// the electorate may vote.
#[test]
fn member_votes_only_with_the_disk_that_joined() {
    let mut cluster = Cluster::established();
    let key = cluster.join(3);
    assert_eq!(
        cluster.join(3),
        key,
        "repeated calls must return the same key: a change that contains it may be in progress"
    );
    cluster.propose(
        0,
        "",
        0,
        Change::Voters { add: Some(NewVoter { member: MemberId(3), disk_key: key }), remove: None },
    );
    // Member 3 loses its disk before it learns that it was added.
    cluster.run(1, |_, to, _| to != 3);
    assert_eq!(cluster.decisions, [(0, Decision::Committed(1))]);
    cluster.voters[3] = voter(3, 2);
    let new_key = cluster.join(3);
    assert_ne!(new_key, key);
    // With 2 cut off, only two of the four voters can vote, and three are required.
    cluster.propose(0, "rules", 0, Change::Put(String::new()));
    cluster.run(6, |from, to, _| from != 2 && to != 2);
    assert_eq!(cluster.voters[3].stage(), VoterStage::Joining);
    assert_eq!(cluster.decisions[1..], [(0, Decision::Unknown)]);
    // A member with an empty disk that does not join again is not mistaken for one that starts for the first time.
    cluster.voters[3] = voter(3, 3);
    cluster.propose(0, "rules", 0, Change::Put(String::new()));
    cluster.run(1, |_, _, _| true);
    assert_eq!(cluster.voters[3].stage(), VoterStage::Lost);
    assert_eq!(
        cluster.decisions.last(),
        Some(&(0, Decision::Committed(1))),
        "member 2 must be reachable again"
    );
    // It votes again after its old disk is replaced by the new one.
    let new_key = cluster.join(3);
    cluster.propose(
        1,
        "",
        1,
        Change::Voters {
            add: Some(NewVoter { member: MemberId(3), disk_key: new_key }),
            remove: Some(MemberId(3)),
        },
    );
    cluster.run(1, |_, _, _| true);
    assert_eq!(
        (cluster.voters[3].stage(), cluster.decisions.last()),
        (VoterStage::Active, Some(&(1, Decision::Committed(2))))
    );
}

#[test]
fn replaced_voter_redirects_learners_to_the_current_voters() {
    let mut cluster = Cluster::established();
    let key = cluster.join(3);
    cluster.propose(
        1,
        "",
        0,
        Change::Voters {
            add: Some(NewVoter { member: MemberId(3), disk_key: key }),
            remove: Some(MemberId(0)),
        },
    );
    cluster.run(1, |_, _, _| true);
    let mut out = Vec::new();
    cluster.voters[0].receive(cluster.now, MemberId(9), Message::ConfirmationRequest(1, None), &mut out);
    let current_voters: Vec<_> = [1, 2, 3].map(MemberId).into();
    assert_eq!(out, [Output::Send(MemberId(9), Message::Redirect(current_voters))]);
    let empty = Value::initial([]).electorate;
    assert_eq!((empty.voters.len(), empty.majority()), (0, 1), "an empty electorate must have no majority");
}
