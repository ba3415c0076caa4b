//! Experiments on the virtual clock.

mod routing;

use crate::error::LabError;

/// `lichenpulley-lab experiment NAME`.
///
/// # Errors
/// When the command line is wrong or a result can't be written.
pub async fn run(arguments: &[String]) -> Result<(), LabError> {
    match arguments.split_first() {
        Some((name, rest)) if name == "routing" => routing::run(rest),
        _ => Err(LabError::Usage("experiment: name one of: routing".to_owned())),
    }
}
