//! A claim replica as a simulated process: it votes for one attempt of each id, for ever, on its disk.

use std::collections::BTreeMap;

use lichenpulley_core::identity::{AttemptId, RequestId};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};

use super::message::Message;

/// One claim replica.
#[derive(Clone, Debug, Default)]
pub struct ClaimProcess {
    votes: BTreeMap<RequestId, AttemptId>,
}

impl ClaimProcess {
    /// The replica after a crash: its votes are on its disk.
    pub fn restarted(&self) -> Self {
        self.clone()
    }
}

impl Process for ClaimProcess {
    type Message = Message;

    fn receive(&mut self, _now: Timestamp, from: ProcessId, message: Message, outbox: &mut Outbox<Message>) {
        if let Message::Claim(request, attempt) = message {
            let voted = self.votes.entry(request.clone()).or_insert(attempt).clone();
            outbox.send(from, Message::Vote(request, voted));
        }
    }
}
