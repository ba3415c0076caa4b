//! The estimate of the memory that a JSON text takes once it is read.

use lichenpulley_core::intake::json::memory_bytes;

/// Memory of one value in the estimate.
fn value_bytes() -> u64 {
    memory_bytes(b"[", 1) - 1
}

fn values(text: &str) -> u64 {
    (memory_bytes(text.as_bytes(), 1) - text.len() as u64) / value_bytes()
}

#[test]
fn values_of_lists_and_objects_are_counted() {
    assert_eq!(values("\"text\""), 0);
    assert_eq!(values("[1, 2, 3]"), 3);
    assert_eq!(values(r#"{"a": "", "b": []}"#), 5);
}

/// A long text with commas, such as a prompt, is one value.
#[test]
fn what_stands_in_strings_is_not_counted() {
    assert_eq!(values(r#"["a,b:[{", "c\"d,e", "f\\", "g,"]"#), 4);
    assert_eq!(values("\"no end, \\"), 0);
}

#[test]
fn a_job_of_tiny_items_is_estimated_at_many_times_its_length() {
    let items = r#"{"id":"","path":""},"#.repeat(1_000);
    assert!(memory_bytes(items.as_bytes(), 1) > 40 * items.len() as u64);
}

#[test]
fn a_text_of_one_long_string_is_estimated_at_its_length() {
    let text = format!("{{\"body\":\"{}\"}}", "a".repeat(1 << 20));
    assert!(memory_bytes(text.as_bytes(), 1) < text.len() as u64 + 1_000);
}

#[test]
fn copies_of_the_text_are_counted() {
    assert_eq!(memory_bytes(b"\"text\"", 7), 42);
}
