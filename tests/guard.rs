//! Limits on the text of the decision module, `src/policy/`.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_MODULE_LINES: usize = 400;
const MAX_LINE_WIDTH: usize = 110;

/// Files that keep records and sums. Every constant of a rule stands beside the rule, so they hold none.
const RECORD_FILES: [&str; 5] = ["server.rs", "proxy.rs", "table.rs", "channel.rs", "median.rs"];

/// A source file and its text.
struct Source {
    path: PathBuf,
    text: String,
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: PathBuf) -> Source {
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    Source { path, text }
}

/// The files of the decision module, without its unit tests.
fn module_sources() -> Vec<Source> {
    let mut sources = Vec::new();
    let mut folders = vec![root().join("src/policy")];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if !path.ends_with("tests.rs") {
                sources.push(read(path));
            }
        }
    }
    assert!(sources.len() >= 20, "{} files", sources.len());
    sources.sort_by(|a, b| a.path.cmp(&b.path));
    sources
}

#[test]
fn each_file_is_short_enough_to_be_read() {
    for Source { path, text } in module_sources() {
        let lines = text.lines().count();
        assert!(lines <= MAX_MODULE_LINES, "{}: {lines} lines", path.display());
        let wide: Vec<_> = text.lines().filter(|line| line.chars().count() > MAX_LINE_WIDTH).collect();
        assert!(wide.is_empty(), "{}: {wide:?}", path.display());
    }
}

#[test]
fn its_first_lines_name_the_interface() {
    let module = read(root().join("src/policy/mod.rs"));
    assert!(module.text.lines().take(3).any(|line| line.contains("src/interface.rs")));
}

#[test]
fn each_file_says_what_it_is_for() {
    for Source { path, text } in module_sources() {
        assert!(text.starts_with("//! "), "{}", path.display());
    }
}

#[test]
fn it_names_no_deployment_site_class_or_machine() {
    let names = [
        "hobart",
        "kingston",
        "sorell",
        "palermo",
        "catania",
        "messina",
        "siracusa",
        "aarhus",
        "vejle",
        "odense",
        "profili",
        "sicilia",
        "brandt",
        "intake",
        "issue-read",
        "report-ingest",
        "profile-read",
        "route-save",
        "copy-lookup",
        "price-set",
        "fast-3core",
        "std-4core",
        "new-2c",
        "mid-2c",
        "old-2c",
        "lbsim",
    ];
    for Source { path, text } in module_sources() {
        let text = text.to_lowercase();
        let found: Vec<_> = names.iter().filter(|name| text.contains(**name)).collect();
        assert!(found.is_empty(), "{}: {found:?}", path.display());
    }
}

#[test]
fn it_reads_no_clock_and_no_chance_of_its_own() {
    let mut sources = module_sources();
    sources.push(read(root().join("src/interface.rs")));
    for Source { path, text } in sources {
        for word in
            ["std::time", "Instant", "SystemTime", "HashMap", "HashSet", "std::env", "std::fs", "std::net"]
        {
            assert!(!text.contains(word), "{}: {word}", path.display());
        }
    }
}

#[test]
fn records_hold_no_constants() {
    for file in RECORD_FILES {
        let source = read(root().join("src/policy").join(file));
        for line in source.text.lines() {
            let mut words = line.split_whitespace().skip_while(|word| word.starts_with("pub"));
            assert_ne!(words.next(), Some("const"), "{file}: {line}");
        }
    }
}

/// Those who judge the decisions read the files that the deploy file names.
#[test]
fn the_deploy_file_lists_every_file_of_the_module() {
    let deploy = read(root().join("deploy/balancer.toml"));
    let listed = deploy.text.lines().find(|line| line.starts_with("policy = ")).unwrap();
    for Source { path, .. } in module_sources() {
        let name = path.strip_prefix(root()).unwrap().display().to_string();
        assert!(listed.contains(&format!("\"{name}\"")), "{name} in {listed}");
    }
}
