/// Returns a line diff: common lines start with two spaces, removed ones with `- ` and added ones
/// with `+ `.
///
/// The common prefix and suffix are matched first, so that the cost grows with the size of the
/// change.
pub fn line_diff(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let head = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let tails = old[head..].iter().rev().zip(new[head..].iter().rev());
    let tail = tails.take_while(|(a, b)| a == b).count();
    let mut text = String::new();
    push_lines(&mut text, "  ", &old[..head]);
    push_changed(&mut text, &old[head..old.len() - tail], &new[head..new.len() - tail]);
    push_lines(&mut text, "  ", &old[old.len() - tail..]);
    text
}

fn push_changed(text: &mut String, old: &[&str], new: &[&str]) {
    let common = lcs_lengths(old, new);
    let (mut i, mut j) = (0, 0);
    while i < old.len() && j < new.len() {
        if old[i] == new[j] {
            push_lines(text, "  ", &old[i..=i]);
            (i, j) = (i + 1, j + 1);
        } else if common[i][j + 1] <= common[i + 1][j] {
            push_lines(text, "- ", &old[i..=i]);
            i += 1;
        } else {
            push_lines(text, "+ ", &new[j..=j]);
            j += 1;
        }
    }
    push_lines(text, "- ", &old[i..]);
    push_lines(text, "+ ", &new[j..]);
}

/// Returns the length of the longest common subsequence of `old[i..]` and `new[j..]` for each `i`
/// and `j`.
fn lcs_lengths(old: &[&str], new: &[&str]) -> Vec<Vec<u32>> {
    let mut common = vec![vec![0; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            common[i][j] = if old[i] == new[j] {
                common[i + 1][j + 1] + 1
            } else {
                common[i + 1][j].max(common[i][j + 1])
            };
        }
    }
    common
}

fn push_lines(text: &mut String, prefix: &str, lines: &[&str]) {
    for line in lines {
        text.extend([prefix, line, "\n"]);
    }
}
