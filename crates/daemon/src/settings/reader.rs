//! Reads typed values out of a TOML table and collects every problem on the way.
//!
//! Knows nothing of what the keys mean; it remembers which were asked for, so that every other key of a file is refused.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use toml::{Table, Value};

use super::problem::{SettingsError, SettingsProblem};

/// A number's default and the range that it is refused outside of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Where the key is absent.
    pub default: u64,
    /// What is accepted.
    pub accepted: RangeInclusive<u64>,
}

/// A key that was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownKey {
    /// The key, with its table.
    pub key: String,
    /// The default and the bounds of a number.
    pub bounds: Option<Bounds>,
}

/// Takes values out of a table by key; what is left at the end is unknown.
///
/// A wrong value is noted as a problem and stands as its default, so that reading goes on to the next one.
pub(super) struct SettingsReader {
    table: Table,
    known: Vec<KnownKey>,
    problems: Vec<SettingsProblem>,
}

impl SettingsReader {
    /// A reader of a parsed file.
    pub fn new(table: Table) -> Self {
        Self { table, known: Vec::new(), problems: Vec::new() }
    }

    /// Notes a problem.
    pub fn problem(&mut self, key: &str, message: impl Into<String>, remedy: impl Into<String>) {
        let problem = SettingsProblem { key: key.to_owned(), message: message.into(), remedy: remedy.into() };
        self.problems.push(problem);
    }

    /// Whether a problem with a key was noted.
    pub fn has_problem(&self, key: &str) -> bool {
        self.problems.iter().any(|problem| problem.key == key)
    }

    /// A name that must be given: letters, digits, `-`, `_` and `.`.
    pub fn name(&mut self, key: &str) -> String {
        let Some(name) = self.optional_text(key) else {
            if !self.has_problem(key) {
                self.problem(key, "is missing", format!("add `{key} = \"...\"` or give the flag for it"));
            }
            return String::new();
        };
        self.check_name(key, &name);
        name
    }

    /// A name that may be absent.
    pub fn optional_name(&mut self, key: &str) -> Option<String> {
        let name = self.optional_text(key)?;
        self.check_name(key, &name).then_some(name)
    }

    /// A table of names by names; empty where absent.
    pub fn name_table(&mut self, key: &str) -> BTreeMap<String, String> {
        let Some(value) = self.take(key) else { return BTreeMap::new() };
        let Value::Table(entries) = value else {
            self.wrong_type(key, &value, "a table such as { a = \"b\" }");
            return BTreeMap::new();
        };
        let mut names = BTreeMap::new();
        for (name, value) in entries {
            let Value::String(text) = value else {
                self.wrong_type(key, &value, "names in quotes");
                continue;
            };
            if self.check_name(key, &name) && self.check_name(key, &text) {
                names.insert(name, text);
            }
        }
        names
    }

    /// A text that may be absent.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        match self.take(key)? {
            Value::String(text) => Some(text),
            other => {
                self.wrong_type(key, &other, "a text in quotes");
                None
            }
        }
    }

    /// A list of texts; empty where absent.
    pub fn text_list(&mut self, key: &str) -> Vec<String> {
        let Some(value) = self.take(key) else { return Vec::new() };
        let Value::Array(items) = value else {
            self.wrong_type(key, &value, "a list such as [\"a\", \"b\"]");
            return Vec::new();
        };
        let mut texts = Vec::with_capacity(items.len());
        for item in items {
            match item {
                Value::String(text) => texts.push(text),
                other => self.wrong_type(key, &other, "texts in quotes"),
            }
        }
        texts
    }

    /// An address to listen on, which must be given.
    pub fn listen_address(&mut self, key: &str) -> SocketAddr {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        match self.optional_text(key) {
            Some(text) => self.parse_address(key, &text).unwrap_or(unset),
            None => {
                if !self.has_problem(key) {
                    self.problem(key, "is missing", format!("add `{key}`, such as \"10.0.0.1:7000\""));
                }
                unset
            }
        }
    }

    /// The address of a service elsewhere, which may be absent. `http://` before it is accepted.
    pub fn service_address(&mut self, key: &str) -> Option<SocketAddr> {
        let text = self.optional_text(key)?;
        let bare = text.strip_prefix("http://").unwrap_or(&text).trim_end_matches('/');
        self.reachable_address(key, bare)
    }

    /// Addresses of other nodes; empty where absent.
    pub fn address_list(&mut self, key: &str) -> Vec<SocketAddr> {
        let texts = self.text_list(key);
        let mut addresses = Vec::with_capacity(texts.len());
        for text in &texts {
            let Some(address) = self.reachable_address(key, text) else { continue };
            if addresses.contains(&address) {
                self.problem(key, format!("{address} is listed twice"), "list each address once");
                continue;
            }
            addresses.push(address);
        }
        addresses
    }

    /// A whole number within bounds.
    pub fn number(&mut self, key: &str, default: u64, accepted: RangeInclusive<u64>) -> u64 {
        let value = self.take(key);
        if let Some(known) = self.known.last_mut() {
            known.bounds = Some(Bounds { default, accepted: accepted.clone() });
        }
        let Some(value) = value else { return default };
        let Value::Integer(number) = value else {
            self.wrong_type(key, &value, "a whole number");
            return default;
        };
        let number_in_bounds = u64::try_from(number).ok().filter(|number| accepted.contains(number));
        if number_in_bounds.is_none() {
            let remedy = format!("use {} to {}", accepted.start(), accepted.end());
            self.problem(key, format!("{number} is out of bounds"), remedy);
        }
        number_in_bounds.unwrap_or(default)
    }

    /// How many of something, or how many bytes, within bounds.
    pub fn count(&mut self, key: &str, default: usize, accepted: RangeInclusive<usize>) -> usize {
        let (least, most) = accepted.into_inner();
        let number = self.number(key, default as u64, least as u64..=most as u64);
        // The bounds are counts of this machine, and so is what lies within them.
        usize::try_from(number).unwrap_or(default)
    }

    /// A whole number of 32 bits within bounds.
    pub fn small_number(&mut self, key: &str, default: u32, accepted: RangeInclusive<u32>) -> u32 {
        let (least, most) = accepted.into_inner();
        let number = self.number(key, default.into(), least.into()..=most.into());
        // The bounds have 32 bits, and so has what lies within them.
        u32::try_from(number).unwrap_or(default)
    }

    /// A number that may have a fraction, within bounds.
    pub fn fraction(&mut self, key: &str, default: f64, accepted: RangeInclusive<f64>) -> f64 {
        let Some(value) = self.take(key) else { return default };
        let number = match value {
            Value::Integer(number) => number as f64,
            Value::Float(number) => number,
            other => {
                self.wrong_type(key, &other, "a number");
                return default;
            }
        };
        if accepted.contains(&number) {
            return number;
        }
        let remedy = format!("use {} to {}", accepted.start(), accepted.end());
        self.problem(key, format!("{number} is out of bounds"), remedy);
        default
    }

    /// A duration given in milliseconds; the key ends in `_ms`.
    pub fn milliseconds(&mut self, key: &str, default: u64, accepted: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(key, default, accepted))
    }

    /// Every key asked for so far.
    pub fn known_keys(&self) -> &[KnownKey] {
        &self.known
    }

    /// Refuses whatever was not asked for, and gives all problems at once.
    ///
    /// # Errors
    /// With every problem noted.
    pub fn finish(mut self) -> Result<(), SettingsError> {
        let mut unknown = Vec::new();
        collect_keys(&self.table, "", &mut unknown);
        for key in unknown {
            let remedy = match self.nearest_known(&key) {
                Some(known) => format!("remove it, or did you mean `{known}`?"),
                None => "remove it; docs/operators/settings.md lists every key".to_owned(),
            };
            self.problem(&key, "is no setting", remedy);
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

    /// Whether a text is a name; noted where it is not.
    fn check_name(&mut self, key: &str, name: &str) -> bool {
        let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
        let is_name = !name.is_empty() && name.chars().all(allowed);
        if !is_name {
            self.problem(key, format!("\"{name}\" is no name"), "use letters, digits, `-`, `_` and `.` only");
        }
        is_name
    }

    fn wrong_type(&mut self, key: &str, found: &Value, wanted: &str) {
        let message = format!("holds {} of type {}", found, found.type_str());
        self.problem(key, message, format!("give {wanted}"));
    }

    fn parse_address(&mut self, key: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            let message = format!("\"{text}\" is no address");
            self.problem(key, message, "give an IP number and a port, such as \"10.0.0.1:7000\"");
        }
        address
    }

    fn reachable_address(&mut self, key: &str, text: &str) -> Option<SocketAddr> {
        let address = self.parse_address(key, text)?;
        if address.port() == 0 {
            self.problem(key, format!("{address} has no port to reach"), "give the port it listens on");
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

/// Whether two words are equal but for one letter that is changed, missing or doubled.
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
            // A table is left over even when all of its keys were read.
            Value::Table(inner) => collect_keys(inner, &key, keys),
            _ => keys.push(key),
        }
    }
}
