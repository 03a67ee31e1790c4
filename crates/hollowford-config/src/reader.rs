//! Reads JSON with comments and says where something is wrong.

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::fmt;
use std::ops::RangeInclusive;

/// JSON with comments and trailing commas, and no other licence.
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

/// What is wrong in a settings file, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct SettingsError {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What would be right.
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
    /// Takes a file's text.
    pub fn new(text: &'a str) -> Document<'a> {
        Document { text }
    }

    fn error(&self, at: usize, message: String, help: &str) -> SettingsError {
        let before = self.text.get(..at).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        SettingsError { line, column, message, help: help.to_owned() }
    }

    /// Reads the file's one object with `read`.
    ///
    /// # Errors
    /// Syntax errors, and whatever `read` finds.
    pub fn read<T>(
        &self,
        read: impl FnOnce(&Section<'_>) -> Result<T, SettingsError>,
    ) -> Result<T, SettingsError> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &PARSE_OPTIONS)
            .map_err(|e| self.error(e.range().start, e.kind().to_string(), "JSON with comments"))?;
        match &parsed.value {
            Some(Value::Object(object)) => read(&Section { doc: *self, object, name: "" }),
            _ => Err(self.error(0, "the file holds no object".to_owned(), "start with {")),
        }
    }
}

/// One object of the file.
#[derive(Clone, Copy, Debug)]
pub struct Section<'a> {
    doc: Document<'a>,
    object: &'a Object<'a>,
    name: &'a str,
}

/// One value of the file that is not read by a typed method.
#[derive(Clone, Copy, Debug)]
pub struct Node<'a> {
    doc: Document<'a>,
    value: &'a Value<'a>,
    name: &'a str,
}

impl<'a> Node<'a> {
    /// Takes the value as text.
    ///
    /// # Errors
    /// When it is something else.
    pub fn text(&self) -> Result<&'a str, SettingsError> {
        match self.value {
            Value::StringLit(s) => Ok(&s.value),
            _ => Err(self.error("is not text", "write it in double quotes")),
        }
    }

    /// Takes the value as an object.
    ///
    /// # Errors
    /// When it is something else.
    pub fn section(&self) -> Result<Section<'a>, SettingsError> {
        match self.value {
            Value::Object(object) => Ok(Section { doc: self.doc, object, name: self.name }),
            _ => Err(self.error("is not an object", "write { ... }")),
        }
    }

    /// Makes an error that points at the value.
    pub fn error(&self, what: &str, help: &str) -> SettingsError {
        let message = format!("{:?} {what}", self.name);
        self.doc.error(self.value.range().start, message, help)
    }
}

impl<'a> Section<'a> {
    /// Refuses keys that are not in `known`, naming the nearest one.
    ///
    /// # Errors
    /// The first unknown or doubled key.
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
                let message = format!("{key:?} stands twice");
                return Err(self.doc.error(p.start(), message, "keep one of them"));
            }
            seen.push(key);
        }
        Ok(())
    }

    /// Returns a value, if it is there.
    pub fn get(&self, key: &'a str) -> Option<Node<'a>> {
        let p = self.object.properties.iter().find(|p| p.name.as_str() == key)?;
        Some(Node { doc: self.doc, value: &p.value, name: key })
    }

    /// Makes an error that points at the object.
    pub fn error(&self, message: &str, help: &str) -> SettingsError {
        let name = if self.name.is_empty() { "the settings" } else { self.name };
        self.doc.error(self.object.start(), format!("{name}: {message}"), help)
    }

    fn required(&self, key: &'a str, help: &str) -> Result<Node<'a>, SettingsError> {
        self.get(key).ok_or_else(|| self.error(&format!("{key:?} is missing"), help))
    }

    /// Reads text that must be there and not be empty.
    ///
    /// # Errors
    /// When it isn't, with `help`.
    pub fn text(&self, key: &'a str, help: &str) -> Result<&'a str, SettingsError> {
        let node = self.required(key, help)?;
        let text = node.text()?;
        if text.is_empty() { Err(node.error("is empty", help)) } else { Ok(text) }
    }

    /// Reads text, or takes the default.
    ///
    /// # Errors
    /// When it is something else.
    pub fn text_or(&self, key: &'a str, default: &'a str) -> Result<&'a str, SettingsError> {
        self.get(key).map_or(Ok(default), |node| node.text())
    }

    /// Reads an address `IP:port`.
    ///
    /// # Errors
    /// When it isn't one.
    pub fn address(&self, key: &'a str) -> Result<std::net::SocketAddr, SettingsError> {
        const HELP: &str = "an IP number and a port, such as \"127.0.0.1:7000\"";
        let node = self.required(key, HELP)?;
        node.text()?.parse().map_err(|_| node.error("is no address", HELP))
    }

    /// Reads a whole number within bounds, or takes the default.
    ///
    /// # Errors
    /// When it is something else or out of bounds.
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

    /// Reads a fraction within bounds, or takes the default.
    ///
    /// # Errors
    /// When it is something else or out of bounds.
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

    /// Reads `true` or `false`, or takes the default.
    ///
    /// # Errors
    /// When it is something else.
    pub fn flag(&self, key: &'a str, default: bool) -> Result<bool, SettingsError> {
        match self.get(key) {
            None => Ok(default),
            Some(node) => match node.value {
                Value::BooleanLit(b) => Ok(b.value),
                _ => Err(node.error("is no flag", "true or false")),
            },
        }
    }

    /// Reads an object inside this one, if it is there.
    ///
    /// # Errors
    /// When it is something else.
    pub fn section(&self, key: &'a str) -> Result<Option<Section<'a>>, SettingsError> {
        self.get(key).map(|node| node.section()).transpose()
    }

    /// Reads the values of an array; none when it isn't there.
    ///
    /// # Errors
    /// When it is something else.
    pub fn list(&self, key: &'a str) -> Result<Vec<Node<'a>>, SettingsError> {
        let Some(node) = self.get(key) else {
            return Ok(Vec::new());
        };
        let Value::Array(array) = node.value else {
            return Err(node.error("is no list", "write [ ... ]"));
        };
        let item = |value| Node { doc: self.doc, value, name: key };
        Ok(array.elements.iter().map(item).collect())
    }
}
