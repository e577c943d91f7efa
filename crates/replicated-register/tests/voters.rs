//! Changes of the voters, message by message, where chance would seldom bring the moment about.

use std::time::Duration;

use chutesaddle_replicated_register::{
    Change, Config, Decision, MemberId, Message, NewVoter, Output, ProposedChange, Value, Voter, VoterStage,
};

/// Voters 0, 1 and 2, and 3 that does not vote yet.
struct Net {
    voters: Vec<Voter>,
    now: Duration,
    decisions: Vec<(usize, Decision)>,
    sent: Vec<(usize, usize, Message)>,
}

/// A voter with nothing on its disk, in that incarnation of its process.
fn voter(member: u16, incarnation: u64) -> Voter {
    let config = Config {
        voters: (0..3).map(MemberId).collect(),
        retry: Duration::from_millis(100),
        timeout: Duration::from_secs(5),
        term: Duration::from_secs(1),
        clock_drift: 0.01,
    };
    Voter::new(config, MemberId(member), None, 10 * incarnation + u64::from(member))
}

impl Net {
    fn established() -> Self {
        let voters = (0..4).map(|member| voter(member, 1)).collect();
        let mut net = Net { voters, now: Duration::ZERO, decisions: Vec::new(), sent: Vec::new() };
        net.run(1, |_, _, _| true);
        assert!((0..3).all(|member| net.voters[member].stage() == VoterStage::Active));
        net
    }

    fn take(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => self.sent.push((from, usize::from(to.0), message)),
                Output::Decided(_, decision) => self.decisions.push((from, decision)),
                Output::Persist(_) => {}
            }
        }
    }

    fn at(&mut self, member: usize, act: impl FnOnce(&mut Voter, Duration, &mut Vec<Output>)) {
        let mut out = Vec::new();
        act(&mut self.voters[member], self.now, &mut out);
        self.take(member, out);
    }

    /// Delivers what is let through, at once, for so many seconds.
    fn run(&mut self, seconds: u64, passes: impl Fn(usize, usize, &Message) -> bool) {
        for _ in 0..seconds * 50 {
            self.now += Duration::from_millis(20);
            (0..self.voters.len()).for_each(|member| self.at(member, |voter, now, out| voter.tick(now, out)));
            while !self.sent.is_empty() {
                let (from, to, message) = self.sent.remove(0);
                if passes(from, to, &message) {
                    self.at(to, |voter, now, out| voter.receive(now, MemberId(from as u16), message, out));
                }
            }
        }
    }

    fn propose(&mut self, member: usize, name: &str, parent: u64, change: Change) {
        let proposed = ProposedChange { number: 1, name: name.to_owned(), parent, change };
        self.at(member, |voter, now, out| voter.propose(now, proposed, out));
    }

    fn join(&mut self, member: usize) -> u64 {
        let mut key = None;
        self.at(member, |voter, _, out| key = voter.join(out));
        key.expect("it does not vote yet")
    }
}

#[test]
fn a_change_found_under_a_new_epoch_is_made_by_its_voters() {
    let mut net = Net::established();
    let key = net.join(3);
    net.propose(
        0,
        "",
        0,
        Change::Voters {
            add: Some(NewVoter { member: MemberId(3), disk_key: key }),
            remove: Some(MemberId(2)),
        },
    );
    // 0 and 1 accept it; nobody hears that it is chosen, and 0 is cut off.
    net.run(1, |_, to, message| to == 1 && !matches!(message, Message::Chosen(_)) || to == 0);
    assert_eq!(net.decisions, [(0, Decision::Committed(1))]);
    assert_eq!(net.voters[1].electorate().epoch, 0);
    // 1 knows the old voters only, and a majority of them answers.
    net.propose(1, "rules", 0, Change::Put("quota \"acme\" 4".to_owned()));
    let changed = std::cell::Cell::new(false);
    net.run(2, |from, to, message| {
        if let Message::Accept(ballot, value) = message {
            let documents = value.all().count();
            assert!(ballot.epoch == 1 || documents == 0, "the change is made among voters that are no more");
            changed.set(changed.get() || documents == 1);
        }
        from != 0 && to != 0
    });
    assert!(changed.get() && net.decisions[1..] == [(1, Decision::Committed(1))], "{:?}", net.decisions);
    assert_eq!(net.voters[3].stage(), VoterStage::Active);
}

#[test]
fn only_the_disk_that_joined_votes_for_its_member() {
    let mut net = Net::established();
    let key = net.join(3);
    assert_eq!(net.join(3), key, "asked again it is the same, as the change may be on its way");
    net.propose(
        0,
        "",
        0,
        Change::Voters { add: Some(NewVoter { member: MemberId(3), disk_key: key }), remove: None },
    );
    // Its disk is lost before it hears of it.
    net.run(1, |_, to, _| to != 3);
    assert_eq!(net.decisions, [(0, Decision::Committed(1))]);
    net.voters[3] = voter(3, 2);
    let other = net.join(3);
    assert_ne!(other, key);
    // With 2 cut off, three of the four are needed and only two can vote.
    net.propose(0, "rules", 0, Change::Put(String::new()));
    net.run(6, |from, to, _| from != 2 && to != 2);
    assert_eq!(net.voters[3].stage(), VoterStage::Joining);
    assert_eq!(net.decisions[1..], [(0, Decision::Unknown)]);
    // One that finds nothing on its disk and joins no more is told from one that begins.
    net.voters[3] = voter(3, 3);
    net.propose(0, "rules", 0, Change::Put(String::new()));
    net.run(1, |_, _, _| true);
    assert_eq!(net.voters[3].stage(), VoterStage::Lost);
    assert_eq!(net.decisions.last(), Some(&(0, Decision::Committed(1))), "2 is back");
    // Replaced by its own new disk it votes again.
    let new = net.join(3);
    net.propose(
        1,
        "",
        1,
        Change::Voters {
            add: Some(NewVoter { member: MemberId(3), disk_key: new }),
            remove: Some(MemberId(3)),
        },
    );
    net.run(1, |_, _, _| true);
    assert_eq!(
        (net.voters[3].stage(), net.decisions.last()),
        (VoterStage::Active, Some(&(1, Decision::Committed(2))))
    );
}

#[test]
fn a_replaced_voter_redirects_to_the_present_voters() {
    let mut net = Net::established();
    let key = net.join(3);
    net.propose(
        1,
        "",
        0,
        Change::Voters {
            add: Some(NewVoter { member: MemberId(3), disk_key: key }),
            remove: Some(MemberId(0)),
        },
    );
    net.run(1, |_, _, _| true);
    let mut out = Vec::new();
    net.voters[0].receive(net.now, MemberId(9), Message::ConfirmationRequest(1, None), &mut out);
    let named: Vec<_> = [1, 2, 3].map(MemberId).into();
    assert_eq!(out, [Output::Send(MemberId(9), Message::Redirect(named))]);
    let none = Value::initial([]).electorate;
    assert_eq!((none.voters.len(), none.majority()), (0, 1), "of nobody there is no majority");
}
