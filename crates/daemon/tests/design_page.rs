//! Checks that each module path named by the design page exists.

use std::path::Path;

/// Root folder of the repository.
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

/// Path prefixes used on the page and the folders that they stand for.
const FOLDERS: [(&str, &str); 4] = [
    ("core/", "crates/core/src"),
    ("daemon/", "crates/daemon/src"),
    ("protocol/", "crates/protocol/src"),
    ("platform/", "platform/src"),
];

/// Returns the text of all code spans of a page.
fn code_spans(page: &str) -> impl Iterator<Item = &str> {
    page.lines().flat_map(|line| line.split('`').skip(1).step_by(2))
}

/// Returns whether a module exists as a file or a folder.
fn module_exists(folder: &str, module: &str) -> bool {
    let path = Path::new(ROOT).join(folder).join(module);
    path.is_dir() || path.with_extension("rs").is_file()
}

#[test]
fn modules_named_by_the_design_page_exist() {
    let page = std::fs::read_to_string(Path::new(ROOT).join("docs/design/README.md")).expect("the page");
    let mut module_count = 0;
    let mut missing = Vec::new();
    for text in code_spans(&page) {
        let module = FOLDERS.iter().find_map(|(prefix, folder)| Some((folder, text.strip_prefix(prefix)?)));
        let Some((folder, module)) = module else { continue };
        module_count += 1;
        if !module_exists(folder, module) {
            missing.push(text);
        }
    }
    assert!(missing.is_empty(), "correct the paths of these modules on the design page: {missing:?}");
    // Guards against a page whose paths are written in a form that this test does not recognize.
    assert!(module_count > 100, "only {module_count} modules are named");
}
