//! Parses JSON with comments into typed values; every error names the file, the line and the key.

use std::{
    fmt::{self, Display},
    fs, io,
    path::Path,
};

use jsonc_parser::{
    CollectOptions, ParseOptions, ast, common::Ranged, errors::ParseError, parse_to_ast,
    parse_to_serde_value,
};
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

/// Maximum size of an input file.
const MAX_FILE_BYTES: u64 = 16 << 20;

const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// The text of one JSON file with comments.
#[derive(Clone, Debug)]
pub struct Document {
    file: String,
    text: String,
}

/// An error in a document, with its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct DocumentError {
    /// The file.
    pub file: String,
    /// The line, starting at 1; `None` if the file could not be read.
    pub line: Option<usize>,
    /// The dot-separated path of the key; empty for the document itself.
    pub key: String,
    /// The reason.
    pub reason: String,
}

impl Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.reason)
    }
}

impl Document {
    /// Reads a document from a file.
    pub fn open(path: &Path) -> Result<Self, DocumentError> {
        let file = path.display().to_string();
        let unreadable = |e: io::Error| DocumentError {
            file: file.clone(),
            line: None,
            key: String::new(),
            reason: e.to_string(),
        };
        let length = fs::metadata(path).map_err(unreadable)?.len();
        if length > MAX_FILE_BYTES {
            return Err(unreadable(io::Error::other(format!(
                "longer than {MAX_FILE_BYTES} bytes"
            ))));
        }
        let text = fs::read_to_string(path).map_err(unreadable)?;
        Ok(Self { file, text })
    }

    /// Creates a document from text in memory; errors name it `file`.
    pub fn new(file: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            file: file.into(),
            text: text.into(),
        }
    }

    /// Returns the name of the document in errors.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Deserializes the document as `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, DocumentError> {
        let ast = self.ast()?;
        if let Some((path, start)) = ast.as_ref().and_then(|v| duplicate_key(v, "")) {
            return Err(self.error_at_offset(start, path, "duplicate key"));
        }
        let value: Value =
            parse_to_serde_value(&self.text, &PARSE_OPTIONS).map_err(|e| self.syntax_error(&e))?;
        serde_path_to_error::deserialize(value).map_err(|e| {
            let path_steps: Vec<String> = e.path().iter().map(segment_name).collect();
            let path_steps: Vec<&str> = path_steps.iter().map(String::as_str).collect();
            self.error_at_key(&path_steps, e.inner().to_string())
        })
    }

    /// Returns an error at the key with path `path_steps`, or at its deepest part that exists.
    pub fn error_at_key(&self, path_steps: &[&str], reason: impl Into<String>) -> DocumentError {
        let start = match self.ast() {
            Ok(Some(ast)) => find_offset(&ast, path_steps),
            _ => 0,
        };
        self.error_at_offset(start, path_steps.join("."), reason)
    }

    fn ast(&self) -> Result<Option<ast::Value<'_>>, DocumentError> {
        parse_to_ast(&self.text, &CollectOptions::default(), &PARSE_OPTIONS)
            .map(|parsed| parsed.value)
            .map_err(|e| self.syntax_error(&e))
    }

    fn syntax_error(&self, e: &ParseError) -> DocumentError {
        DocumentError {
            file: self.file.clone(),
            line: Some(e.line_display()),
            key: String::new(),
            reason: format!("{} (column {})", e.kind(), e.column_display()),
        }
    }

    fn error_at_offset(
        &self,
        offset: usize,
        key: String,
        reason: impl Into<String>,
    ) -> DocumentError {
        let before = self.text.get(..offset).unwrap_or_default();
        DocumentError {
            file: self.file.clone(),
            line: Some(1 + before.matches('\n').count()),
            key,
            reason: reason.into(),
        }
    }
}

fn segment_name(segment: &Segment) -> String {
    match segment {
        Segment::Seq { index } => index.to_string(),
        Segment::Map { key } => key.clone(),
        Segment::Enum { variant } => variant.clone(),
        Segment::Unknown => "?".into(),
    }
}

/// Returns the byte offset of the deepest part of the path that exists.
fn find_offset(value: &ast::Value<'_>, path_steps: &[&str]) -> usize {
    let Some((first, rest)) = path_steps.split_first() else {
        return value.start();
    };
    match value {
        ast::Value::Object(object) => match object.get(first) {
            Some(property) if rest.is_empty() => property.start(),
            Some(property) => match &property.value {
                inner @ (ast::Value::Object(_) | ast::Value::Array(_)) => {
                    find_offset_or(inner, rest, property.start())
                }
                _ => property.start(),
            },
            None => value.start(),
        },
        ast::Value::Array(array) => match first
            .parse()
            .ok()
            .and_then(|i: usize| array.elements.get(i))
        {
            Some(element) => find_offset(element, rest),
            None => value.start(),
        },
        _ => value.start(),
    }
}

/// Like [`find_offset`], but returns `property` if the path matches nothing inside `value`.
fn find_offset_or(value: &ast::Value<'_>, path_steps: &[&str], property: usize) -> usize {
    let found = find_offset(value, path_steps);
    if found == value.start() {
        property
    } else {
        found
    }
}

fn duplicate_key(value: &ast::Value<'_>, path: &str) -> Option<(String, usize)> {
    match value {
        ast::Value::Object(object) => {
            let mut seen = std::collections::BTreeSet::new();
            for property in &object.properties {
                let name = property.name.as_str();
                let path = join(path, name);
                if !seen.insert(name) {
                    return Some((path, property.start()));
                }
                if let Some(found) = duplicate_key(&property.value, &path) {
                    return Some(found);
                }
            }
            None
        }
        ast::Value::Array(array) => array
            .elements
            .iter()
            .enumerate()
            .find_map(|(i, element)| duplicate_key(element, &join(path, &i.to_string()))),
        _ => None,
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.into()
    } else {
        format!("{path}.{name}")
    }
}
