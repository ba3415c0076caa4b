//! Tests that the log writer is bounded and never blocks the code that logs.

use std::io::Write;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

use std::time::Duration;

use lichenpulley_daemon::logging::line_budget::{LINES_PER_SECOND, LineBudget, LineClass, QUEUE_LINES};
use lichenpulley_daemon::logging::{QueuedWriter, VITAL_MARK};
use log::Level;

/// An output that blocks its first write until it receives a signal.
struct BlockedOutput {
    resume_signal: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
    is_blocked: bool,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.is_blocked {
            // Receiving fails only if the test has ended.
            let _ = self.resume_signal.recv();
            self.is_blocked = false;
        }
        self.written.lock().expect("the lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn stalled_output_does_not_block_logging_and_dropped_lines_are_counted() {
    let (resume, receiver) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput { resume_signal: receiver, written: Arc::clone(&written), is_blocked: true };
    let mut writer = QueuedWriter::start(output).expect("a writer");
    let lines = 10_000;
    for number in 0..lines {
        writer.write_all(format!("line {number}\n").as_bytes()).expect("writing never fails");
    }
    resume.send(()).expect("the output is blocked");
    let text = loop {
        let text = String::from_utf8(written.lock().expect("the lock").clone()).expect("text");
        if text.contains("lines were dropped") {
            break text;
        }
        std::thread::yield_now();
    };
    let written_lines = text.lines().filter(|line| line.starts_with("line ")).count();
    assert!(written_lines < lines, "{written_lines} of {lines} lines were written");
    let note = text.lines().find(|line| line.contains("lines were dropped")).expect("the note");
    let note: serde_json::Value = serde_json::from_str(note).expect("JSON");
    assert!(note["lines"].as_u64().is_some_and(|dropped| dropped > 0), "{note}");
}

/// Fails if the lines of single runs use the whole rate limit, as they did in a shortage: the owner then dropped the lines
/// that explain it.
#[test]
fn lines_of_single_runs_leave_room_for_refusals_and_owner_changes() {
    let mut budget = LineBudget::default();
    let mut admitted = [0_u64; 3];
    for second in 0..10 {
        // Each millisecond has ten lines of runs; refusals and owner changes come last in the second.
        for millisecond in 0..1_000 {
            let now = Duration::from_millis(second * 1_000 + millisecond);
            let runs = (0..10).filter(|_| budget.admit(now, LineClass::Ordinary, 0)).count();
            admitted[0] += runs as u64;
            if millisecond >= 900 {
                admitted[1] += u64::from(budget.admit(now, LineClass::Report, 0));
            }
            if millisecond >= 980 {
                admitted[2] += u64::from(budget.admit(now, LineClass::Vital, 0));
            }
        }
    }
    let total = admitted.iter().sum::<u64>();
    assert!(total <= 10 * LINES_PER_SECOND, "{total} lines were admitted");
    assert!(admitted[0] >= 10 * LINES_PER_SECOND / 2, "{} lines of runs", admitted[0]);
    // Even a flood of refusals leaves room for every vital line.
    assert!(admitted[1] >= 10 * LINES_PER_SECOND / 10, "{} refusals", admitted[1]);
    assert_eq!(admitted[2], 10 * 20, "vital lines");
}

/// Fails if a stalled reader's queue is filled by the lines of single runs.
#[test]
fn queue_keeps_room_for_important_lines_and_stays_bounded() {
    let admits = |class, queued| LineBudget::default().admit(Duration::ZERO, class, queued);
    let first_refused = |class| (0..).find(|queued| !admits(class, *queued)).expect("a bound");
    let classes = [LineClass::Ordinary, LineClass::Report, LineClass::Vital];
    let [ordinary, report, vital] = classes.map(first_refused);
    assert!(ordinary < report && report < vital, "{ordinary} {report} {vital}");
    assert_eq!(vital, QUEUE_LINES as u64);
}

#[test]
fn lines_are_classified_by_what_they_report() {
    let decision = |action| LineClass::of(Level::Info, "rollout", "", action);
    assert_eq!(decision("run_started"), LineClass::Ordinary);
    assert_eq!(decision("batch_refused"), LineClass::Report);
    assert_eq!(decision("shortage"), LineClass::Vital);
    assert_eq!(decision("taking_over"), LineClass::Vital);
    assert_eq!(LineClass::of(Level::Error, "http", "lichenpulley_daemon::http", "x"), LineClass::Vital);
    let run = "lichenpulley_daemon::batch::run";
    assert_eq!(LineClass::of(Level::Warn, "batch", run, "Item a is sent late."), LineClass::Ordinary);
    let owner = "lichenpulley_daemon::batch::owner";
    assert_eq!(LineClass::of(Level::Warn, "batch", owner, "No store answers."), LineClass::Report);
}

/// Fails if the mark of a vital line reaches the log, or if the line is dropped behind the lines of runs.
#[test]
fn vital_line_is_written_without_its_mark_behind_a_flood() {
    let (resume, receiver) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput { resume_signal: receiver, written: Arc::clone(&written), is_blocked: true };
    let mut writer = QueuedWriter::start(output).expect("a writer");
    for number in 0..10_000 {
        writer.write_all(format!("line {number}\n").as_bytes()).expect("writing never fails");
    }
    let vital = [&[VITAL_MARK][..], b"vital\n"].concat();
    writer.write_all(&vital).expect("writing never fails");
    resume.send(()).expect("the output is blocked");
    loop {
        let text = String::from_utf8(written.lock().expect("the lock").clone()).expect("text");
        if text.lines().any(|line| line == "vital") {
            break;
        }
        std::thread::yield_now();
    }
}
