//! Typed access to one table of a document; what is wrong with a key becomes a fault of the document.

use {
    crate::document::Document,
    std::{ops::RangeInclusive, str::FromStr},
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};

/// One table of a document.
pub struct Section<'d, 't> {
    document: &'d Document<'t>,
    table: Option<&'d DeTable<'t>>,
    path: String,
    offset: usize,
}

impl<'d, 't> Section<'d, 't> {
    /// The document's top table.
    pub fn top(document: &'d Document<'t>, table: &'d Spanned<DeTable<'t>>) -> Self {
        Self { document, table: Some(table.get_ref()), path: String::new(), offset: 0 }
    }

    /// The byte offset at which the table or one of its keys starts.
    pub fn offset_of(&self, key: &str) -> usize {
        self.entry(key).map_or(self.offset, |value| value.span().start)
    }

    /// Notes a fault at a key of this table.
    pub fn fault(&self, key: &str, problem: impl Into<String>, remedy: impl Into<String>) {
        self.document.fault(self.offset_of(key), &self.full(key), problem.into(), remedy.into());
    }

    /// Faults every key that is not in `known`.
    pub fn only(&self, known: &[&str]) {
        let Some(table) = self.table else { return };
        for (key, _) in table.iter().filter(|(key, _)| !known.contains(&key.get_ref().as_ref())) {
            let name = self.full(key.get_ref());
            let remedy = format!("remove it, or use one of: {}", known.join(", "));
            self.document.fault(key.span().start, &name, "unknown key".into(), remedy);
        }
    }

    /// A table below this one; an absent one reads as empty.
    pub fn section(&self, key: &str) -> Section<'d, 't> {
        let path = self.full(key);
        let value = self.entry(key);
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

    /// The tables of an array of tables.
    pub fn sections(&self, key: &str) -> Vec<Section<'d, 't>> {
        let path = self.full(key);
        match self.entry(key).map(Spanned::get_ref) {
            Some(DeValue::Array(array)) => {
                let tables = array.iter().enumerate();
                tables.map(|(index, value)| self.element(&path, index, value)).collect()
            }
            Some(_) => {
                self.fault(key, "not an array of tables", format!("write [[{path}]]"));
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    fn element(&self, path: &str, index: usize, value: &'d Spanned<DeValue<'t>>) -> Section<'d, 't> {
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

    /// A whole number within a range; `default` none makes it required.
    pub fn integer<T>(&self, key: &str, range: RangeInclusive<T>, default: Option<T>) -> T
    where
        T: Copy + PartialOrd + std::fmt::Display + FromStr,
    {
        let fallback = default.unwrap_or(*range.start());
        let remedy = || format!("give a whole number from {} to {}", range.start(), range.end());
        let Some(value) = self.entry(key) else {
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

    /// A number within a range.
    pub fn number(&self, key: &str, range: RangeInclusive<f64>, default: f64) -> f64 {
        let remedy = || format!("give a number from {} to {}", range.start(), range.end());
        let text = match self.entry(key).map(Spanned::get_ref) {
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

    /// A truth value.
    pub fn flag(&self, key: &str, default: bool) -> bool {
        match self.entry(key).map(Spanned::get_ref) {
            None => default,
            Some(DeValue::Boolean(flag)) => *flag,
            Some(_) => {
                self.fault(key, "not true or false", "write true or false");
                default
            }
        }
    }

    /// A text, required.
    pub fn text(&self, key: &str, example: &str) -> String {
        let remedy = format!("give a text such as \"{example}\"");
        match self.entry(key).map(Spanned::get_ref) {
            Some(DeValue::String(text)) if !text.is_empty() => return text.to_string(),
            Some(DeValue::String(_)) => self.fault(key, "empty", remedy),
            Some(_) => self.fault(key, "not a text", remedy),
            None => self.fault(key, "missing", remedy),
        }
        String::new()
    }

    /// A text, or a default when it is absent.
    pub fn text_or(&self, key: &str, default: &str) -> String {
        if self.entry(key).is_none() { default.into() } else { self.text(key, default) }
    }

    /// A text that reads as a `T`, such as an address; required.
    pub fn parsed<T: FromStr>(&self, key: &str, example: &str) -> Option<T> {
        let text = self.text(key, example);
        if text.is_empty() {
            return None;
        }
        let value = text.parse().ok();
        if value.is_none() {
            self.fault(key, format!("\"{text}\" cannot be used"), format!("write it like \"{example}\""));
        }
        value
    }

    /// A text that reads as a `T`, or none when it is absent.
    pub fn parsed_if_given<T: FromStr>(&self, key: &str, example: &str) -> Option<T> {
        self.entry(key)?;
        self.parsed(key, example)
    }

    /// One of the named choices.
    pub fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)], default: T) -> T {
        if self.entry(key).is_none() {
            return default;
        }
        let text = self.text(key, choices[0].0);
        let found = choices.iter().find(|(name, _)| *name == text);
        if found.is_none() && !text.is_empty() {
            let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
            self.fault(key, format!("\"{text}\" is unknown"), format!("use one of: {}", names.join(", ")));
        }
        found.map_or(default, |(_, value)| *value)
    }

    /// A list of texts.
    pub fn texts(&self, key: &str) -> Vec<String> {
        let remedy = "write a list of texts";
        let Some(value) = self.entry(key) else {
            return Vec::new();
        };
        let DeValue::Array(array) = value.get_ref() else {
            self.fault(key, "not a list", remedy);
            return Vec::new();
        };
        let mut texts = Vec::new();
        for element in array.iter() {
            match element.get_ref() {
                DeValue::String(text) => texts.push(text.to_string()),
                _ => self.fault(key, "holds something else than texts", remedy),
            }
        }
        texts
    }

    fn entry(&self, key: &str) -> Option<&'d Spanned<DeValue<'t>>> {
        self.table?.get(key)
    }

    fn full(&self, key: &str) -> String {
        if self.path.is_empty() { key.into() } else { format!("{}.{key}", self.path) }
    }
}
