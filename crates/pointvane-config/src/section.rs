//! Typed access to one table of a TOML document; invalid keys and values are recorded as faults of the
//! document.

use {
    crate::document::Document,
    std::{ops::RangeInclusive, str::FromStr},
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};

/// One table of a document. An absent or invalid table reads as empty.
pub struct Section<'d, 't> {
    document: &'d Document<'t>,
    table: Option<&'d DeTable<'t>>,
    path: String,
    offset: usize,
}

impl<'d, 't> Section<'d, 't> {
    /// Returns the document's root table.
    pub fn root(document: &'d Document<'t>, table: &'d Spanned<DeTable<'t>>) -> Self {
        Self { document, table: Some(table.get_ref()), path: String::new(), offset: 0 }
    }

    /// Returns the byte offset of a key's value, or that of the table if the key is absent.
    pub fn offset_of(&self, key: &str) -> usize {
        self.value(key).map_or(self.offset, |value| value.span().start)
    }

    /// Records a fault at a key of this table.
    pub fn fault(&self, key: &str, problem: impl Into<String>, remedy: impl Into<String>) {
        self.document.fault(self.offset_of(key), &self.key_path(key), problem.into(), remedy.into());
    }

    /// Records a fault for each key that is not in `known`.
    pub fn reject_unknown_keys(&self, known: &[&str]) {
        let Some(table) = self.table else { return };
        for (key, _) in table.iter().filter(|(key, _)| !known.contains(&key.get_ref().as_ref())) {
            let name = self.key_path(key.get_ref());
            let remedy = format!("remove it, or use one of: {}", known.join(", "));
            self.document.fault(key.span().start, &name, "unknown key".into(), remedy);
        }
    }

    /// Returns a subtable; an absent one reads as empty.
    pub fn section(&self, key: &str) -> Section<'d, 't> {
        let path = self.key_path(key);
        let value = self.value(key);
        let offset = value.map_or(self.offset, |value| value.span().start);
        let table = match value.map(Spanned::get_ref) {
            Some(DeValue::Table(table)) => Some(table),
            Some(_) => {
                self.fault(key, "not a table", format!("write [{path}]"));
                None
            }
            None => None,
        };
        Section { document: self.document, table, path, offset }
    }

    /// Returns the elements of an array of tables; an absent array reads as empty.
    pub fn sections(&self, key: &str) -> Vec<Section<'d, 't>> {
        let path = self.key_path(key);
        match self.value(key).map(Spanned::get_ref) {
            Some(DeValue::Array(array)) => {
                let tables = array.iter().enumerate();
                tables.map(|(index, value)| self.array_element(&path, index, value)).collect()
            }
            Some(_) => {
                self.fault(key, "not an array of tables", format!("write [[{path}]]"));
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    fn array_element(&self, path: &str, index: usize, value: &'d Spanned<DeValue<'t>>) -> Section<'d, 't> {
        let path = format!("{path}[{index}]");
        let offset = value.span().start;
        let table = match value.get_ref() {
            DeValue::Table(table) => Some(table),
            _ => {
                self.document.fault(offset, &path, "not a table".into(), "write a table here".into());
                None
            }
        };
        Section { document: self.document, table, path, offset }
    }

    /// Reads an integer within `range`; the key is required if `default` is `None`.
    pub fn integer<T>(&self, key: &str, range: RangeInclusive<T>, default: Option<T>) -> T
    where
        T: Copy + PartialOrd + std::fmt::Display + FromStr,
    {
        let fallback = default.unwrap_or(*range.start());
        let remedy = || format!("give a whole number from {} to {}", range.start(), range.end());
        let Some(value) = self.value(key) else {
            if default.is_none() {
                self.fault(key, "missing", remedy());
            }
            return fallback;
        };
        let DeValue::Integer(number) = value.get_ref() else {
            self.fault(key, "not a whole number", remedy());
            return fallback;
        };
        match number.as_str().parse::<T>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                self.fault(key, format!("{} is out of range", number.as_str()), remedy());
                fallback
            }
        }
    }

    /// Reads an integer or floating-point number within `range`.
    pub fn number(&self, key: &str, range: RangeInclusive<f64>, default: f64) -> f64 {
        let remedy = || format!("give a number from {} to {}", range.start(), range.end());
        let text = match self.value(key).map(Spanned::get_ref) {
            None => return default,
            Some(DeValue::Float(float)) => float.as_str(),
            Some(DeValue::Integer(integer)) => integer.as_str(),
            Some(_) => {
                self.fault(key, "not a number", remedy());
                return default;
            }
        };
        match text.parse::<f64>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                self.fault(key, format!("{text} is out of range"), remedy());
                default
            }
        }
    }

    /// Reads a boolean.
    pub fn boolean(&self, key: &str, default: bool) -> bool {
        match self.value(key).map(Spanned::get_ref) {
            None => default,
            Some(DeValue::Boolean(flag)) => *flag,
            Some(_) => {
                self.fault(key, "not true or false", "write true or false");
                default
            }
        }
    }

    /// Reads a required, non-empty string; `example` is shown in the remedy.
    pub fn string(&self, key: &str, example: &str) -> String {
        let remedy = format!("give a string such as \"{example}\"");
        match self.value(key).map(Spanned::get_ref) {
            Some(DeValue::String(text)) if !text.is_empty() => return text.to_string(),
            Some(DeValue::String(_)) => self.fault(key, "empty", remedy),
            Some(_) => self.fault(key, "not a string", remedy),
            None => self.fault(key, "missing", remedy),
        }
        String::new()
    }

    /// Reads a string, or returns `default` if the key is absent.
    pub fn string_or(&self, key: &str, default: &str) -> String {
        if self.value(key).is_none() { default.into() } else { self.string(key, default) }
    }

    /// Reads a required string and parses it as a `T`, such as an address.
    pub fn parsed<T: FromStr>(&self, key: &str, example: &str) -> Option<T> {
        let text = self.string(key, example);
        if text.is_empty() {
            return None;
        }
        let value = text.parse().ok();
        if value.is_none() {
            self.fault(key, format!("\"{text}\" is not valid"), format!("write it like \"{example}\""));
        }
        value
    }

    /// Reads a string and parses it as a `T`; returns `None` if the key is absent.
    pub fn parsed_optional<T: FromStr>(&self, key: &str, example: &str) -> Option<T> {
        self.value(key)?;
        self.parsed(key, example)
    }

    /// Reads the name of one of `choices`.
    pub fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)], default: T) -> T {
        if self.value(key).is_none() {
            return default;
        }
        let text = self.string(key, choices[0].0);
        let found = choices.iter().find(|(name, _)| *name == text);
        if found.is_none() && !text.is_empty() {
            let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
            self.fault(key, format!("\"{text}\" is unknown"), format!("use one of: {}", names.join(", ")));
        }
        found.map_or(default, |(_, value)| *value)
    }

    /// Reads an array of strings; an absent array reads as empty.
    pub fn strings(&self, key: &str) -> Vec<String> {
        let remedy = "write an array of strings";
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let DeValue::Array(array) = value.get_ref() else {
            self.fault(key, "not an array", remedy);
            return Vec::new();
        };
        let mut strings = Vec::new();
        for element in array.iter() {
            match element.get_ref() {
                DeValue::String(text) => strings.push(text.to_string()),
                _ => self.fault(key, "contains an element that is not a string", remedy),
            }
        }
        strings
    }

    fn value(&self, key: &str) -> Option<&'d Spanned<DeValue<'t>>> {
        self.table?.get(key)
    }

    fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() { key.into() } else { format!("{}.{key}", self.path) }
    }
}
