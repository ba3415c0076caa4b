//! The page of the design leads from a question to a module: each path that it names must exist.

use std::path::Path;

/// The root of the repository.
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// How the page begins a path, and the folder that it stands for.
const FOLDERS: [(&str, &str); 4] = [
    ("core/", "crates/core/src"),
    ("daemon/", "crates/daemon/src"),
    ("protocol/", "crates/protocol/src"),
    ("platform/", "platform/src"),
];

/// What stands between backticks on a page.
fn quoted(page: &str) -> impl Iterator<Item = &str> {
    page.lines().flat_map(|line| line.split('`').skip(1).step_by(2))
}

/// Whether a path names a module, as a file or as a folder.
fn is_module(folder: &str, module: &str) -> bool {
    let path = Path::new(ROOT).join(folder).join(module);
    path.is_dir() || path.with_extension("rs").is_file()
}

#[test]
fn each_module_that_the_page_of_the_design_names_exists() {
    let page = std::fs::read_to_string(Path::new(ROOT).join("docs/design/README.md")).expect("the page");
    let mut named = 0;
    let mut missing = Vec::new();
    for text in quoted(&page) {
        let module = FOLDERS.iter().find_map(|(prefix, folder)| Some((folder, text.strip_prefix(prefix)?)));
        let Some((folder, module)) = module else { continue };
        named += 1;
        if !is_module(folder, module) {
            missing.push(text);
        }
    }
    assert!(missing.is_empty(), "name the modules by where they stand now: {missing:?}");
    // A page whose paths are written in another way would pass unread.
    assert!(named > 100, "only {named} modules are named");
}
