//! Checks of the source text of the decision module, `src/policy/`: length and width of its files, and what
//! they may contain.

use std::fs;
use std::path::{Path, PathBuf};

/// Upper bound of the lines of a file.
const MAX_MODULE_LINES: usize = 400;
/// Upper bound of the characters of a line.
const MAX_LINE_WIDTH: usize = 110;

/// Files that contain only records and sums. Constants are defined next to the rule that uses them, so these
/// files contain none.
const RECORD_FILES: [&str; 5] = ["server.rs", "proxy.rs", "table.rs", "channel.rs", "median.rs"];

/// A source file and its text.
struct Source {
    path: PathBuf,
    text: String,
}

/// The repository's root.
fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: PathBuf) -> Source {
    let text = fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    Source { path, text }
}

/// All source files of the decision module except its unit tests, sorted by path.
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
fn each_file_stays_within_the_limits_of_length_and_width() {
    for Source { path, text } in module_sources() {
        let lines = text.lines().count();
        assert!(lines <= MAX_MODULE_LINES, "{}: {lines} lines", path.display());
        let wide: Vec<_> = text.lines().filter(|line| line.chars().count() > MAX_LINE_WIDTH).collect();
        assert!(wide.is_empty(), "{}: {wide:?}", path.display());
    }
}

#[test]
fn first_lines_of_the_module_name_the_interface_file() {
    let module = read(root().join("src/policy/mod.rs"));
    assert!(module.text.lines().take(3).any(|line| line.contains("src/interface.rs")));
}

#[test]
fn each_file_starts_with_a_module_comment() {
    for Source { path, text } in module_sources() {
        assert!(text.starts_with("//! "), "{}", path.display());
    }
}

#[test]
fn no_file_names_a_site_class_or_machine_of_a_deployment() {
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

/// Decisions must depend on events only, so that the same events cause the same actions: no clock, no
/// randomized iteration order, no environment, files or network.
#[test]
fn module_uses_no_clock_random_order_or_io() {
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
fn record_files_contain_no_constants() {
    for file in RECORD_FILES {
        let source = read(root().join("src/policy").join(file));
        for line in source.text.lines() {
            let mut words = line.split_whitespace().skip_while(|word| word.starts_with("pub"));
            assert_ne!(words.next(), Some("const"), "{file}: {line}");
        }
    }
}

/// A file that the deploy file does not list would be missed by reviews of the decisions, which read the
/// listed files.
#[test]
fn the_deploy_file_lists_every_file_of_the_module() {
    let deploy = read(root().join("deploy/balancer.toml"));
    let listed = deploy.text.lines().find(|line| line.starts_with("policy = ")).unwrap();
    for Source { path, .. } in module_sources() {
        let name = path.strip_prefix(root()).unwrap().display().to_string();
        assert!(listed.contains(&format!("\"{name}\"")), "{name} in {listed}");
    }
}
