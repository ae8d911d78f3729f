//! Line-based differences between two versions of a list.
//!
//! A change of a long list affects few lines. A [`Patch`] contains these and the
//! number of unchanged lines between them, so its size depends on the size of the
//! change and not on that of the list.

use sha2::Digest;
use sha2::Sha256;

/// Maximum number of added and dropped lines of a shortest difference. If it has
/// more, all lines between the common start and end of the texts are replaced.
const MAX_EDITS: usize = 512;

/// `Edit` is one line of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Edit<'a> {
    /// The line is in both texts.
    Keep(&'a str),
    /// The line is only in the old text.
    Drop(&'a str),
    /// The line is only in the new text.
    Add(&'a str),
}

/// `Hunk` replaces consecutive lines of the old text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hunk {
    /// Number of unchanged lines since the previous hunk.
    pub keep: u32,
    /// Number of lines of the old text that are removed.
    pub drop: u32,
    /// Lines that are inserted in their place.
    pub add: Vec<String>,
}

/// `Patch` converts an old text into a new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Patch {
    /// Hunks in the order of the text. Lines after the last hunk are unchanged.
    pub hunks: Vec<Hunk>,
    /// First 64 bits of the SHA-256 digest of the new text.
    pub checksum: u64,
}

impl Patch {
    /// Computes the difference from `old` to `new`.
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

    /// Returns the new text. Returns `None` if `old` isn't the text that the patch
    /// was made from: it has too few lines, or the result doesn't match the checksum.
    pub fn apply(&self, old: &str) -> Option<String> {
        let mut lines = old.lines();
        let mut new = String::with_capacity(old.len() + self.len());
        for hunk in &self.hunks {
            for _ in 0..hunk.keep {
                push_line(&mut new, lines.next()?);
            }
            for _ in 0..hunk.drop {
                lines.next()?;
            }
            for line in &hunk.add {
                push_line(&mut new, line);
            }
        }
        for line in lines {
            push_line(&mut new, line);
        }
        (checksum(&new) == self.checksum).then_some(new)
    }

    /// Total length of the inserted lines, in octets with line ends.
    pub fn len(&self) -> usize {
        let added = self.hunks.iter().flat_map(|hunk| &hunk.add);
        added.map(|line| line.len() + 1).sum()
    }

    /// Returns true if the old and the new text have the same lines.
    pub fn is_empty(&self) -> bool {
        self.hunks.is_empty()
    }
}

fn push_line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}

/// First 64 bits of the SHA-256 digest of `text`.
fn checksum(text: &str) -> u64 {
    let digest = Sha256::digest(text.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}

/// Returns the difference of both texts, including unchanged lines. It is the
/// shortest one unless that has more than `MAX_EDITS` added and dropped lines.
pub fn edits<'a>(old: &'a str, new: &'a str) -> Vec<Edit<'a>> {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let same = |(a, b): &(&&str, &&str)| a == b;
    let prefix = old.iter().zip(&new).take_while(same).count();
    let (unchanged, old, new) = (&old[..prefix], &old[prefix..], &new[prefix..]);
    let suffix = old.iter().rev().zip(new.iter().rev()).take_while(same);
    let suffix = suffix.count();
    let (old, rest) = old.split_at(old.len() - suffix);
    let new = &new[..new.len() - suffix];

    let mut edits: Vec<Edit<'_>> = unchanged.iter().map(|line| Edit::Keep(line)).collect();
    match shortest_edits(old, new) {
        Some(middle) => edits.extend(middle),
        None => {
            edits.extend(old.iter().map(|line| Edit::Drop(line)));
            edits.extend(new.iter().map(|line| Edit::Add(line)));
        }
    }
    edits.extend(rest.iter().map(|line| Edit::Keep(line)));
    edits
}

/// Returns the shortest difference, or `None` if it has more than [`MAX_EDITS`]
/// added and dropped lines.
///
/// This is the greedy algorithm of Myers (1986). Diagonal `k` holds the paths on
/// which the drops exceed the additions by `k`. `reach[k]` is the number of lines
/// of the old text that `count` edits can cover on diagonal `k`. Diagonals are
/// shifted by `shift`, so that indices start at zero.
fn shortest_edits<'a>(old: &[&'a str], new: &[&'a str]) -> Option<Vec<Edit<'a>>> {
    let shift = MAX_EDITS + 1;
    let mut reach = vec![0_usize; 2 * shift + 1];
    let mut trace = Vec::new();
    for count in 0..=MAX_EDITS {
        trace.push(reach[shift - count..=shift + count].to_vec());
        for k in (shift - count..=shift + count).step_by(2) {
            let add = ends_with_add(&reach, k, shift, count);
            let mut a = if add { reach[k + 1] } else { reach[k - 1] + 1 };
            // Diagonals outside either text can't reach the end.
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

/// Returns true if the furthest-reaching path to diagonal `k` ends with an added
/// line.
fn ends_with_add(reach: &[usize], k: usize, shift: usize, count: usize) -> bool {
    let (low, high) = (shift - count, shift + count);
    k == low || (k != high && reach[k - 1] < reach[k + 1])
}

/// Returns the edits on the path to the end of both texts. `trace[count]` holds the
/// `reach` values after `count - 1` edits.
fn walk_back<'a>(old: &[&'a str], new: &[&'a str], trace: &[Vec<usize>]) -> Vec<Edit<'a>> {
    let mut edits = Vec::new();
    let (mut a, mut b) = (old.len(), new.len());
    for (count, reach) in trace.iter().enumerate().rev() {
        // The recorded values start at diagonal -count.
        let k = a + count - b;
        let add = ends_with_add(reach, k, count, count);
        let start = if count == 0 {
            0
        } else if add {
            reach[k + 1]
        } else {
            reach[k - 1] + 1
        };
        while a > start && b > 0 && old[a - 1] == new[b - 1] {
            (a, b) = (a - 1, b - 1);
            edits.push(Edit::Keep(old[a]));
        }
        if count == 0 {
            break;
        }
        if add {
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
