//! Estimates the memory that is needed to read a JSON text, before it is read.
//!
//! Texts and their decoded forms take no more than the JSON text itself. What may take many times that is the bookkeeping
//! of values that are short or empty, so that they are counted.

/// Memory for one value beside its text: its share of the struct that holds it, of growing lists, and its own allocation.
const VALUE_BYTES: u64 = 160;

/// Returns the most memory that the values of a JSON text and copies of them are expected to take, in bytes. The bookkeeping
/// of values covers two copies.
pub fn memory_bytes(text: &[u8], copies: u64) -> u64 {
    text.len() as u64 * copies + VALUE_BYTES * separators(text)
}

/// Counts the signs outside of strings that begin a value or a list of values.
fn separators(text: &[u8]) -> u64 {
    let mut count = 0;
    let mut position = 0;
    while let Some(byte) = text.get(position) {
        position += 1;
        match byte {
            b',' | b':' | b'[' | b'{' => count += 1,
            b'"' => position = end_of_string(text, position),
            _ => {}
        }
    }
    count
}

/// Returns the position after the end of the string whose content begins at `begin`.
fn end_of_string(text: &[u8], begin: usize) -> usize {
    let mut position = begin;
    while let Some(offset) = text.get(position..).and_then(|rest| memchr::memchr2(b'"', b'\\', rest)) {
        position += offset + 1;
        if text[position - 1] == b'"' {
            return position;
        }
        position += 1;
    }
    text.len()
}
