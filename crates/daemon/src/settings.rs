//! The settings file: parsed once into checked values.

/// Checked settings.
#[derive(Clone, Debug, Default)]
pub struct Settings {}
