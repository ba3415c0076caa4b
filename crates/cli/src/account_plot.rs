//! A plot of the account of steps: one bar a step, split by where its time went.
//!
//! Owns the picture alone; the figures come from `step_account`.

use std::fmt::Write;

use crate::step_account::StepAccount;

/// Width of the picture, in pixels. This figure and those below are chosen for the eye; nothing depends on them.
const WIDTH: u64 = 900;
/// Room for the names of steps at the left, in pixels.
const LEFT: u64 = 70;
/// Room for the time of a step at the right, in pixels.
const RIGHT: u64 = 90;
/// Width of one entry of the legend, in pixels.
const LEGEND_ENTRY: u64 = 90;
/// Height of a bar, in pixels.
const BAR: u64 = 18;
/// From one bar to the next, in pixels.
const ROW: u64 = 24;
/// Room for the legend at the top, in pixels.
const TOP: u64 = 40;

/// The parts of a bar, with their colours.
const PARTS: [(&str, &str); 6] = [
    ("wait", "#9aa5b1"),
    ("run", "#3b7dd8"),
    ("gap", "#d64545"),
    ("score", "#e9b949"),
    ("list", "#8a63d2"),
    ("read", "#57ae5b"),
];

const fn part_ms(account: &StepAccount, part: usize) -> u64 {
    match part {
        0 => account.wait_ms,
        1 => account.run_ms,
        2 => account.gap_ms,
        3 => account.score_ms,
        4 => account.list_ms,
        _ => account.read_ms,
    }
}

/// The plot as SVG.
pub fn render(accounts: &[StepAccount]) -> String {
    let longest = accounts.iter().map(|account| account.total_ms).max().unwrap_or(1).max(1);
    let height = TOP + ROW * accounts.len() as u64 + 20;
    let scale = |milliseconds: u64| milliseconds * (WIDTH - LEFT - RIGHT) / longest;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" font-family=\"sans-serif\" \
         font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    // Writing into a string does not fail.
    for (number, (name, colour)) in PARTS.iter().enumerate() {
        let x = LEFT + LEGEND_ENTRY * number as u64;
        let _ = writeln!(svg, "<rect x=\"{x}\" y=\"12\" width=\"12\" height=\"12\" fill=\"{colour}\"/>");
        let _ = writeln!(svg, "<text x=\"{}\" y=\"22\">{name}</text>", x + 16);
    }
    for (row, account) in accounts.iter().enumerate() {
        let y = TOP + ROW * row as u64;
        let _ = writeln!(svg, "<text x=\"8\" y=\"{}\">step {}</text>", y + 13, account.step);
        let mut x = LEFT;
        for (part, (_, colour)) in PARTS.iter().enumerate() {
            let width = scale(part_ms(account, part));
            let _ = writeln!(
                svg,
                "<rect x=\"{x}\" y=\"{y}\" width=\"{width}\" height=\"{BAR}\" fill=\"{colour}\"/>"
            );
            x += width;
        }
        let seconds = account.total_ms as f64 / 1_000.0;
        let _ = writeln!(svg, "<text x=\"{}\" y=\"{}\">{seconds:.1} s</text>", x + 6, y + 13);
    }
    svg.push_str("</svg>\n");
    svg
}
