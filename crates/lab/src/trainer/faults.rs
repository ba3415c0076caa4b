//! Faults of the trainer.

/// One crash, at the next time the trainer comes to that point. What it had not saved is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrainerFault {
    /// Where it crashes.
    pub crash: CrashPoint,
    /// How long it is away, in milliseconds.
    pub down_ms: u64,
}

/// Where a trainer crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Samples were pulled; neither they nor the cursor were saved.
    BeforeSavingCursor,
    /// Samples and cursor were saved; nothing was done with them.
    AfterSavingCursor,
    /// A step was trained; that was not saved.
    BeforeSavingStep,
    /// A step was trained and saved; its weights were not published.
    AfterSavingStep,
}
