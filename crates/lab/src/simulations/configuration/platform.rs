//! The object API on the virtual clock: the stand-in's own store behind simulated faults.

use std::collections::VecDeque;

use lichenpulley_core::configuration::register::{AppliedChange, OBJECT_KEY, Register};
use lichenpulley_core::identity::Revision;
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::platform::PutObject;
use lichenpulley_simulation::{Outbox, Process, ProcessId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

use super::packet::{Packet, PlatformAnswer, PlatformRequest};
use crate::object_api::ObjectStore;

/// How the platform behaves now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlatformFaults {
    /// Requests are dropped without effect.
    pub down: bool,
    /// Answers are late by this much.
    pub slow: Duration,
    /// The probability that the answer to a write is lost after it took effect, from 0 to 1.
    pub lost_replies: f64,
}

/// The platform.
#[derive(Clone, Debug)]
pub struct Platform {
    store: ObjectStore,
    faults: PlatformFaults,
    random: Pcg64Mcg,
    /// Watches that wait: caller, call, version.
    watches: Vec<(ProcessId, u64, Revision)>,
    /// Answers on their way.
    late: VecDeque<(Timestamp, ProcessId, Packet)>,
    /// Every change that took effect, in order.
    committed: Vec<AppliedChange>,
    lost_replies: u64,
    /// Whether the base version of a write is checked. Off only in a proof.
    checks_base_version: bool,
}

impl Platform {
    /// An empty, healthy platform.
    pub fn new(seed: u64, checks_base_version: bool) -> Self {
        Self {
            store: ObjectStore::default(),
            faults: PlatformFaults::default(),
            random: Pcg64Mcg::seed_from_u64(seed),
            watches: Vec::new(),
            late: VecDeque::new(),
            committed: Vec::new(),
            lost_replies: 0,
            checks_base_version,
        }
    }

    /// The platform after a restart: it keeps everything.
    pub fn restarted(&self) -> Self {
        self.clone()
    }

    /// Changes how it behaves. Watches break when it goes down.
    pub fn set_faults(&mut self, faults: PlatformFaults) {
        self.faults = faults;
        if faults.down {
            self.watches.clear();
        }
    }

    /// How it behaves.
    pub fn faults(&self) -> PlatformFaults {
        self.faults
    }

    /// Every change that took effect, in order.
    pub fn committed(&self) -> &[AppliedChange] {
        &self.committed
    }

    /// Answers lost after a write took effect.
    pub fn lost_replies(&self) -> u64 {
        self.lost_replies
    }

    /// The register with its version.
    pub fn register(&self) -> (Option<Revision>, Register) {
        let Some(object) = self.store.get(OBJECT_KEY) else { return (None, Register::default()) };
        let register = serde_json::from_value(object.value.clone()).unwrap_or_default();
        (Some(object.version), register)
    }

    /// Answers a call.
    fn take_call(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        call: u64,
        request: PlatformRequest,
        outbox: &mut Outbox<Packet>,
    ) {
        if self.faults.down {
            return;
        }
        match request {
            PlatformRequest::Read => self.answer_register(now, from, call, outbox),
            PlatformRequest::Watch { after } => {
                self.watches.push((from, call, after));
                self.answer_watches(now, outbox);
            }
            PlatformRequest::Write { base_version, register } => {
                let answer = self.write(base_version, &register);
                let lost = answer == Written::Yes && self.random.random_bool(self.faults.lost_replies);
                self.lost_replies += u64::from(lost);
                if !lost {
                    let answer = match answer {
                        Written::Yes => PlatformAnswer::Written,
                        Written::No => PlatformAnswer::Conflict,
                    };
                    self.answer(now, from, call, answer, outbox);
                }
                self.answer_watches(now, outbox);
            }
        }
    }

    fn write(&mut self, base_version: Option<Revision>, register: &Register) -> Written {
        let current = self.store.get(OBJECT_KEY).map(|object| object.version);
        let base_version = if self.checks_base_version { base_version } else { current };
        let Ok(value) = serde_json::to_value(register) else { return Written::No };
        if self.store.put(OBJECT_KEY, PutObject { base_version, value }).is_err() {
            return Written::No;
        }
        self.committed.extend(register.applied().last().cloned());
        Written::Yes
    }

    fn answer_register(&mut self, now: Timestamp, to: ProcessId, call: u64, outbox: &mut Outbox<Packet>) {
        let (version, register) = self.register();
        self.answer(now, to, call, PlatformAnswer::Register { version, register }, outbox);
    }

    fn answer_watches(&mut self, now: Timestamp, outbox: &mut Outbox<Packet>) {
        let Some(version) = self.store.get(OBJECT_KEY).map(|object| object.version) else { return };
        let (ready, waiting) = self.watches.drain(..).partition(|(_, _, after)| version > *after);
        self.watches = waiting;
        let ready: Vec<(ProcessId, u64, Revision)> = ready;
        for (to, call, _) in ready {
            self.answer_register(now, to, call, outbox);
        }
    }

    fn answer(
        &mut self,
        now: Timestamp,
        to: ProcessId,
        call: u64,
        answer: PlatformAnswer,
        outbox: &mut Outbox<Packet>,
    ) {
        let packet = Packet::PlatformAnswer { call, answer };
        if self.faults.slow.is_zero() {
            outbox.send(to, packet);
        } else {
            // All answers under one fault are equally late, so the queue stays in order but at a change of faults.
            let at = (now + self.faults.slow).max(self.late.back().map_or(now, |(at, ..)| *at));
            self.late.push_back((at, to, packet));
        }
    }
}

impl Process for Platform {
    type Message = Packet;

    fn receive(&mut self, now: Timestamp, from: ProcessId, packet: Packet, outbox: &mut Outbox<Packet>) {
        if let Packet::PlatformCall { call, request } = packet {
            self.take_call(now, from, call, request, outbox);
        }
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Packet>) {
        while self.late.front().is_some_and(|(at, ..)| *at <= now) {
            if let Some((_, to, packet)) = self.late.pop_front() {
                outbox.send(to, packet);
            }
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        self.late.front().map(|(at, ..)| *at)
    }
}

/// Whether a write took effect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Written {
    Yes,
    No,
}
