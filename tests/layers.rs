//! The layers of the crate: each source file imports only its own layer and those below it.

#![allow(clippy::expect_used, reason = "a panic is how a test fails")]

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The top-level modules, lowest layer first.
const LAYERS: [&[&str]; 7] = [
    &["transport"],
    &["protocol"],
    &["settings", "clock", "telemetry"],
    &["storage"],
    &["coordination"],
    &["api"],
    &["server", "cli"],
];
/// Fewer imports than this among all files would mean that the scan misses them.
const LEAST_IMPORTS: usize = 100;

/// Why a source text breaks the layers.
#[derive(Debug, PartialEq, Eq)]
enum Violation {
    /// `LAYERS` doesn't name this module.
    UnknownModule(String),
    /// A module imports one of a higher layer.
    Upward { from: String, to: String },
}

fn layer(module: &str) -> Result<usize, Violation> {
    LAYERS
        .iter()
        .position(|modules| modules.contains(&module))
        .ok_or_else(|| Violation::UnknownModule(module.to_owned()))
}

/// The text without comments and the contents of string literals.
fn code_of(text: &str) -> String {
    let mut code = String::new();
    let mut rest = text;
    while let Some(first) = rest.chars().next() {
        if rest.starts_with("//") {
            rest = &rest[rest.find('\n').unwrap_or(rest.len())..];
        } else if rest.starts_with("/*") {
            rest = rest.find("*/").map_or("", |end| &rest[end + 2..]);
        } else if rest.starts_with("'\"'") {
            rest = &rest[3..];
        } else if rest.starts_with("r#\"") {
            rest = rest[3..].find("\"#").map_or("", |end| &rest[end + 5..]);
        } else if first == '"' {
            rest = after_string(rest);
        } else {
            code.push(first);
            rest = &rest[first.len_utf8()..];
        }
    }
    code
}

/// What follows the string literal at the start of the text.
fn after_string(text: &str) -> &str {
    let mut escaped = false;
    for (at, c) in text.char_indices().skip(1) {
        match c {
            _ if escaped => escaped = false,
            '\\' => escaped = true,
            '"' => return &text[at + 1..],
            _ => {}
        }
    }
    ""
}

/// The identifiers with which the paths after a `crate::` begin: one, or those of a group.
fn path_heads(after: &str) -> Vec<String> {
    let ident = |text: &str| -> String {
        text.trim_start()
            .chars()
            .take_while(|c| c.is_alphanumeric() || *c == '_')
            .collect()
    };
    let Some(group) = after.trim_start().strip_prefix('{') else {
        return vec![ident(after)];
    };
    let mut heads = vec![ident(group)];
    let mut depth = 0;
    for (at, c) in group.char_indices() {
        match c {
            '{' => depth += 1,
            '}' if depth == 0 => break,
            '}' => depth -= 1,
            ',' if depth == 0 => heads.push(ident(&group[at + 1..])),
            _ => {}
        }
    }
    heads.retain(|head| !head.is_empty());
    heads
}

/// The top-level modules that a source text names, by `crate::` or by as many `super::` as lead
/// to the crate's root from a module `depth` levels below it.
fn imported_modules(text: &str, depth: usize) -> Vec<String> {
    let code = code_of(text);
    let from_root = "super::".repeat(depth);
    let mut modules = Vec::new();
    for root in ["crate::", &from_root] {
        for (at, _) in code.match_indices(root) {
            let before = code[..at].chars().next_back();
            if !before.is_some_and(|c| c.is_alphanumeric() || c == '_' || c == ':' || c == '$') {
                modules.extend(path_heads(&code[at + root.len()..]));
            }
        }
    }
    modules
}

/// The violations of a source text whose module has this path from the crate's root.
fn violations(module: &[&str], text: &str) -> Vec<Violation> {
    let own = match layer(module[0]) {
        Ok(own) => own,
        Err(violation) => return vec![violation],
    };
    let check = |to: String| match layer(&to) {
        Ok(other) if other <= own => None,
        Ok(_) => Some(Violation::Upward {
            from: module.join("::"),
            to,
        }),
        Err(violation) => Some(violation),
    };
    imported_modules(text, module.len())
        .into_iter()
        .filter_map(check)
        .collect()
}

/// All source files below a directory but those of tests.
fn source_files(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).expect("the sources can be listed") {
        let path = entry.expect("the sources can be listed").path();
        let stem = path.file_stem().and_then(|stem| stem.to_str());
        if stem == Some("tests") {
            continue;
        } else if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The path of a file's module from the crate's root; empty for the root itself.
fn module_path(relative: &Path) -> Vec<String> {
    let mut parts: Vec<String> = relative
        .with_extension("")
        .iter()
        .map(|part| part.to_string_lossy().into_owned())
        .collect();
    if parts
        .last()
        .is_some_and(|last| ["mod", "lib", "main"].contains(&last.as_str()))
    {
        parts.pop();
    }
    parts
}

#[test]
fn every_source_file_imports_only_its_own_layer_and_those_below() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut found = Vec::new();
    let mut imports = 0;
    let mut seen = BTreeSet::new();
    for file in source_files(&root) {
        let relative = file.strip_prefix(&root).expect("below the sources");
        let module = module_path(relative);
        let Some(top) = module.first() else {
            continue;
        };
        seen.insert(top.clone());
        let text = fs::read_to_string(&file).expect("the source can be read");
        let module: Vec<&str> = module.iter().map(String::as_str).collect();
        imports += imported_modules(&text, module.len()).len();
        found.extend(violations(&module, &text));
    }
    assert_eq!(found, Vec::new());
    assert!(imports >= LEAST_IMPORTS, "only {imports} imports found");
    let named: BTreeSet<String> = LAYERS
        .iter()
        .flat_map(|modules| modules.iter().map(|module| (*module).to_owned()))
        .collect();
    assert_eq!(seen, named, "the modules and the layers' names differ");
}

fn upward(from: &str, to: &str) -> Violation {
    Violation::Upward {
        from: from.to_owned(),
        to: to.to_owned(),
    }
}

#[test]
fn imports_of_the_same_layer_and_below_are_allowed() {
    let text = r#"
        //! See [`crate::api`].
        use crate::clock::Clock;
        use crate::{protocol::users::{JobSpec, Stage}, transport};
        use super::keys; // as crate::server does
        const TEXT: &str = "crate::cli \" crate::cli";
        pub(in crate::storage) fn read() {}
    "#;
    assert_eq!(violations(&["storage", "records"], text), []);
}

#[test]
fn an_upward_import_is_a_violation_in_whichever_form_it_is_written() {
    let from = ["storage", "records"];
    let violations_of = |text| violations(&from, text);
    let expected = |to| vec![upward("storage::records", to)];
    assert_eq!(
        violations_of("use crate::coordination::node::Node;"),
        expected("coordination")
    );
    assert_eq!(
        violations_of("use crate::{clock::Clock, api::{public_router, x}};"),
        expected("api")
    );
    assert_eq!(
        violations_of("fn f() { crate::server::run() }"),
        expected("server")
    );
    assert_eq!(
        violations_of("use super::super::coordination::lease;"),
        expected("coordination")
    );
    assert_eq!(
        violations_of("pub(in crate::cli) fn f() {}"),
        expected("cli")
    );
    assert_eq!(
        violations(&["transport"], "use super::protocol::JobId;"),
        [upward("transport", "protocol")]
    );
}

#[test]
fn a_module_without_a_layer_is_a_violation() {
    let unknown = || vec![Violation::UnknownModule("tools".to_owned())];
    assert_eq!(violations(&["tools"], ""), unknown());
    assert_eq!(violations(&["cli"], "use crate::tools::x;"), unknown());
}
