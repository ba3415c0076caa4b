//! Checks the layering of the daemon's modules, which is described in `context.rs`.
//!
//! A file that the context imports must not import the context, directly or indirectly. Otherwise each module of the
//! daemon would depend on every other one.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs;
use std::path::Path;

/// Folder of the daemon's sources.
const SOURCES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/src");

/// Path of the context's module.
const CONTEXT: &str = "context";

/// The modules of the handles through which the parts of a node reach each other. The context must import each of
/// them, so that this list is updated when a handle is moved.
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

/// Source text of the daemon's modules without comments, by path such as `metadata::handle`. The path of the root
/// is empty.
struct Modules(BTreeMap<String, String>);

/// One import: the path as written and the module that it resolves to.
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

    /// Returns the imports of a module from the daemon.
    fn imports(&self, module: &str) -> BTreeSet<Import> {
        let paths = paths_in(&self.0[module]);
        paths.into_iter().filter_map(|path| self.resolve(module, path)).collect()
    }

    /// Resolves a path to the innermost module that it names. Returns `None` for a path into another crate or into
    /// `from` itself.
    fn resolve(&self, from: &str, path: String) -> Option<Import> {
        let mut base: Vec<&str> = from.split("::").filter(|name| !name.is_empty()).collect();
        let mut names = path.split("::").peekable();
        let is_child = |name: &&str| self.0.contains_key(&join_path(&base, name));
        if !names.peek().is_some_and(|name| matches!(*name, "crate" | "self" | "super") || is_child(name)) {
            return None;
        }
        for name in names {
            match name {
                "crate" => base.clear(),
                "self" => {}
                "super" => drop(base.pop()),
                name if self.0.contains_key(&join_path(&base, name)) => base.push(name),
                _ => break,
            }
        }
        let module = base.join("::");
        (module != from).then_some(Import { path, module })
    }

    /// Returns the shortest chain of imports from one module to another: each module with the import that leads to
    /// the next one. Returns `None` if there is none.
    fn chain(&self, from: &str, to: &str) -> Option<Vec<(String, Import)>> {
        let mut visited = BTreeSet::from([from.to_owned()]);
        let mut queue = VecDeque::from([(from.to_owned(), Vec::new())]);
        while let Some((module, chain)) = queue.pop_front() {
            for import in self.imports(&module) {
                let mut extended: Vec<(String, Import)> = chain.clone();
                extended.push((module.clone(), import.clone()));
                if import.module == to {
                    return Some(extended);
                }
                if visited.insert(import.module.clone()) {
                    queue.push_back((import.module, extended));
                }
            }
        }
        None
    }

    /// Describes how a module imported by the context reaches it, and which import to remove. Returns `None` if it
    /// does not.
    fn violation(&self, module: &str) -> Option<String> {
        let chain = self.chain(module, CONTEXT)?;
        // The last module of the chain imports the context and so belongs to a higher layer; the import to remove is the
        // one that leads to that module.
        let (file, import) = &chain[chain.len().saturating_sub(2)];
        let steps: Vec<&str> = chain.iter().map(|(module, _)| module.as_str()).collect();
        let steps = steps.join(" -> ");
        Some(format!(
            "{module} reaches the context ({steps}): remove the import of {} from {file}",
            import.path
        ))
    }
}

fn join_path(base: &[&str], name: &str) -> String {
    [base, &[name]].concat().join("::")
}

fn read_folder(folder: &Path, module: &str, modules: &mut BTreeMap<String, String>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        let name = path.file_stem().and_then(|name| name.to_str()).expect("a name in UTF-8");
        let parents: Vec<&str> = module.split("::").filter(|name| !name.is_empty()).collect();
        let child = join_path(&parents, name);
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

/// Returns all paths of a source text: those of its imports, with braces expanded, and those written in its code.
fn paths_in(text: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for statement in text.split_inclusive(';') {
        let import = statement.rfind("use ").filter(|position| is_import(statement, *position));
        match import {
            Some(position) => {
                expand("", statement[position + "use ".len()..].trim_end_matches(';'), &mut paths);
                paths.extend(inline_paths(&statement[..position]));
            }
            None => paths.extend(inline_paths(statement)),
        }
    }
    paths
}

/// Returns whether `use` at this position begins an import, preceded by nothing but a visibility.
fn is_import(statement: &str, position: usize) -> bool {
    let before = statement[..position].lines().last().unwrap_or_default().trim();
    let starts_line = statement[..position].is_empty() || statement[..position].ends_with(['\n', ' ', ')']);
    starts_line && (before.is_empty() || before.starts_with("pub"))
}

/// Appends the paths of a `use` tree to `paths`.
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
    // Trimming the closing brace also removes that of a nested tree at the end, whose expansion does not need it.
    for (position, character) in inner.char_indices() {
        match character {
            '{' => depth += 1,
            '}' => depth = depth.saturating_sub(1),
            ',' if depth == 0 => {
                expand(&prefix, &inner[begin..position], paths);
                begin = position + 1;
            }
            _ => {}
        }
    }
    if !inner[begin..].trim().is_empty() {
        expand(&prefix, &inner[begin..], paths);
    }
}

/// Returns the paths in code that begin with `crate`, `self` or `super`.
fn inline_paths(code: &str) -> impl Iterator<Item = String> {
    let words =
        code.split(|character: char| !(character.is_alphanumeric() || character == '_' || character == ':'));
    let paths =
        words.filter(|word| ["crate::", "self::", "super::"].iter().any(|root| word.starts_with(root)));
    paths.map(str::to_owned)
}

#[test]
fn files_imported_by_the_context_do_not_reach_it() {
    let modules = Modules::read();
    let imported: BTreeSet<String> =
        modules.imports(CONTEXT).into_iter().map(|import| import.module).collect();
    let missing: Vec<&&str> = HANDLES.iter().filter(|handle| !imported.contains(**handle)).collect();
    assert!(
        missing.is_empty(),
        "import these handles in the context, or correct their paths in this test: {missing:?}"
    );
    let violations: Vec<String> = imported.iter().filter_map(|module| modules.violation(module)).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn metadata_does_not_import_batch() {
    let modules = Modules::read();
    let metadata_modules = modules.0.keys().filter(|module| module.split("::").next() == Some("metadata"));
    for module in metadata_modules {
        for import in modules.imports(module) {
            let is_batch = import.module.split("::").next() == Some("batch");
            assert!(
                !is_batch,
                "remove the import of {} from {module}: the batch jobs may import the metadata but not the reverse",
                import.path
            );
        }
    }
}

#[test]
fn all_forms_of_imports_are_parsed() {
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
fn direct_and_indirect_imports_of_the_context_are_detected() {
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
    assert_eq!(modules.violation("direct").as_deref(), Some(expected));
    let expected = "through reaches the context (through -> middle -> part): remove the import of \
                    crate::part::Records from middle";
    assert_eq!(modules.violation("through").as_deref(), Some(expected));
    assert_eq!(modules.violation("free"), None);
}
