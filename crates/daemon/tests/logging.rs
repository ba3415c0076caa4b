//! Tests that the log writer is bounded and never blocks the code that logs.

use std::io::Write;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

use lichenpulley_daemon::logging::QueuedWriter;

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
