//! Changes of the voters, message by message, where chance would seldom bring the moment about.

use std::time::Duration;

use chutesaddle_replicated_register::{
    Change, Config, MemberId, Message, Output, Stage, Value, Verdict, Voter,
};

/// Voters 0, 1 and 2, and 3 that does not vote yet.
struct Net {
    voters: Vec<Voter>,
    now: Duration,
    verdicts: Vec<(usize, Verdict)>,
    sent: Vec<(usize, usize, Message)>,
}

/// A voter with nothing on its disk, in that life of its process.
fn voter(member: u16, life: u64) -> Voter {
    let config = Config {
        voters: (0..3).map(MemberId).collect(),
        retry: Duration::from_millis(100),
        patience: Duration::from_secs(5),
        term: Duration::from_secs(1),
        drift: 0.01,
    };
    Voter::new(config, MemberId(member), None, 10 * life + u64::from(member))
}

impl Net {
    fn founded() -> Self {
        let voters = (0..4).map(|member| voter(member, 1)).collect();
        let mut net = Net { voters, now: Duration::ZERO, verdicts: Vec::new(), sent: Vec::new() };
        net.run(1, |_, _, _| true);
        assert!((0..3).all(|member| net.voters[member].stage() == Stage::Active));
        net
    }

    fn take(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(to, message) => self.sent.push((from, usize::from(to.0), message)),
                Output::Verdict(_, verdict) => self.verdicts.push((from, verdict)),
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
    fn run(&mut self, seconds: u64, lets: impl Fn(usize, usize, &Message) -> bool) {
        for _ in 0..seconds * 50 {
            self.now += Duration::from_millis(20);
            (0..self.voters.len()).for_each(|member| self.at(member, |voter, now, out| voter.tick(now, out)));
            while !self.sent.is_empty() {
                let (from, to, message) = self.sent.remove(0);
                if lets(from, to, &message) {
                    self.at(to, |voter, now, out| voter.receive(now, MemberId(from as u16), message, out));
                }
            }
        }
    }

    fn propose(&mut self, member: usize, name: &str, parent: u64, change: Change) {
        self.at(member, |voter, now, out| voter.propose(now, 1, name.to_owned(), parent, change, out));
    }

    fn join(&mut self, member: usize) -> u64 {
        let mut key = None;
        self.at(member, |voter, _, out| key = voter.join(out));
        key.expect("it does not vote yet")
    }
}

#[test]
fn a_proposer_that_finds_other_voters_chosen_makes_its_change_among_those() {
    let mut net = Net::founded();
    let key = net.join(3);
    net.propose(0, "", 0, Change::Voters { add: Some((MemberId(3), key)), remove: Some(MemberId(2)) });
    // 0 and 1 accept it; nobody hears that it is chosen, and 0 is cut off.
    net.run(1, |_, to, message| to == 1 && !matches!(message, Message::Chosen(..)) || to == 0);
    assert_eq!(net.verdicts, [(0, Verdict::Made(1))]);
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
    assert!(changed.get() && net.verdicts[1..] == [(1, Verdict::Made(1))], "{:?}", net.verdicts);
    assert_eq!(net.voters[3].stage(), Stage::Active);
}

#[test]
fn only_the_disk_that_joined_votes_for_a_member() {
    let mut net = Net::founded();
    let key = net.join(3);
    assert_eq!(net.join(3), key, "asked again it is the same, as the change may be on its way");
    net.propose(0, "", 0, Change::Voters { add: Some((MemberId(3), key)), remove: None });
    // Its disk is lost before it hears of it.
    net.run(1, |_, to, _| to != 3);
    assert_eq!(net.verdicts, [(0, Verdict::Made(1))]);
    net.voters[3] = voter(3, 2);
    let other = net.join(3);
    assert_ne!(other, key);
    // With 2 cut off, three of the four are needed and only two can vote.
    net.propose(0, "rules", 0, Change::Put(String::new()));
    net.run(6, |from, to, _| from != 2 && to != 2);
    assert_eq!(net.voters[3].stage(), Stage::Joining);
    assert_eq!(net.verdicts[1..], [(0, Verdict::Unknown)]);
    // One that finds nothing on its disk and joins no more is told from one that begins.
    net.voters[3] = voter(3, 3);
    net.propose(0, "rules", 0, Change::Put(String::new()));
    net.run(1, |_, _, _| true);
    assert_eq!(net.voters[3].stage(), Stage::Lost);
    assert_eq!(net.verdicts.last(), Some(&(0, Verdict::Made(1))), "2 is back");
    // Replaced by its own new disk it votes again.
    let new = net.join(3);
    net.propose(1, "", 1, Change::Voters { add: Some((MemberId(3), new)), remove: Some(MemberId(3)) });
    net.run(1, |_, _, _| true);
    assert_eq!((net.voters[3].stage(), net.verdicts.last()), (Stage::Active, Some(&(1, Verdict::Made(2)))));
}

#[test]
fn who_votes_no_more_names_those_who_do() {
    let mut net = Net::founded();
    let key = net.join(3);
    net.propose(1, "", 0, Change::Voters { add: Some((MemberId(3), key)), remove: Some(MemberId(0)) });
    net.run(1, |_, _, _| true);
    let mut out = Vec::new();
    net.voters[0].receive(net.now, MemberId(9), Message::Ask(1, None), &mut out);
    let named: Vec<_> = [1, 2, 3].map(MemberId).into();
    assert_eq!(out, [Output::Send(MemberId(9), Message::Moved(named))]);
    let none = Value::founded([]).electorate;
    assert_eq!((none.voters.len(), none.majority()), (0, 1), "of nobody there is no majority");
}
