//! Extracts typed values from a TOML table and collects all problems.
//!
//! Records which keys were read, so that every other key of the file is rejected as unknown.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use toml::{Table, Value};

use super::problem::{SettingsError, SettingsProblem};

/// Default and accepted range of a number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Value used when the key is absent.
    pub default: u64,
    /// Accepted range.
    pub accepted: RangeInclusive<u64>,
}

/// A key that a settings file may hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownKey {
    /// The key with its table.
    pub key: String,
    /// Default and accepted range, for a whole number.
    pub bounds: Option<Bounds>,
}

/// Removes values from a table by key; the keys left at the end are unknown.
///
/// An invalid value is recorded as a problem and replaced by its default, so that reading continues.
pub(super) struct SettingsReader {
    table: Table,
    known: Vec<KnownKey>,
    problems: Vec<SettingsProblem>,
}

impl SettingsReader {
    /// Creates a reader of a parsed file.
    pub fn new(table: Table) -> Self {
        Self { table, known: Vec::new(), problems: Vec::new() }
    }

    /// Records a problem.
    pub fn add_problem(&mut self, key: &str, message: impl Into<String>, remedy: impl Into<String>) {
        let problem = SettingsProblem { key: key.to_owned(), message: message.into(), remedy: remedy.into() };
        self.problems.push(problem);
    }

    /// Returns whether a problem was recorded for a key.
    pub fn has_problem(&self, key: &str) -> bool {
        self.problems.iter().any(|problem| problem.key == key)
    }

    /// Reads a required name, made of letters, digits, `-`, `_` and `.`.
    pub fn name(&mut self, key: &str) -> String {
        let Some(name) = self.optional_text(key) else {
            if !self.has_problem(key) {
                self.add_problem(key, "is missing", format!("add `{key} = \"...\"` or give the flag for it"));
            }
            return String::new();
        };
        self.check_name(key, &name);
        name
    }

    /// Reads an optional name.
    pub fn optional_name(&mut self, key: &str) -> Option<String> {
        let name = self.optional_text(key)?;
        self.check_name(key, &name).then_some(name)
    }

    /// Reads a table that maps names to names; empty when absent.
    pub fn name_table(&mut self, key: &str) -> BTreeMap<String, String> {
        let Some(value) = self.take(key) else { return BTreeMap::new() };
        let Value::Table(entries) = value else {
            self.add_type_problem(key, &value, "a table such as { a = \"b\" }");
            return BTreeMap::new();
        };
        let mut names = BTreeMap::new();
        for (name, value) in entries {
            let Value::String(text) = value else {
                self.add_type_problem(key, &value, "names in quotes");
                continue;
            };
            if self.check_name(key, &name) && self.check_name(key, &text) {
                names.insert(name, text);
            }
        }
        names
    }

    /// Reads an optional string.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        match self.take(key)? {
            Value::String(text) => Some(text),
            other => {
                self.add_type_problem(key, &other, "a string in quotes");
                None
            }
        }
    }

    /// Reads a list of strings; empty when absent.
    pub fn text_list(&mut self, key: &str) -> Vec<String> {
        let Some(value) = self.take(key) else { return Vec::new() };
        let Value::Array(items) = value else {
            self.add_type_problem(key, &value, "a list such as [\"a\", \"b\"]");
            return Vec::new();
        };
        let mut texts = Vec::with_capacity(items.len());
        for item in items {
            match item {
                Value::String(text) => texts.push(text),
                other => self.add_type_problem(key, &other, "strings in quotes"),
            }
        }
        texts
    }

    /// Reads a required listen address.
    pub fn listen_address(&mut self, key: &str) -> SocketAddr {
        let unspecified = SocketAddr::from(([127, 0, 0, 1], 0));
        match self.optional_text(key) {
            Some(text) => self.parse_address(key, &text).unwrap_or(unspecified),
            None => {
                if !self.has_problem(key) {
                    self.add_problem(key, "is missing", format!("add `{key}`, such as \"10.0.0.1:7000\""));
                }
                unspecified
            }
        }
    }

    /// Reads the optional address of a remote service. A leading `http://` is accepted.
    pub fn service_address(&mut self, key: &str) -> Option<SocketAddr> {
        let text = self.optional_text(key)?;
        let bare = text.strip_prefix("http://").unwrap_or(&text).trim_end_matches('/');
        self.dial_address(key, bare)
    }

    /// Reads a list of addresses of other nodes; empty when absent.
    pub fn address_list(&mut self, key: &str) -> Vec<SocketAddr> {
        let texts = self.text_list(key);
        let mut addresses = Vec::with_capacity(texts.len());
        for text in &texts {
            let Some(address) = self.dial_address(key, text) else { continue };
            if addresses.contains(&address) {
                self.add_problem(key, format!("{address} is listed twice"), "list each address once");
                continue;
            }
            addresses.push(address);
        }
        addresses
    }

    /// Reads a whole number within bounds.
    pub fn number(&mut self, key: &str, default: u64, accepted: RangeInclusive<u64>) -> u64 {
        let value = self.take(key);
        if let Some(known) = self.known.last_mut() {
            known.bounds = Some(Bounds { default, accepted: accepted.clone() });
        }
        let Some(value) = value else { return default };
        let Value::Integer(number) = value else {
            self.add_type_problem(key, &value, "a whole number");
            return default;
        };
        let number_in_bounds = u64::try_from(number).ok().filter(|number| accepted.contains(number));
        if number_in_bounds.is_none() {
            let remedy = format!("use {} to {}", accepted.start(), accepted.end());
            self.add_problem(key, format!("{number} is out of bounds"), remedy);
        }
        number_in_bounds.unwrap_or(default)
    }

    /// Reads a count or a number of bytes, within bounds.
    pub fn count(&mut self, key: &str, default: usize, accepted: RangeInclusive<usize>) -> usize {
        let (min, max) = accepted.into_inner();
        let number = self.number(key, default as u64, min as u64..=max as u64);
        // Never fails: the number lies within bounds that are `usize`.
        usize::try_from(number).unwrap_or(default)
    }

    /// Reads a whole number of 32 bits, within bounds.
    pub fn number_u32(&mut self, key: &str, default: u32, accepted: RangeInclusive<u32>) -> u32 {
        let (min, max) = accepted.into_inner();
        let number = self.number(key, default.into(), min.into()..=max.into());
        // Never fails: the number lies within bounds that are `u32`.
        u32::try_from(number).unwrap_or(default)
    }

    /// Reads a floating-point number within bounds.
    pub fn float(&mut self, key: &str, default: f64, accepted: RangeInclusive<f64>) -> f64 {
        let Some(value) = self.take(key) else { return default };
        let number = match value {
            Value::Integer(number) => number as f64,
            Value::Float(number) => number,
            other => {
                self.add_type_problem(key, &other, "a number");
                return default;
            }
        };
        if accepted.contains(&number) {
            return number;
        }
        let remedy = format!("use {} to {}", accepted.start(), accepted.end());
        self.add_problem(key, format!("{number} is out of bounds"), remedy);
        default
    }

    /// Reads a duration in milliseconds; the key ends in `_ms`.
    pub fn milliseconds(&mut self, key: &str, default: u64, accepted: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(key, default, accepted))
    }

    /// Returns every key read so far.
    pub fn known_keys(&self) -> &[KnownKey] {
        &self.known
    }

    /// Records every unread key as a problem and ends reading.
    ///
    /// # Errors
    /// Returns all recorded problems.
    pub fn finish(mut self) -> Result<(), SettingsError> {
        let mut unknown = Vec::new();
        collect_keys(&self.table, "", &mut unknown);
        for key in unknown {
            let remedy = match self.nearest_known(&key) {
                Some(known) => format!("remove it, or did you mean `{known}`?"),
                None => "remove it; docs/operators/settings.md lists every key".to_owned(),
            };
            self.add_problem(&key, "is not a known setting", remedy);
        }
        if self.problems.is_empty() { Ok(()) } else { Err(SettingsError::Values(self.problems)) }
    }

    fn take(&mut self, key: &str) -> Option<Value> {
        self.known.push(KnownKey { key: key.to_owned(), bounds: None });
        match key.split_once('.') {
            None => self.table.remove(key),
            Some((table, inner)) => self.table.get_mut(table)?.as_table_mut()?.remove(inner),
        }
    }

    /// Returns whether a string is a valid name; records a problem if it is not.
    fn check_name(&mut self, key: &str, name: &str) -> bool {
        let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
        let is_name = !name.is_empty() && name.chars().all(allowed);
        if !is_name {
            self.add_problem(
                key,
                format!("\"{name}\" is not a valid name"),
                "use letters, digits, `-`, `_` and `.` only",
            );
        }
        is_name
    }

    fn add_type_problem(&mut self, key: &str, found: &Value, wanted: &str) {
        let message = format!("holds {} of type {}", found, found.type_str());
        self.add_problem(key, message, format!("give {wanted}"));
    }

    fn parse_address(&mut self, key: &str, text: &str) -> Option<SocketAddr> {
        // The parser's error is dropped; the remedy shows the expected format.
        let address = text.parse().ok();
        if address.is_none() {
            let message = format!("\"{text}\" is not a valid address");
            self.add_problem(key, message, "give an IP address and a port, such as \"10.0.0.1:7000\"");
        }
        address
    }

    fn dial_address(&mut self, key: &str, text: &str) -> Option<SocketAddr> {
        let address = self.parse_address(key, text)?;
        if address.port() == 0 {
            self.add_problem(
                key,
                format!("{address} has port 0"),
                "give the port that the service listens on",
            );
            return None;
        }
        Some(address)
    }

    fn nearest_known(&self, key: &str) -> Option<&str> {
        let last = |key: &str| key.rsplit('.').next().unwrap_or_default().to_owned();
        let wanted = last(key);
        let similar = |known: &&str| {
            let known = last(known);
            known.starts_with(&wanted) || wanted.starts_with(&known) || differs_by_one(&known, &wanted)
        };
        self.known.iter().map(|known| known.key.as_str()).find(similar)
    }
}

/// Returns whether two words differ in at most one letter that is replaced, missing or added.
fn differs_by_one(one: &str, other: &str) -> bool {
    let (one, other) = (one.as_bytes(), other.as_bytes());
    let same_start = one.iter().zip(other).take_while(|(a, b)| a == b).count();
    let same_end = one.iter().rev().zip(other.iter().rev()).take_while(|(a, b)| a == b).count();
    let longer = one.len().max(other.len());
    one.len().abs_diff(other.len()) <= 1 && same_start + same_end + 1 >= longer
}

fn collect_keys(table: &Table, prefix: &str, keys: &mut Vec<String>) {
    for (name, value) in table {
        let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
        match value {
            // A table itself is never removed, even when all of its keys were read.
            Value::Table(inner) => collect_keys(inner, &key, keys),
            _ => keys.push(key),
        }
    }
}
