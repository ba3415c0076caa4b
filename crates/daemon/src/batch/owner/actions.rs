//! What the state machine of the batch jobs asks for, done.

use lichenpulley_core::batch::controller::Action;

use super::Owner;
use crate::batch::{run, score};

impl Owner {
    /// Does what the state machine asks for.
    pub(super) fn act(&mut self) {
        while let Some(action) = self.controller.poll_action() {
            match action {
                Action::Append(records) => self.log.append(records),
                Action::Start(start) => {
                    let run = start.run;
                    let decided_at = self.clock.now();
                    let (context, pool) = (self.context.clone(), self.pool.clone());
                    let task = run::run(context, pool, *start, decided_at, self.run_sender.clone());
                    let handle = self.traffic.spawn(task).abort_handle();
                    self.runs.insert(run, handle);
                }
                Action::Stop(run) => {
                    if let Some(handle) = self.runs.remove(&run) {
                        handle.abort();
                    }
                }
                Action::Score(start) => {
                    let id = start.id;
                    let task = score::score(
                        self.context.clone(),
                        self.pool.clone(),
                        *start,
                        self.score_sender.clone(),
                    );
                    let handle = self.traffic.spawn(task).abort_handle();
                    self.scores.insert(id, handle);
                }
                Action::StopScore(id) => {
                    if let Some(handle) = self.scores.remove(&id) {
                        handle.abort();
                    }
                }
                Action::Load(load) => self.loads.begin(load, self.confirmed_at),
                Action::Duty(call) => self.duty_calls.begin(call, self.is_confirmed()),
                Action::Decide(decision) => self.context.decisions.record(decision),
            }
        }
    }
}
