//! A log with epochs, in one process that never loses anything.

use lichenpulley_core::identity::Epoch;
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::message::Message;

/// The log.
#[derive(Clone, Default)]
pub(super) struct Log {
    epoch: Epoch,
    last_number: u64,
    records: Vec<Vec<u8>>,
}

impl Log {
    /// The log after a restart: it loses nothing.
    pub(super) fn restarted(&self) -> Self {
        self.clone()
    }

    fn append(&mut self, epoch: Epoch, number: u64, records: Vec<Vec<u8>>) -> Option<Message> {
        if epoch < self.epoch {
            return Some(Message::Superseded { epoch });
        }
        if number == self.last_number + 1 {
            self.last_number = number;
            self.records.extend(records);
        }
        (number <= self.last_number).then_some(Message::Appended { epoch, number })
    }
}

impl Process for Log {
    type Message = Message;

    fn receive(&mut self, _now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        match message {
            Message::TakeOver { term } => {
                self.epoch = self.epoch.next();
                self.last_number = 0;
                let records = self.records.clone();
                outbox.send(from, Message::TakenOver { term, epoch: self.epoch, records });
            }
            Message::Append { epoch, number, records } => {
                let answer = self.append(epoch, number, records);
                answer.into_iter().for_each(|answer| outbox.send(from, answer));
            }
            _ => {}
        }
    }
}
