//! A conductor's settings: file, then environment, then flags; all faults at once, each with its place.

use std::path::Path;

use figment::error::Kind;
use figment::providers::{Env, Format, Serialized, Toml};
use figment::value::{Dict, Value};
use figment::{Figment, Profile};
use serde::Serialize;
use stepspur_conductor::Config;

use crate::End;

/// A fault and where it stands.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub(crate) struct Fault {
    /// `file:line`, or the layer above it.
    pub place: String,
    /// The key.
    pub key: String,
    /// What is wrong.
    pub what: String,
}

/// Every key with a sound value.
const EXAMPLE: &str = include_str!("../../../examples/conductor.toml");

/// Faults that are looked for at most: each costs a pass.
const MOST: usize = 100;

/// Loads the layers.
pub(crate) fn load(path: &Path, set: &[String]) -> Result<Config, Vec<Fault>> {
    let file = path.display().to_string();
    let whole = |what: String| vec![Fault { place: file.clone(), key: String::new(), what }];
    let text = std::fs::read_to_string(path).map_err(|error| whole(error.to_string()))?;
    let lines = Lines::parse(&file, &text).map_err(|fault| vec![fault])?;
    let mut figment = Figment::from(Toml::string(&text)).merge(Env::prefixed("STEPSPUR_").split("__"));
    for pair in set {
        let Some((key, value)) = pair.split_once('=') else {
            return Err(whole(format!("--set {pair}: expected KEY=VALUE")));
        };
        // A value as TOML would word it, else text.
        let value = value.parse::<toml::Value>().unwrap_or_else(|_| toml::Value::String(value.to_owned()));
        figment = figment.merge(Serialized::default(key, value));
    }
    let mut dict: Dict = figment.extract().map_err(|error| whole(error.to_string()))?;
    let mut faults: Vec<Fault> = Vec::new();
    // Serde stops at the first fault: it is noted, mended by the example's value, and the rest is tried again.
    let example: Dict = Figment::from(Toml::string(EXAMPLE)).extract().unwrap_or_default();
    while faults.len() < MOST {
        let layer = Figment::from(Serialized::from(&dict, Profile::Default));
        let error = match layer.extract::<Config>() {
            Ok(config) => {
                let mended: Vec<String> = faults.iter().map(|f| f.key.clone()).collect();
                let bounds = config.faults().into_iter().map(|f| lines.fault(&parts(&f.key), f.what));
                faults.extend(bounds.filter(|f| !mended.contains(&f.key)));
                return if faults.is_empty() { Ok(config) } else { Err(faults) };
            }
            Err(error) => error,
        };
        let mut path = error.path.clone();
        let named = match &error.kind {
            Kind::UnknownField(name, _) => Some(name.clone()),
            Kind::MissingField(name) => Some(name.to_string()),
            _ => None,
        };
        // The path may end with the field or with the table round it.
        if path.last() != named.as_ref() {
            path.extend(named);
        }
        let (what, fits) = match error.kind {
            Kind::MissingField(_) => ("this key is needed".to_owned(), find(&example, &path)),
            Kind::UnknownField(..) => (error.kind.to_string(), None),
            _ => (error.kind.to_string(), find(&example, &path)),
        };
        faults.push(lines.fault(&path, what));
        if !put(&mut dict, &path, fits) {
            break;
        }
    }
    Err(faults)
}

/// Prints faults; they are the only output on standard output where JSON is asked for.
pub(crate) fn show(faults: &[Fault], json: bool) -> End {
    if json {
        println!("{}", serde_json::to_string(faults).unwrap_or_default());
    } else {
        for Fault { place, key, what } in faults {
            eprintln!("{place}: {key}{}{what}", if key.is_empty() { "" } else { ": " });
        }
    }
    End::WrongUse
}

/// `fleet.classes[0].aim` as its parts.
fn parts(key: &str) -> Vec<String> {
    key.split(['.', '[', ']']).filter(|part| !part.is_empty()).map(str::to_owned).collect()
}

/// The example's value at a path; of lists, the first item stands for all.
fn find(dict: &Dict, path: &[String]) -> Option<Value> {
    let (first, rest) = path.split_first()?;
    let mut value = dict.get(first)?;
    let mut rest = rest.iter();
    loop {
        value = match (value, rest.next()) {
            (value, None) => return Some(value.clone()),
            (Value::Dict(_, dict), Some(key)) => dict.get(key)?,
            (Value::Array(_, items), Some(_)) => items.first()?,
            _ => return None,
        };
    }
}

/// Puts a value at a path, or takes out what is there; false if nothing could be changed.
fn put(dict: &mut Dict, path: &[String], fits: Option<Value>) -> bool {
    match (path, fits) {
        ([], _) => false,
        ([key], None) => dict.remove(key).is_some(),
        ([key], Some(value)) => {
            dict.insert(key.clone(), value);
            true
        }
        ([key, rest @ ..], fits) => dict.get_mut(key).is_some_and(|value| put_in(value, rest, fits)),
    }
}

fn put_in(value: &mut Value, path: &[String], fits: Option<Value>) -> bool {
    match (value, path) {
        (Value::Dict(_, dict), path) => put(dict, path, fits),
        (Value::Array(_, items), [place, rest @ ..]) => {
            let item = place.parse().ok().and_then(|k: usize| items.get_mut(k));
            match (item, rest.is_empty(), fits) {
                (Some(item), true, Some(value)) => {
                    *item = value;
                    true
                }
                (Some(item), false, fits) => put_in(item, rest, fits),
                _ => false,
            }
        }
        _ => false,
    }
}

/// Where keys stand in a file.
struct Lines<'a> {
    file: &'a str,
    text: &'a str,
    table: toml::Spanned<toml::de::DeTable<'a>>,
}

impl<'a> Lines<'a> {
    fn parse(file: &'a str, text: &'a str) -> Result<Self, Fault> {
        match toml::de::DeTable::parse(text) {
            Ok(table) => Ok(Self { file, text, table }),
            Err(error) => {
                let line = line_of(text, error.span().map_or(0, |span| span.start));
                let what = error.message().to_owned();
                Err(Fault { place: format!("{file}:{line}"), key: String::new(), what })
            }
        }
    }

    fn fault(&self, path: &[String], what: String) -> Fault {
        let key = path.join(".");
        let place = match self.span(path) {
            Some((at, true)) => format!("{}:{}", self.file, line_of(self.text, at)),
            // Not in the file: a layer above it, or missing.
            Some((at, false)) => format!("{}:{} or a layer above", self.file, line_of(self.text, at)),
            None => format!("{} or a layer above", self.file),
        };
        Fault { place, key, what }
    }

    /// Where the key begins, or the deepest table above it; true: the key itself.
    fn span(&self, path: &[String]) -> Option<(usize, bool)> {
        let mut table = self.table.get_ref();
        let mut found = None;
        let mut parts = path.iter().peekable();
        while let Some(part) = parts.next() {
            let Some((key, value)) = table.get_key_value(part.as_str()) else {
                return found.map(|at| (at, false));
            };
            found = Some(key.span().start);
            let mut value = value;
            while let toml::de::DeValue::Array(items) = value.get_ref() {
                let Some(item) = parts.peek().and_then(|p| p.parse().ok()).and_then(|k: usize| items.get(k))
                else {
                    break;
                };
                parts.next();
                found = Some(item.span().start);
                value = item;
            }
            match value.get_ref() {
                toml::de::DeValue::Table(inner) => table = inner,
                _ => return found.map(|at| (at, parts.peek().is_none())),
            }
        }
        found.map(|at| (at, true))
    }
}

fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes().iter().take(at).filter(|b| **b == b'\n').count() + 1
}
