//! Calls that carry the owner's epoch as a fencing token: load orders to replicas, and duty calls to the
//! platform.

use lichenpulley_core::identity::Epoch;
use tokio::sync::mpsc;

use crate::batch::load::{LoadEnded, LoadOrders};
use crate::context::Context;
use crate::duties::{DutyCalls, DutyEnded};

/// Clients for fenced calls of one epoch, with the channels on which outcomes arrive.
pub(super) struct FencedCalls {
    /// Sends load orders.
    pub(super) loads: LoadOrders,
    /// Receives the outcomes of load orders.
    pub(super) load_ends: mpsc::UnboundedReceiver<LoadEnded>,
    /// Sends duty calls.
    pub(super) duties: DutyCalls,
    /// Receives the outcomes of duty calls.
    pub(super) duty_ends: mpsc::UnboundedReceiver<DutyEnded>,
}

impl FencedCalls {
    /// Creates the clients; no call is in progress.
    pub(super) fn new(context: &Context, epoch: Epoch) -> Self {
        let (load_sender, load_ends) = mpsc::unbounded_channel();
        let (duty_sender, duty_ends) = mpsc::unbounded_channel();
        let loads = LoadOrders::new(context.clone(), epoch, load_sender);
        let duties = DutyCalls::new(context.clone(), epoch, duty_sender);
        Self { loads, load_ends, duties, duty_ends }
    }
}
