//! The log's writer: bounded, and never in the way of whoever logs.

use std::io::Write;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

use lichenpulley_daemon::logging::QueuedWriter;

/// An output whose reader has stopped reading until it is told to go on.
struct StuckOutput {
    go_on: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
    is_stuck: bool,
}

impl Write for StuckOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.is_stuck {
            // An error says that the test has ended.
            let _ = self.go_on.recv();
            self.is_stuck = false;
        }
        self.written.lock().expect("the lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_reading_blocks_nobody_and_what_was_lost_is_counted() {
    let (go_on, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = StuckOutput { go_on: gate, written: Arc::clone(&written), is_stuck: true };
    let mut writer = QueuedWriter::start(output).expect("a writer");
    let lines = 10_000;
    for number in 0..lines {
        writer.write_all(format!("line {number}\n").as_bytes()).expect("never an error");
    }
    go_on.send(()).expect("the output waits");
    let text = loop {
        let text = String::from_utf8(written.lock().expect("the lock").clone()).expect("text");
        if text.contains("lines were dropped") {
            break text;
        }
        std::thread::yield_now();
    };
    let kept = text.lines().filter(|line| line.starts_with("line ")).count();
    assert!(kept < lines, "{kept} lines were kept of {lines}");
    let note = text.lines().find(|line| line.contains("lines were dropped")).expect("the note");
    let note: serde_json::Value = serde_json::from_str(note).expect("JSON");
    assert!(note["lines"].as_u64().is_some_and(|dropped| dropped > 0), "{note}");
}
