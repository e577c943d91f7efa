//! Which faults, when and for how long.

use std::fmt;
use std::time::Duration;

use chutesaddle_operator_config::reader::Reader;
use chutesaddle_operator_config::{duration, percentage, ConfigError, ConfigErrors};
use kdl::{KdlDocument, KdlNode, KdlValue};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// What a wire between two schedulers does to datagrams while it is rough.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rough {
    /// This share is lost.
    pub lost: f64,
    /// This share comes twice.
    pub doubled: f64,
    /// Each is late by up to this, one more than the other, so that they overtake each other.
    pub late: Duration,
}

/// What happens. Schedulers go by number, from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// SIGKILL; started anew afterwards.
    Kill(usize),
    /// SIGSTOP; SIGCONT afterwards.
    Stop(usize),
    /// Nothing that the first sends reaches the second; the other way is sound.
    Cut(usize, usize),
    /// These hear nothing of the others, nor the others of them.
    Split(Vec<usize>),
    /// The wires from and to this one are rough.
    Rough(usize, Rough),
}

impl What {
    /// Its word in a plan.
    pub fn name(&self) -> &'static str {
        match self {
            What::Kill(_) => "kill",
            What::Stop(_) => "stop",
            What::Cut(..) => "cut",
            What::Split(_) => "split",
            What::Rough(..) => "rough",
        }
    }
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Since the start of the traffic.
    pub at: Duration,
    /// How long.
    pub lasts: Duration,
    /// What.
    pub what: What,
}

impl Fault {
    /// When it is over.
    pub fn until(&self) -> Duration {
        self.at + self.lasts
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.what.name())?;
        match &self.what {
            What::Kill(node) | What::Stop(node) => write!(f, " {node}")?,
            What::Cut(from, to) => write!(f, " {from} {to}")?,
            What::Split(nodes) => nodes.iter().try_for_each(|node| write!(f, " {node}"))?,
            What::Rough(node, rough) => {
                let (lost, doubled) = (rough.lost * 100.0, rough.doubled * 100.0);
                let late = rough.late.as_millis();
                write!(f, " {node} lost=\"{lost:.0}%\" doubled=\"{doubled:.0}%\" late=\"{late}ms\"")?;
            }
        }
        write!(f, " at=\"{}ms\" for=\"{}ms\"", self.at.as_millis(), self.lasts.as_millis())
    }
}

/// Faults in the order of their times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan(pub Vec<Fault>);

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|fault| writeln!(f, "{fault}"))
    }
}

/// Of a plan by seed: the shortest and the longest fault, and the time without any at both ends.
const LASTS: (u64, u64) = (300, 2000);
const CALM: Duration = Duration::from_millis(500);

impl Plan {
    /// Up to two faults a second among `nodes` schedulers. One that is killed or halted is not again until that is
    /// over, and its wires are rough in one way at a time.
    pub fn draw(seed: u64, nodes: usize, length: Duration) -> Self {
        let mut draws = StdRng::seed_from_u64(seed);
        let mut faults: Vec<Fault> = Vec::new();
        let last = length.saturating_sub(CALM).as_millis() as u64;
        for _ in 0..2 * length.as_secs() {
            let lasts = draws.random_range(LASTS.0..LASTS.1);
            let first = CALM.as_millis() as u64;
            let Some(room) = last.checked_sub(lasts + first).filter(|room| *room > 0) else { continue };
            let (at, lasts) = (first + draws.random_range(0..room), Duration::from_millis(lasts));
            let (node, other) = (draws.random_range(0..nodes), draws.random_range(0..nodes));
            let what = match draws.random_range(0..7) {
                0 => What::Kill(node),
                1 => What::Stop(node),
                2 | 3 if node != other => What::Cut(node, other),
                4 => What::Split((0..nodes).filter(|n| *n == node || draws.random_bool(0.4)).collect()),
                _ => {
                    let late = Duration::from_millis(draws.random_range(0..400));
                    let (lost, doubled) = (draws.random_range(0.0..0.6), draws.random_range(0.0..0.5));
                    // As a plan writes it, so that what is printed plays the same.
                    let round = |share: f64| (share * 100.0).round() / 100.0;
                    What::Rough(node, Rough { lost: round(lost), doubled: round(doubled), late })
                }
            };
            let fault = Fault { at: Duration::from_millis(at), lasts, what };
            if faults.iter().all(|other| !collides(&fault, other)) {
                faults.push(fault);
            }
        }
        faults.sort_by_key(|fault| fault.at);
        Plan(faults)
    }

    /// Reads the text of a file; `name` is what mistakes call it. A line is a fault: its word, the schedulers that
    /// it is about, `at="2s"`, `for="500ms"`, and of `rough` also `lost="30%"`, `doubled="10%"`, `late="300ms"`.
    ///
    /// # Errors
    /// All mistakes, with their places.
    pub fn read(name: &str, text: &str, nodes: usize) -> Result<Self, ConfigErrors> {
        let document = KdlDocument::parse_v2(text).map_err(|error| {
            let found = error.diagnostics.iter();
            let mistake = |d: &kdl::KdlDiagnostic| {
                ConfigError::new(d.span, "well-formed KDL", d.message.clone().unwrap_or_default())
            };
            ConfigErrors::new(name, text, found.map(mistake).collect())
        })?;
        let mut reader = Reader::default();
        let mut faults: Vec<Fault> = Vec::new();
        for node in document.nodes() {
            let Some(fault) = fault(node, nodes, &mut reader) else { continue };
            if faults.iter().any(|other| collides(&fault, other)) {
                reader.error(node.span(), "one fault of this kind of a scheduler at a time", "another");
            }
            faults.push(fault);
        }
        faults.sort_by_key(|fault| fault.at);
        match reader.errors {
            errors if errors.is_empty() => Ok(Plan(faults)),
            errors => Err(ConfigErrors::new(name, text, errors)),
        }
    }

    /// The plans with one fault less.
    pub fn without(&self) -> impl Iterator<Item = Plan> + '_ {
        (0..self.0.len()).map(|left_out| {
            let kept = self.0.iter().enumerate().filter(|(n, _)| *n != left_out);
            Plan(kept.map(|(_, fault)| fault.clone()).collect())
        })
    }
}

/// Whether both are about the same process, or the same rough wires, at overlapping times.
fn collides(one: &Fault, other: &Fault) -> bool {
    let about = |fault: &Fault| match fault.what {
        What::Kill(node) | What::Stop(node) => Some((node, true)),
        What::Rough(node, _) => Some((node, false)),
        _ => None, // cuts add up
    };
    let overlap = one.at < other.until() && other.at < one.until();
    overlap && about(one).is_some() && about(one) == about(other)
}

fn fault(node: &KdlNode, nodes: usize, reader: &mut Reader) -> Option<Fault> {
    let mistakes = reader.errors.len();
    let name = node.name().value();
    let numbers = match name {
        "kill" | "stop" | "rough" => 1..=1,
        "cut" => 2..=2,
        "split" => 1..=nodes,
        _ => {
            reader.error(node.name().span(), "one of kill, stop, cut, split, rough", format!("{name:?}"));
            return None;
        }
    };
    let (mut about, mut at, mut lasts, mut rough) = (Vec::new(), None, None, Rough::default());
    for entry in node.entries() {
        let text = entry.value().as_string();
        let unknown = match entry.name().map(|name| name.value()) {
            None => {
                let number = entry.value().as_integer().and_then(|n| usize::try_from(n).ok());
                about.extend(number.filter(|n| *n < nodes));
                (number.is_none_or(|n| n >= nodes)).then(|| format!("a scheduler from 0 to {}", nodes - 1))
            }
            Some("at") => unread(&mut at, text.and_then(duration), "a time such as \"2s\""),
            Some("for") => unread(&mut lasts, text.and_then(duration), "a time such as \"500ms\""),
            Some("lost") if name == "rough" => {
                put(&mut rough.lost, text.and_then(percentage), "a share such as \"30%\"")
            }
            Some("doubled") if name == "rough" => {
                put(&mut rough.doubled, text.and_then(percentage), "a share such as \"30%\"")
            }
            Some("late") if name == "rough" => {
                put(&mut rough.late, text.and_then(duration), "a time such as \"300ms\"")
            }
            Some(_) => Some("one of at, for, and for rough also lost, doubled, late".to_owned()),
        };
        if let Some(expected) = unknown {
            reader.error(entry.span(), expected, plain(entry.value()));
        }
    }
    if let Some(children) = node.children() {
        reader.error(children.span(), "no block here", "one");
    }
    if !numbers.contains(&about.len()) && reader.errors.len() == mistakes {
        let expected = format!("from {} to {} schedulers", numbers.start(), numbers.end());
        reader.error(node.span(), expected, about.len().to_string());
    }
    for (missing, what) in [(at.is_none(), "at"), (lasts.is_none(), "for")] {
        if missing && reader.errors.len() == mistakes {
            reader.error(node.span(), format!("{what}=\"..\""), "none");
        }
    }
    let (at, lasts) = (at?, lasts?);
    let what = match (name, about.as_slice()) {
        ("kill", [node]) => What::Kill(*node),
        ("stop", [node]) => What::Stop(*node),
        ("cut", [from, to]) => What::Cut(*from, *to),
        ("rough", [node]) => What::Rough(*node, rough),
        ("split", [_, ..]) => What::Split(about),
        _ => return None, // a mistake that is noted above
    };
    Some(Fault { at, lasts, what })
}

fn plain(value: &KdlValue) -> String {
    value.to_string()
}

/// Puts what was read in its place; else says what was expected.
fn unread<T>(place: &mut Option<T>, read: Option<T>, expected: &str) -> Option<String> {
    let missing = read.is_none();
    *place = read.or(place.take());
    missing.then(|| expected.to_owned())
}

fn put<T>(place: &mut T, read: Option<T>, expected: &str) -> Option<String> {
    let Some(read) = read else { return Some(expected.to_owned()) };
    *place = read;
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_drawn_plan_is_written_and_read_back_the_same() {
        for seed in 0..200 {
            let length = Duration::from_secs(8);
            let plan = Plan::draw(seed, 4, length);
            assert_eq!(plan, Plan::draw(seed, 4, length), "by its seed alone");
            assert!(plan.0.iter().all(|fault| fault.until() + CALM <= length));
            let text = plan.to_string();
            let same = Plan::read("plan.kdl", &text, 4).unwrap_or_else(|error| panic!("{error}\n{text}"));
            assert_eq!(same.to_string(), text);
        }
        let kinds: std::collections::BTreeSet<_> = (0..200)
            .flat_map(|seed| Plan::draw(seed, 4, Duration::from_secs(8)).0)
            .map(|f| f.what.name())
            .collect();
        assert_eq!(kinds.len(), 5, "{kinds:?}");
    }

    #[test]
    fn each_mistake_is_named_with_its_place() {
        for (text, place, what) in [
            ("kill 4 at=\"1s\" for=\"1s\"", "1:6", "a scheduler from 0 to 3"),
            ("kill 1 at=\"1\" for=\"1s\"", "1:8", "a time such as"),
            ("kill 1 for=\"1s\"", "1:1", "at="),
            ("kill 1 2 at=\"1s\" for=\"1s\"", "1:1", "from 1 to 1 schedulers"),
            ("\nhurt 1 at=\"1s\" for=\"1s\"", "2:1", "one of kill"),
            ("cut 1 2 at=\"1s\" for=\"1s\" lost=\"3%\"", "1:26", "one of at, for"),
            ("rough 1 at=\"1s\" for=\"1s\" lost=3", "1:26", "a share"),
            ("kill 1 at=\"1s\" for=\"1s\"\nstop 1 at=\"1.5s\" for=\"1s\"", "2:1", "at a time"),
            ("kill 1 {", "1:8", "well-formed KDL"),
        ] {
            let error = Plan::read("p.kdl", text, 4).expect_err(text).to_string();
            assert!(error.contains(&format!("p.kdl:{place}")) && error.contains(what), "{text}: {error}");
        }
    }
}
