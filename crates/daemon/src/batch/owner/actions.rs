//! Executes the actions that the controller of the batch jobs emits.

use lichenpulley_core::batch::controller::Action;

use super::Owner;

impl Owner {
    /// Executes all pending actions of the controller.
    pub(super) fn execute_actions(&mut self) {
        // The confirmation may have lapsed since the last tick, for instance while the process was suspended.
        self.update_confirmation();
        while let Some(action) = self.controller.poll_action() {
            match action {
                Action::Append(records) => self.stores.log.append(records),
                Action::Start(start) => self.running.start_run(*start, self.stores.clock().now()),
                Action::Stop(run) => self.running.stop_run(run),
                Action::Score(start) => self.running.start_score(*start),
                Action::StopScore(id) => self.running.stop_score(id),
                Action::Load(load) => self.calls.loads.begin(load, self.stores.confirmed_at()),
                Action::Duty(call) => self.calls.duties.begin(call, self.stores.is_confirmed()),
                Action::Decide(decision) => self.context.decisions.record(decision),
            }
        }
    }
}
