//! Which module may import what: the head of `context.rs` says it, and this reads the sources for it.
//!
//! A file that the context imports must not import the context, neither itself nor through what it imports; otherwise each
//! part of the daemon needs every other part.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs;
use std::path::Path;

/// The daemon's sources.
const SOURCES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src");

/// The module of the context.
const CONTEXT: &str = "context";

/// The modules of the handles by which a part of the node reaches the others. Each must be one that the context imports,
/// so that a handle that moves is noticed here.
const HANDLES: [&str; 9] = [
    "configuration::handle",
    "configuration::view",
    "decisions",
    "duties::node_usage",
    "membership::handle",
    "metadata::handle",
    "peers",
    "quarantine::handle",
    "store::replica_set_cache",
];

/// The daemon's modules: text without comments, by path from the root (`metadata::handle`; the root itself is empty).
struct Modules(BTreeMap<String, String>);

/// One import: the path as written, and the module that it leads to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Import {
    path: String,
    module: String,
}

impl Modules {
    fn read() -> Self {
        let mut modules = BTreeMap::new();
        read_folder(Path::new(SOURCES), "", &mut modules);
        Self(modules)
    }

    /// What a module imports of the daemon.
    fn imports(&self, module: &str) -> BTreeSet<Import> {
        let paths = paths_in(&self.0[module]);
        paths.into_iter().filter_map(|path| self.resolve(module, path)).collect()
    }

    /// The deepest module that a path names; `None` for a path into another crate.
    fn resolve(&self, from: &str, path: String) -> Option<Import> {
        let mut base: Vec<&str> = from.split("::").filter(|name| !name.is_empty()).collect();
        let mut names = path.split("::").peekable();
        let is_child = |name: &&str| self.0.contains_key(&joined(&base, name));
        if !names.peek().is_some_and(|name| matches!(*name, "crate" | "self" | "super") || is_child(name)) {
            return None;
        }
        for name in names {
            match name {
                "crate" => base.clear(),
                "self" => {}
                "super" => drop(base.pop()),
                name if self.0.contains_key(&joined(&base, name)) => base.push(name),
                _ => break,
            }
        }
        let module = base.join("::");
        (module != from).then_some(Import { path, module })
    }

    /// The shortest way by imports from one module to another: each module on it with the import that leads on.
    fn way(&self, from: &str, to: &str) -> Option<Vec<(String, Import)>> {
        let mut reached = BTreeSet::from([from.to_owned()]);
        let mut waiting = VecDeque::from([(from.to_owned(), Vec::new())]);
        while let Some((module, way)) = waiting.pop_front() {
            for import in self.imports(&module) {
                let mut longer: Vec<(String, Import)> = way.clone();
                longer.push((module.clone(), import.clone()));
                if import.module == to {
                    return Some(longer);
                }
                if reached.insert(import.module.clone()) {
                    waiting.push_back((import.module, longer));
                }
            }
        }
        None
    }

    /// What is wrong with a module that the context imports, and which import to remove; `None` where nothing is.
    fn fault(&self, module: &str) -> Option<String> {
        let way = self.way(module, CONTEXT)?;
        // What imports the context itself stands above it: the import to remove is the one that leads there.
        let (file, import) = &way[way.len().saturating_sub(2)];
        let steps: Vec<&str> = way.iter().map(|(module, _)| module.as_str()).collect();
        let steps = steps.join(" -> ");
        Some(format!(
            "{module} reaches the context ({steps}): remove the import of {} from {file}",
            import.path
        ))
    }
}

fn joined(base: &[&str], name: &str) -> String {
    [base, &[name]].concat().join("::")
}

fn read_folder(folder: &Path, module: &str, modules: &mut BTreeMap<String, String>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        let name = path.file_stem().and_then(|name| name.to_str()).expect("a name in UTF-8");
        let parents: Vec<&str> = module.split("::").filter(|name| !name.is_empty()).collect();
        let child = joined(&parents, name);
        if path.is_dir() {
            read_folder(&path, &child, modules);
            continue;
        }
        let key = if matches!(name, "mod" | "lib") { module.to_owned() } else { child };
        modules.insert(key, without_comments(&fs::read_to_string(&path).expect("a source")));
    }
}

fn without_comments(text: &str) -> String {
    let code = text.lines().map(|line| line.split("//").next().unwrap_or_default());
    code.collect::<Vec<&str>>().join("\n")
}

/// All paths of a source: those of its imports, with their braces resolved, and those written out in its code.
fn paths_in(text: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for statement in text.split_inclusive(';') {
        let import = statement.rfind("use ").filter(|at| is_import(statement, *at));
        match import {
            Some(at) => {
                expand("", statement[at + "use ".len()..].trim_end_matches(';'), &mut paths);
                paths.extend(written_paths(&statement[..at]));
            }
            None => paths.extend(written_paths(statement)),
        }
    }
    paths
}

/// Whether `use` at this place begins an import: a word of its own, with nothing but its visibility before it.
fn is_import(statement: &str, at: usize) -> bool {
    let before = statement[..at].lines().last().unwrap_or_default().trim();
    let starts_line = statement[..at].is_empty() || statement[..at].ends_with(['\n', ' ', ')']);
    starts_line && (before.is_empty() || before.starts_with("pub"))
}

/// The paths of an import's tree.
fn expand(prefix: &str, tree: &str, paths: &mut Vec<String>) {
    let tree = tree.trim();
    let Some(open) = tree.find('{') else {
        let name = tree.split_whitespace().next().unwrap_or_default();
        paths.push(format!("{prefix}{name}"));
        return;
    };
    let prefix = format!("{prefix}{}", &tree[..open]);
    let inner = tree[open + 1..].trim_end().trim_end_matches('}');
    let (mut depth, mut begin) = (0_usize, 0);
    // A nested tree at the end has lost its closing brace with the outer one; its own call needs none.
    for (at, sign) in inner.char_indices() {
        match sign {
            '{' => depth += 1,
            '}' => depth = depth.saturating_sub(1),
            ',' if depth == 0 => {
                expand(&prefix, &inner[begin..at], paths);
                begin = at + 1;
            }
            _ => {}
        }
    }
    if !inner[begin..].trim().is_empty() {
        expand(&prefix, &inner[begin..], paths);
    }
}

/// Paths from the root or the module above that stand in code.
fn written_paths(code: &str) -> impl Iterator<Item = String> {
    let words = code.split(|sign: char| !(sign.is_alphanumeric() || sign == '_' || sign == ':'));
    let paths =
        words.filter(|word| ["crate::", "self::", "super::"].iter().any(|root| word.starts_with(root)));
    paths.map(str::to_owned)
}

#[test]
fn no_file_that_the_context_imports_reaches_the_context() {
    let modules = Modules::read();
    let imported: BTreeSet<String> =
        modules.imports(CONTEXT).into_iter().map(|import| import.module).collect();
    let missing: Vec<&&str> = HANDLES.iter().filter(|handle| !imported.contains(**handle)).collect();
    assert!(
        missing.is_empty(),
        "let the context import the handle's own file, or rename it here: {missing:?}"
    );
    let faults: Vec<String> = imported.iter().filter_map(|module| modules.fault(module)).collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn no_file_of_the_metadata_imports_the_batch_jobs() {
    let modules = Modules::read();
    let of_metadata = modules.0.keys().filter(|module| module.split("::").next() == Some("metadata"));
    for module in of_metadata {
        for import in modules.imports(module) {
            let is_batch = import.module.split("::").next() == Some("batch");
            assert!(
                !is_batch,
                "remove the import of {} from {module}: the batch jobs import the metadata",
                import.path
            );
        }
    }
}

#[test]
fn imports_are_read_in_every_form() {
    let read = |text: &str| paths_in(&without_comments(text));
    assert_eq!(
        read("use crate::context::{Context, NodeContext};"),
        ["crate::context::Context", "crate::context::NodeContext"]
    );
    let nested = "pub(crate) use crate::{\n    context::{self, Context},\n    peers::{a::{B, C}},\n};\n";
    let expected =
        ["crate::context::self", "crate::context::Context", "crate::peers::a::B", "crate::peers::a::C"];
    assert_eq!(read(nested), expected);
    assert_eq!(read("fn f(c: &crate::context::Context) {}"), ["crate::context::Context"]);
    assert_eq!(read("// use crate::context::Context;\nmod a;"), [""; 0]);
}

#[test]
fn what_imports_the_context_is_found_directly_and_through_others() {
    let texts = [
        ("context", ""),
        ("part", "use crate::context::Context;"),
        ("part::records", ""),
        ("direct", "use super::context::Context;"),
        ("through", "use crate::middle::Thing;"),
        ("middle", "use crate::part::Records;"),
        ("free", "use crate::part::records::Records;"),
    ];
    let modules = Modules(texts.map(|(module, text)| (module.to_owned(), text.to_owned())).into());
    let expected =
        "direct reaches the context (direct): remove the import of super::context::Context from direct";
    assert_eq!(modules.fault("direct").as_deref(), Some(expected));
    let expected = "through reaches the context (through -> middle -> part): remove the import of \
                    crate::part::Records from middle";
    assert_eq!(modules.fault("through").as_deref(), Some(expected));
    assert_eq!(modules.fault("free"), None);
}
