//! Where results and notes go.
//!
//! Results go to standard output, for people or as JSON; notes to standard error. Owns no format: each command renders its own.

use std::io::Write;

use serde::Serialize;

use crate::error::CliError;

/// Results go to one writer, notes for people to another.
pub struct Output<'a> {
    results: &'a mut dyn Write,
    notes: &'a mut dyn Write,
    json: bool,
}

impl<'a> Output<'a> {
    /// An output; with `json`, results are JSON, one value a line.
    pub fn new(results: &'a mut dyn Write, notes: &'a mut dyn Write, json: bool) -> Self {
        Self { results, notes, json }
    }

    /// Prints a line of text.
    ///
    /// # Errors
    /// When it can't be written.
    pub fn line(&mut self, text: &str) -> Result<(), CliError> {
        writeln!(self.results, "{text}")?;
        self.results.flush()?;
        Ok(())
    }

    /// Prints a result: as one line of JSON, or as the text for people.
    ///
    /// # Errors
    /// When it can't be written.
    pub fn result<Value: Serialize>(
        &mut self,
        value: &Value,
        for_people: impl FnOnce() -> String,
    ) -> Result<(), CliError> {
        if self.json {
            let text = serde_json::to_string(value).map_err(std::io::Error::from)?;
            return self.line(&text);
        }
        self.line(&for_people())
    }

    /// Prints a note for people, apart from the results.
    ///
    /// # Errors
    /// When it can't be written.
    pub fn note(&mut self, text: &str) -> Result<(), CliError> {
        writeln!(self.notes, "lichenpulley: {text}")?;
        Ok(())
    }
}
