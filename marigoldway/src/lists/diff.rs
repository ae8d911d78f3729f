//! Differences between two states of a list, line by line.

/// Lines on either side up to which the least difference is looked for.
const EXACT_LINES: usize = 1_000;

/// The lines that differ, `-` before those of `old`, `+` before those of `new`.
pub(super) fn lines(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let same = |(a, b): &(&&str, &&str)| a == b;
    let head = old.iter().zip(&new).take_while(same).count();
    let (old, new) = (&old[head..], &new[head..]);
    let tail = old.iter().rev().zip(new.iter().rev()).take_while(same);
    let tail = tail.count();
    let (old, new) = (&old[..old.len() - tail], &new[..new.len() - tail]);
    if old.len() > EXACT_LINES || new.len() > EXACT_LINES {
        return all(old, '-') + &all(new, '+');
    }
    least(old, new)
}

fn all(lines: &[&str], mark: char) -> String {
    lines.iter().map(|line| format!("{mark}{line}\n")).collect()
}

/// The difference around a longest common subsequence.
fn least(old: &[&str], new: &[&str]) -> String {
    // common[a][b] is the length of the longest common subsequence of the lines
    // from `a` on and from `b` on.
    let mut common = vec![vec![0_u16; new.len() + 1]; old.len() + 1];
    for a in (0..old.len()).rev() {
        for b in (0..new.len()).rev() {
            common[a][b] = if old[a] == new[b] {
                common[a + 1][b + 1] + 1
            } else {
                common[a + 1][b].max(common[a][b + 1])
            };
        }
    }

    let mut out = String::new();
    let (mut a, mut b) = (0, 0);
    while a < old.len() || b < new.len() {
        if a < old.len() && b < new.len() && old[a] == new[b] {
            (a, b) = (a + 1, b + 1);
        } else if b == new.len() || (a < old.len() && common[a + 1][b] >= common[a][b + 1]) {
            out += &all(&old[a..=a], '-');
            a += 1;
        } else {
            out += &all(&new[b..=b], '+');
            b += 1;
        }
    }
    out
}
