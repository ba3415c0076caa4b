//! Calls that carry the owner's epoch as their fencing token: orders to replicas to load a version, and the
//! duties towards the platform.

use lichenpulley_core::identity::Epoch;
use tokio::sync::mpsc;

use crate::batch::load::{LoadEnded, LoadOrders};
use crate::context::Context;
use crate::duties::{DutyCalls, DutyEnded};

/// Calls under one epoch, and how they ended.
pub(super) struct FencedCalls {
    /// Begins loads.
    pub(super) loads: LoadOrders,
    /// Loads that have ended.
    pub(super) load_ends: mpsc::UnboundedReceiver<LoadEnded>,
    /// Begins calls of duties.
    pub(super) duties: DutyCalls,
    /// Calls of duties that have ended.
    pub(super) duty_ends: mpsc::UnboundedReceiver<DutyEnded>,
}

impl FencedCalls {
    /// Nothing is under way yet.
    pub(super) fn new(context: &Context, epoch: Epoch) -> Self {
        let (load_sender, load_ends) = mpsc::unbounded_channel();
        let (duty_sender, duty_ends) = mpsc::unbounded_channel();
        let loads = LoadOrders::new(context.clone(), epoch, load_sender);
        let duties = DutyCalls::new(context.clone(), epoch, duty_sender);
        Self { loads, load_ends, duties, duty_ends }
    }
}
