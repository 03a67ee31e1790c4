//! Reads JSON with comments and reports errors with their line and column.

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::fmt;
use std::ops::RangeInclusive;

/// Accepts JSON with comments and trailing commas, but no other extension.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_extended_string_escapes: false,
    allow_non_finite_numbers: false,
};

/// An error in a settings file and its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SettingsError {
    /// Line number, from 1.
    pub line: usize,
    /// Column number in characters, from 1.
    pub column: usize,
    /// Description of the error.
    pub message: String,
    /// Description of what is valid; may be empty.
    pub help: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}: {}", self.line, self.column, self.message)?;
        if !self.help.is_empty() {
            write!(f, " ({})", self.help)?;
        }
        Ok(())
    }
}

/// The text of a settings file.
#[derive(Clone, Copy, Debug)]
pub struct Document<'a> {
    text: &'a str,
}

impl<'a> Document<'a> {
    /// Creates a document from the text of a file.
    pub fn new(text: &'a str) -> Document<'a> {
        Document { text }
    }

    /// Creates an error at the byte offset `at`.
    fn error(&self, at: usize, message: String, help: &str) -> SettingsError {
        let before = self.text.get(..at).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        SettingsError { line, column, message, help: help.to_owned() }
    }

    /// Parses the text and reads its top-level object with `read`.
    ///
    /// # Errors
    /// On syntax errors, if the top-level value is not an object, and on errors of `read`.
    pub fn read<T>(
        &self,
        read: impl FnOnce(&Section<'_>) -> Result<T, SettingsError>,
    ) -> Result<T, SettingsError> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &PARSE_OPTIONS)
            .map_err(|e| self.error(e.range().start, e.kind().to_string(), "JSON with comments"))?;
        match &parsed.value {
            Some(Value::Object(object)) => read(&Section { doc: *self, object, name: "" }),
            _ => Err(self.error(
                0,
                "the top-level value is not an object".to_owned(),
                "start with {",
            )),
        }
    }
}

/// An object in the settings file.
#[derive(Clone, Copy, Debug)]
pub struct Section<'a> {
    doc: Document<'a>,
    object: &'a Object<'a>,
    name: &'a str,
}

/// A value in the settings file whose type is not yet checked.
#[derive(Clone, Copy, Debug)]
pub struct Node<'a> {
    doc: Document<'a>,
    value: &'a Value<'a>,
    name: &'a str,
}

impl<'a> Node<'a> {
    /// Returns the value as a string.
    ///
    /// # Errors
    /// If it is not a string.
    pub fn text(&self) -> Result<&'a str, SettingsError> {
        match self.value {
            Value::StringLit(s) => Ok(&s.value),
            _ => Err(self.error("is not a string", "write it in double quotes")),
        }
    }

    /// Returns the value as an object.
    ///
    /// # Errors
    /// If it is not an object.
    pub fn section(&self) -> Result<Section<'a>, SettingsError> {
        match self.value {
            Value::Object(object) => Ok(Section { doc: self.doc, object, name: self.name }),
            _ => Err(self.error("is not an object", "write { ... }")),
        }
    }

    /// Creates an error at the position of the value. `what` follows the key in the message.
    pub fn error(&self, what: &str, help: &str) -> SettingsError {
        let message = format!("{:?} {what}", self.name);
        self.doc.error(self.value.range().start, message, help)
    }
}

impl<'a> Section<'a> {
    /// Checks that all keys are in `known` and that none occurs twice.
    ///
    /// # Errors
    /// Names the first unknown key with the most similar known one, or the first duplicate key.
    pub fn check_keys(&self, known: &[&str]) -> Result<(), SettingsError> {
        let mut seen: Vec<&str> = Vec::new();
        for p in &self.object.properties {
            let key = p.name.as_str();
            if !known.contains(&key) {
                let near = known.iter().min_by_key(|k| strsim::levenshtein(k, key));
                let help = format!("did you mean {:?}?", near.unwrap_or(&""));
                return Err(self.doc.error(p.start(), format!("{key:?} is not known"), &help));
            }
            if seen.contains(&key) {
                let message = format!("{key:?} appears twice");
                return Err(self.doc.error(p.start(), message, "remove one of them"));
            }
            seen.push(key);
        }
        Ok(())
    }

    /// Returns the value of a key, or `None` if it is absent.
    pub fn get(&self, key: &'a str) -> Option<Node<'a>> {
        let p = self.object.properties.iter().find(|p| p.name.as_str() == key)?;
        Some(Node { doc: self.doc, value: &p.value, name: key })
    }

    /// Creates an error at the position of the object.
    pub fn error(&self, message: &str, help: &str) -> SettingsError {
        let name = if self.name.is_empty() { "the settings" } else { self.name };
        self.doc.error(self.object.start(), format!("{name}: {message}"), help)
    }

    fn required(&self, key: &'a str, help: &str) -> Result<Node<'a>, SettingsError> {
        self.get(key).ok_or_else(|| self.error(&format!("{key:?} is missing"), help))
    }

    /// Reads a required string that must not be empty.
    ///
    /// # Errors
    /// If it is absent, empty or not a string. `help` describes a valid value.
    pub fn text(&self, key: &'a str, help: &str) -> Result<&'a str, SettingsError> {
        let node = self.required(key, help)?;
        let text = node.text()?;
        if text.is_empty() { Err(node.error("is empty", help)) } else { Ok(text) }
    }

    /// Reads a string, or returns `default` if it is absent.
    ///
    /// # Errors
    /// If it is not a string.
    pub fn text_or(&self, key: &'a str, default: &'a str) -> Result<&'a str, SettingsError> {
        self.get(key).map_or(Ok(default), |node| node.text())
    }

    /// Reads a required address of the form `IP:port`.
    ///
    /// # Errors
    /// If it is absent or not an address.
    pub fn address(&self, key: &'a str) -> Result<std::net::SocketAddr, SettingsError> {
        const HELP: &str = "an IP number and a port, such as \"127.0.0.1:7000\"";
        let node = self.required(key, HELP)?;
        node.text()?.parse().map_err(|_| node.error("is no address", HELP))
    }

    /// Reads an integer within `bounds`, or returns `default` if it is absent.
    ///
    /// # Errors
    /// If it is not an integer or out of bounds.
    pub fn number(
        &self,
        key: &'a str,
        default: u64,
        bounds: RangeInclusive<u64>,
    ) -> Result<u64, SettingsError> {
        let Some(node) = self.get(key) else {
            return Ok(default);
        };
        let help = format!("a whole number from {} to {}", bounds.start(), bounds.end());
        let found = match node.value {
            Value::NumberLit(n) => n.value.parse::<u64>().ok(),
            _ => None,
        };
        match found.filter(|n| bounds.contains(n)) {
            Some(n) => Ok(n),
            None => Err(node.error("is out of bounds", &help)),
        }
    }

    /// Reads a number within `bounds`, or returns `default` if it is absent.
    ///
    /// # Errors
    /// If it is not a number or out of bounds.
    pub fn fraction(
        &self,
        key: &'a str,
        default: f64,
        bounds: RangeInclusive<f64>,
    ) -> Result<f64, SettingsError> {
        let Some(node) = self.get(key) else {
            return Ok(default);
        };
        let help = format!("a number from {} to {}", bounds.start(), bounds.end());
        let found = match node.value {
            Value::NumberLit(n) => n.value.parse::<f64>().ok(),
            _ => None,
        };
        match found.filter(|n| bounds.contains(n)) {
            Some(n) => Ok(n),
            None => Err(node.error("is out of bounds", &help)),
        }
    }

    /// Reads a boolean, or returns `default` if it is absent.
    ///
    /// # Errors
    /// If it is not a boolean.
    pub fn flag(&self, key: &'a str, default: bool) -> Result<bool, SettingsError> {
        match self.get(key) {
            None => Ok(default),
            Some(node) => match node.value {
                Value::BooleanLit(b) => Ok(b.value),
                _ => Err(node.error("is not a boolean", "true or false")),
            },
        }
    }

    /// Reads a nested object, or returns `None` if it is absent.
    ///
    /// # Errors
    /// If it is not an object.
    pub fn section(&self, key: &'a str) -> Result<Option<Section<'a>>, SettingsError> {
        self.get(key).map(|node| node.section()).transpose()
    }

    /// Reads the values of an array, or returns an empty list if it is absent.
    ///
    /// # Errors
    /// If it is not an array.
    pub fn list(&self, key: &'a str) -> Result<Vec<Node<'a>>, SettingsError> {
        let Some(node) = self.get(key) else {
            return Ok(Vec::new());
        };
        let Value::Array(array) = node.value else {
            return Err(node.error("is not an array", "write [ ... ]"));
        };
        let item = |value| Node { doc: self.doc, value, name: key };
        Ok(array.elements.iter().map(item).collect())
    }
}
