//! Output of the commands.
//!
//! Results go to standard output, as text or as JSON, and notes go to standard error. Each command renders its own text.

use std::io::Write;

use serde::Serialize;

use crate::error::CliError;

/// Writes results to one writer and notes to another.
pub struct Output<'a> {
    results: &'a mut dyn Write,
    notes: &'a mut dyn Write,
    json: bool,
}

impl<'a> Output<'a> {
    /// Creates an output. With `json`, each result is printed as one line of JSON.
    pub fn new(results: &'a mut dyn Write, notes: &'a mut dyn Write, json: bool) -> Self {
        Self { results, notes, json }
    }

    /// Prints a line of text.
    ///
    /// # Errors
    /// Returns [`CliError::Output`] if the writer fails.
    pub fn line(&mut self, text: &str) -> Result<(), CliError> {
        writeln!(self.results, "{text}")?;
        self.results.flush()?;
        Ok(())
    }

    /// Prints a result as one line of JSON, or else as the text that `render_text` returns.
    ///
    /// # Errors
    /// Returns [`CliError::Output`] if the writer fails.
    pub fn result<Value: Serialize>(
        &mut self,
        value: &Value,
        render_text: impl FnOnce() -> String,
    ) -> Result<(), CliError> {
        if self.json {
            let text = serde_json::to_string(value).map_err(std::io::Error::from)?;
            return self.line(&text);
        }
        self.line(&render_text())
    }

    /// Prints a note, separate from the results.
    ///
    /// # Errors
    /// Returns [`CliError::Output`] if the writer fails.
    pub fn note(&mut self, text: &str) -> Result<(), CliError> {
        writeln!(self.notes, "lichenpulley: {text}")?;
        Ok(())
    }
}
