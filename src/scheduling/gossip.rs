//! What dispatchers that may send each other datagrams tell: how many slots each holds at which worker.
//!
//! Reports in answers tell of a worker when one of its jobs ends, and only those who sent that job. Between two
//! such reports the others' sends are guessed. A note names all that its sender holds, so any one of them may
//! be lost, late, doubled or overtaken: the newest counts, and one that is older than [`TERM`] counts no more.
//! A note is a hint. It moves what is thought of a worker's load, and nothing else: no worker is used, left out
//! or trusted because of one.

use bytes::{Buf, BufMut};

use crate::scheduling::random::chance;

/// The longest note, in bytes.
pub(crate) const MOST_BYTES: usize = 256;
/// A note is sent this often, in seconds: nine in a row may be lost before the sender counts as silent.
pub(crate) const EVERY: f64 = 0.05;
/// Without anything new to tell, one in so many is sent.
const QUIET: u32 = 4;
/// A note counts for this long, in seconds.
const TERM: f64 = 0.5;
/// The form of a note; others are passed over.
const FORM: u8 = 1;
const HEAD_BYTES: usize = 5;
const ENTRY_BYTES: usize = 3;

/// A worker in a note: the same for all dispatchers, whatever lists they have.
pub(crate) fn key(tag: u64) -> u16 {
    (chance(tag) * f64::from(u16::MAX)) as u16
}

/// Writes a note. `held` are the keys of workers and the slots held there; where they are too many the most held go.
fn write(now: f64, mut held: Vec<(u16, u8)>) -> Vec<u8> {
    held.sort_by_key(|&(key, slots)| (std::cmp::Reverse(slots), key));
    held.truncate((MOST_BYTES - HEAD_BYTES) / ENTRY_BYTES);
    let mut note = Vec::with_capacity(HEAD_BYTES + ENTRY_BYTES * held.len());
    note.put_u8(FORM);
    note.put_u32((now * 1e3) as u64 as u32);
    for (key, slots) in held {
        note.put_u16(key);
        note.put_u8(slots);
    }
    note
}

/// The sender's time in milliseconds, modulo 2^32, and what it holds.
type Read = (u32, Vec<(u16, u8)>);

fn read(mut note: &[u8]) -> Option<Read> {
    let sized = note.len() <= MOST_BYTES && note.len() >= HEAD_BYTES;
    if !sized || !(note.len() - HEAD_BYTES).is_multiple_of(ENTRY_BYTES) || note.get_u8() != FORM {
        return None;
    }
    let stamp = note.get_u32();
    let mut held = Vec::with_capacity(note.len() / ENTRY_BYTES);
    while note.has_remaining() {
        held.push((note.get_u16(), note.get_u8()));
    }
    Some((stamp, held))
}

/// Whether these bytes are a note.
pub(crate) fn is_note(bytes: &[u8]) -> bool {
    read(bytes).is_some()
}

/// What one dispatcher told last.
#[derive(Clone, Debug)]
struct Told {
    at: f64,
    stamp: u32,
    held: Vec<(u16, u8)>,
}

/// What the others told last, by their numbers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notes {
    told: Vec<Option<Told>>,
    /// What was told last from here, and how often there was nothing else to tell since.
    last: Vec<(u16, u8)>,
    quiet: u32,
}

impl Notes {
    /// The next note from here, if there is anything to tell or the others must hear that it lives.
    pub(crate) fn tell(&mut self, now: f64, held: Vec<(u16, u8)>) -> Option<Vec<u8>> {
        self.quiet = if held == self.last { self.quiet + 1 } else { 0 };
        self.last.clone_from(&held);
        self.quiet.is_multiple_of(QUIET).then(|| write(now, held))
    }

    /// Takes up a note of dispatcher `from` of `total`; what is none is passed over.
    pub(crate) fn hear(&mut self, now: f64, from: usize, total: usize, note: &[u8]) {
        let Some((stamp, held)) = read(note).filter(|_| from < total) else { return };
        self.told.resize(total, None);
        let told = &mut self.told[from];
        // Time goes on at the sender, also over a restart: what is not newer was overtaken.
        if told.as_ref().is_none_or(|t| stamp.wrapping_sub(t.stamp) as i32 > 0 || now - t.at > TERM) {
            *told = Some(Told { at: now, stamp, held });
        }
    }

    /// How many others have told lately.
    pub(crate) fn tellers(&self, now: f64) -> usize {
        self.told.iter().flatten().filter(|t| now - t.at <= TERM).count()
    }

    /// Slots that others say to hold at a worker, and how many of them have told lately.
    pub(crate) fn held(&self, now: f64, key: u16, run: f64) -> (f64, usize) {
        let fresh = self.told.iter().flatten().filter(|t| now - t.at <= TERM);
        fresh.fold((0.0, 0), |(slots, n), told| {
            let own = told.held.iter().find(|h| h.0 == key).map_or(0.0, |h| f64::from(h.1));
            (slots + own * (-(now - told.at) / run).exp(), n + 1)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_note_stays_within_its_bytes_and_names_the_fullest_workers() {
        let held = (0..300u16).map(|n| (n, (n % 7) as u8)).collect();
        let note = write(1.0, held);
        assert!(note.len() <= MOST_BYTES && is_note(&note));
        let (_, held) = read(&note).unwrap();
        assert!(held.len() > 80 && held[..42].iter().all(|h| h.1 == 6), "{held:?}");
    }

    #[test]
    fn the_newest_note_counts_until_its_term_is_over() {
        let mut notes = Notes::default();
        let held = |notes: &Notes, now| notes.held(now, 7, f64::INFINITY);
        notes.hear(10.0, 1, 3, &write(50.00, vec![(7, 2), (8, 1)]));
        notes.hear(10.1, 1, 3, &write(50.05, vec![(7, 1)]));
        notes.hear(10.2, 1, 3, &write(50.00, vec![(7, 2), (8, 1)])); // doubled, and overtaken
        assert_eq!(held(&notes, 10.3), (1.0, 1));
        notes.hear(10.3, 2, 3, &write(3.0, vec![(7, 4)])); // a clock of its own
        assert_eq!(held(&notes, 10.4), (5.0, 2));
        assert_eq!(held(&notes, 10.7), (4.0, 1), "the first one has fallen silent");
        assert_eq!(held(&notes, 11.0), (0.0, 0));
        notes.hear(11.0, 1, 3, &write(0.0, vec![(7, 1)])); // restarted, its clock set back
        assert_eq!(held(&notes, 11.0), (1.0, 1));
    }

    #[test]
    fn what_is_no_note_and_who_is_no_dispatcher_are_passed_over() {
        let mut notes = Notes::default();
        let sound = write(1.0, vec![(7, 2)]);
        let other_form = [&[9], &sound[1..]].concat();
        for bytes in [&[][..], &[0; 300], &sound[..7], &other_form] {
            assert!(!is_note(bytes));
            notes.hear(10.0, 1, 3, bytes);
        }
        notes.hear(10.0, 3, 3, &sound);
        assert_eq!(notes.held(10.0, 7, 1.0), (0.0, 0));
    }

    #[test]
    fn with_nothing_new_every_fourth_is_told_so_that_it_counts_as_alive() {
        let mut notes = Notes::default();
        let told: Vec<_> = (0..9).map(|n| notes.tell(f64::from(n) * EVERY, vec![(7, 1)]).is_some()).collect();
        assert_eq!(told, [true, false, false, false, true, false, false, false, true]);
        assert!(notes.tell(1.0, Vec::new()).is_some(), "something has changed");
        assert!(f64::from(QUIET) * EVERY < TERM / 2.0, "one may be lost");
    }
}
