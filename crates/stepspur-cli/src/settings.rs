//! Loads a conductor's settings from three layers: file, environment, flags. Reports all errors at once, each
//! with its location.

use std::path::Path;

use figment::error::Kind;
use figment::providers::{Env, Format, Serialized, Toml};
use figment::value::{Dict, Value};
use figment::{Figment, Profile};
use serde::Serialize;
use stepspur_conductor::Config;

use crate::ExitStatus;

/// An error in the settings and its location; the field names are keys of the JSON output.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub(crate) struct SettingsError {
    /// `file:line`. `or a layer above` follows where the key is not in the file: the environment or a flag
    /// sets it, or it is missing.
    pub place: String,
    /// The key's path, such as `fleet.proxies`; empty for an error of the whole file.
    pub key: String,
    /// The cause.
    pub what: String,
}

/// The example settings: a valid value for every key.
const EXAMPLE: &str = include_str!("../../../examples/conductor.toml");

/// Limit of reported keys that are missing, unknown or of a wrong type: each costs a pass over the settings.
const MAX_ERRORS: usize = 100;

/// Loads the settings; each layer overrides the one before it.
///
/// # Errors
/// All errors that were found, in all layers.
pub(crate) fn load(path: &Path, set: &[String]) -> Result<Config, Vec<SettingsError>> {
    let file = path.display().to_string();
    let file_error = |what: String| vec![SettingsError { place: file.clone(), key: String::new(), what }];
    let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    let locations = KeyLocations::parse(&file, &text).map_err(|error| vec![error])?;
    let mut figment = Figment::from(Toml::string(&text)).merge(Env::prefixed("STEPSPUR_").split("__"));
    for pair in set {
        let Some((key, value)) = pair.split_once('=') else {
            return Err(file_error(format!("--set {pair}: expected KEY=VALUE")));
        };
        // A TOML value, or a plain string where it does not parse as one.
        let value = value.parse::<toml::Value>().unwrap_or_else(|_| toml::Value::String(value.to_owned()));
        figment = figment.merge(Serialized::default(key, value));
    }
    let mut dict: Dict = figment.extract().map_err(|error| file_error(error.to_string()))?;
    let mut errors: Vec<SettingsError> = Vec::new();
    // Serde stops at the first error. The error is recorded, its value replaced by the example's or, for an
    // unknown key, removed, and the settings are extracted again to find the next error.
    let example: Dict = Figment::from(Toml::string(EXAMPLE)).extract().unwrap_or_default();
    while errors.len() < MAX_ERRORS {
        let layer = Figment::from(Serialized::from(&dict, Profile::Default));
        let error = match layer.extract::<Config>() {
            Ok(config) => {
                let reported: Vec<String> = errors.iter().map(|e| e.key.clone()).collect();
                let bounds = config
                    .invalid_settings()
                    .into_iter()
                    .map(|f| locations.error_at(&path_of(&f.key), f.what));
                errors.extend(bounds.filter(|e| !reported.contains(&e.key)));
                return if errors.is_empty() { Ok(config) } else { Err(errors) };
            }
            Err(error) => error,
        };
        let mut path = error.path.clone();
        let field = match &error.kind {
            Kind::UnknownField(name, _) => Some(name.clone()),
            Kind::MissingField(name) => Some(name.to_string()),
            _ => None,
        };
        // The path of the error may end with the field or with the table that contains it.
        if path.last() != field.as_ref() {
            path.extend(field);
        }
        let (what, replacement) = match error.kind {
            Kind::MissingField(_) => ("this key is needed".to_owned(), example_value(&example, &path)),
            Kind::UnknownField(..) => (error.kind.to_string(), None),
            _ => (error.kind.to_string(), example_value(&example, &path)),
        };
        errors.push(locations.error_at(&path, what));
        if !replace_value(&mut dict, &path, replacement) {
            break;
        }
    }
    Err(errors)
}

/// Prints the errors: as JSON on standard output, or as text on standard error.
pub(crate) fn print_errors(errors: &[SettingsError], json: bool) -> ExitStatus {
    if json {
        println!("{}", serde_json::to_string(errors).unwrap_or_default());
    } else {
        for SettingsError { place, key, what } in errors {
            eprintln!("{place}: {key}{}{what}", if key.is_empty() { "" } else { ": " });
        }
    }
    ExitStatus::UsageError
}

/// Splits a key such as `fleet.classes[0].aim` into the parts of its path.
fn path_of(key: &str) -> Vec<String> {
    key.split(['.', '[', ']']).filter(|part| !part.is_empty()).map(str::to_owned).collect()
}

/// The example's value at a path; every index of a list maps to its first item.
fn example_value(dict: &Dict, path: &[String]) -> Option<Value> {
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

/// Replaces the value at a path, or removes it without a replacement. False if nothing could be changed.
fn replace_value(dict: &mut Dict, path: &[String], replacement: Option<Value>) -> bool {
    match (path, replacement) {
        ([], _) => false,
        ([key], None) => dict.remove(key).is_some(),
        ([key], Some(value)) => {
            dict.insert(key.clone(), value);
            true
        }
        ([key, rest @ ..], replacement) => {
            dict.get_mut(key).is_some_and(|value| replace_in_value(value, rest, replacement))
        }
    }
}

/// As [`replace_value`], for a path that begins inside a table or a list.
fn replace_in_value(value: &mut Value, path: &[String], replacement: Option<Value>) -> bool {
    match (value, path) {
        (Value::Dict(_, dict), path) => replace_value(dict, path, replacement),
        (Value::Array(_, items), [index, rest @ ..]) => {
            let item = index.parse().ok().and_then(|k: usize| items.get_mut(k));
            match (item, rest.is_empty(), replacement) {
                (Some(item), true, Some(value)) => {
                    *item = value;
                    true
                }
                (Some(item), false, replacement) => replace_in_value(item, rest, replacement),
                _ => false,
            }
        }
        _ => false,
    }
}

/// The locations of all keys in a settings file.
struct KeyLocations<'a> {
    file: &'a str,
    text: &'a str,
    table: toml::Spanned<toml::de::DeTable<'a>>,
}

impl<'a> KeyLocations<'a> {
    fn parse(file: &'a str, text: &'a str) -> Result<Self, SettingsError> {
        match toml::de::DeTable::parse(text) {
            Ok(table) => Ok(Self { file, text, table }),
            Err(error) => {
                let line = line_of(text, error.span().map_or(0, |span| span.start));
                let what = error.message().to_owned();
                Err(SettingsError { place: format!("{file}:{line}"), key: String::new(), what })
            }
        }
    }

    /// An error at the key with this path.
    fn error_at(&self, path: &[String], what: String) -> SettingsError {
        let key = path.join(".");
        let place = match self.find_key(path) {
            Some((at, true)) => format!("{}:{}", self.file, line_of(self.text, at)),
            // The key is not in the file: a layer above sets it, or it is missing.
            Some((at, false)) => format!("{}:{} or a layer above", self.file, line_of(self.text, at)),
            None => format!("{} or a layer above", self.file),
        };
        SettingsError { place, key, what }
    }

    /// The byte offset of the key and true, or that of the deepest table on its path that the file has and
    /// false. None if the file has neither.
    fn find_key(&self, path: &[String]) -> Option<(usize, bool)> {
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

/// The line number, from 1, of a byte offset.
fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes().iter().take(at).filter(|b| **b == b'\n').count() + 1
}
