//! Differences between two states of a list, line by line.
//!
//! A change of a long list touches a few lines. [`Patch`] carries these and how
//! many lines stay between them, so that a revision costs what it changes.

use sha2::Digest;
use sha2::Sha256;

/// Lines of a difference up to which the least one is looked for.
const MAX_EDITS: usize = 512;

/// `Edit` is one line of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Edit<'a> {
    /// The line stands in both texts.
    Keep(&'a str),
    /// The line stands in the old text only.
    Drop(&'a str),
    /// The line stands in the new text only.
    Add(&'a str),
}

/// `Hunk` is one place at which two texts differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hunk {
    /// Lines that stay before it.
    pub keep: u32,
    /// Lines of the old text that go.
    pub drop: u32,
    /// Lines that come in their place.
    pub add: Vec<String>,
}

/// `Patch` makes a new text of an old one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Patch {
    /// The places that differ. Lines after the last one stay.
    pub hunks: Vec<Hunk>,
    /// First 64 bits of the SHA-256 digest of the new text.
    pub checksum: u64,
}

impl Patch {
    /// The difference from `old` to `new`.
    pub fn new(old: &str, new: &str) -> Patch {
        let mut hunks: Vec<Hunk> = Vec::new();
        let mut keep = 0;
        for edit in edits(old, new) {
            if let Edit::Keep(_) = edit {
                keep += 1;
                continue;
            }
            if keep > 0 || hunks.is_empty() {
                let hunk = Hunk {
                    keep,
                    ..Hunk::default()
                };
                hunks.push(hunk);
                keep = 0;
            }
            let Some(hunk) = hunks.last_mut() else {
                continue;
            };
            match edit {
                Edit::Drop(_) => hunk.drop += 1,
                Edit::Add(line) => hunk.add.push(line.to_owned()),
                Edit::Keep(_) => (),
            }
        }
        Patch {
            hunks,
            checksum: checksum(new),
        }
    }

    /// Makes the new text, or gives `None` if `old` is not the text that the
    /// patch was made from.
    pub fn apply(&self, old: &str) -> Option<String> {
        let mut lines = old.lines();
        let mut new = String::with_capacity(old.len() + self.len());
        for hunk in &self.hunks {
            for _ in 0..hunk.keep {
                push(&mut new, lines.next()?);
            }
            for _ in 0..hunk.drop {
                lines.next()?;
            }
            for line in &hunk.add {
                push(&mut new, line);
            }
        }
        for line in lines {
            push(&mut new, line);
        }
        (checksum(&new) == self.checksum).then_some(new)
    }

    /// Octets that the patch adds.
    pub fn len(&self) -> usize {
        let added = self.hunks.iter().flat_map(|hunk| &hunk.add);
        added.map(|line| line.len() + 1).sum()
    }

    /// Tells whether the texts are equal.
    pub fn is_empty(&self) -> bool {
        self.hunks.is_empty()
    }
}

fn push(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}

fn checksum(text: &str) -> u64 {
    let digest = Sha256::digest(text.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

/// The lines of both texts in the order of a difference.
pub fn edits<'a>(old: &'a str, new: &'a str) -> Vec<Edit<'a>> {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let same = |(a, b): &(&&str, &&str)| a == b;
    let head = old.iter().zip(&new).take_while(same).count();
    let (kept, old, new) = (&old[..head], &old[head..], &new[head..]);
    let tail = old.iter().rev().zip(new.iter().rev()).take_while(same);
    let tail = tail.count();
    let (old, rest) = old.split_at(old.len() - tail);
    let new = &new[..new.len() - tail];

    let mut edits: Vec<Edit<'_>> = kept.iter().map(|line| Edit::Keep(line)).collect();
    match least(old, new) {
        Some(middle) => edits.extend(middle),
        None => {
            edits.extend(old.iter().map(|line| Edit::Drop(line)));
            edits.extend(new.iter().map(|line| Edit::Add(line)));
        }
    }
    edits.extend(rest.iter().map(|line| Edit::Keep(line)));
    edits
}

/// The least difference, or `None` if it has more than [`MAX_EDITS`] lines.
///
/// This is the greedy algorithm of Myers (1986). `reach[k]` is how far the old
/// text can be followed with `count` edits, on the diagonal `k` of additions
/// taken from drops; diagonals are shifted to start at zero.
fn least<'a>(old: &[&'a str], new: &[&'a str]) -> Option<Vec<Edit<'a>>> {
    let shift = MAX_EDITS + 1;
    let mut reach = vec![0_usize; 2 * shift + 1];
    let mut trace = Vec::new();
    for count in 0..=MAX_EDITS {
        trace.push(reach[shift - count..=shift + count].to_vec());
        for k in (shift - count..=shift + count).step_by(2) {
            let down = goes_down(&reach, k, shift, count);
            let mut a = if down { reach[k + 1] } else { reach[k - 1] + 1 };
            // Diagonals that leave either text lead nowhere.
            let Some(mut b) = (a + shift).checked_sub(k) else {
                continue;
            };
            while a < old.len() && b < new.len() && old[a] == new[b] {
                (a, b) = (a + 1, b + 1);
            }
            reach[k] = a;
            if a >= old.len() && b >= new.len() {
                return Some(walk_back(old, new, &trace));
            }
        }
    }
    None
}

/// Whether the farthest way to diagonal `k` ends with an added line.
fn goes_down(reach: &[usize], k: usize, middle: usize, count: usize) -> bool {
    let (low, high) = (middle - count, middle + count);
    k == low || (k != high && reach[k - 1] < reach[k + 1])
}

/// The edits on the way that `trace` recorded: for each number of edits, the
/// reach of the number below.
fn walk_back<'a>(old: &[&'a str], new: &[&'a str], trace: &[Vec<usize>]) -> Vec<Edit<'a>> {
    let mut edits = Vec::new();
    let (mut a, mut b) = (old.len(), new.len());
    for (count, reach) in trace.iter().enumerate().rev() {
        // The record begins at diagonal -count.
        let k = a + count - b;
        let down = goes_down(reach, k, count, count);
        let before = if count == 0 {
            0
        } else if down {
            reach[k + 1]
        } else {
            reach[k - 1] + 1
        };
        while a > before && b > 0 && old[a - 1] == new[b - 1] {
            (a, b) = (a - 1, b - 1);
            edits.push(Edit::Keep(old[a]));
        }
        if count == 0 {
            break;
        }
        if down {
            b -= 1;
            edits.push(Edit::Add(new[b]));
        } else {
            a -= 1;
            edits.push(Edit::Drop(old[a]));
        }
    }
    edits.reverse();
    edits
}
