//! A TOML document being read, which collects every fault instead of stopping at the first.

use {
    crate::fault::{Fault, Faults},
    pointvane_core::Name,
    std::cell::RefCell,
    toml::{Spanned, de::DeTable},
};

/// A document being read, with the faults found so far.
pub struct Document<'t> {
    file: Name,
    text: &'t str,
    faults: RefCell<Faults>,
}

impl<'t> Document<'t> {
    /// A document with no faults yet.
    pub fn new(file: &str, text: &'t str) -> Self {
        Self { file: file.into(), text, faults: RefCell::default() }
    }

    /// Parses the text; a syntax error becomes the document's only fault, as nothing else can be read.
    pub fn parse(&self) -> Option<Spanned<DeTable<'t>>> {
        let table = DeTable::parse(self.text).map_err(|error| {
            let start = error.span().map_or(0, |span| span.start);
            let problem = error.message().to_owned();
            self.fault(start, "(syntax)", problem, "write valid TOML here".into());
        });
        table.ok()
    }

    /// Notes a fault at a byte offset.
    pub fn fault(&self, offset: usize, key: &str, problem: String, remedy: String) {
        let line = 1 + self.text[..offset.min(self.text.len())].matches('\n').count();
        let fault = Fault { file: self.file.clone(), line, key: key.into(), problem, remedy };
        self.faults.borrow_mut().0.push(fault);
    }

    /// The faults found.
    pub fn into_faults(self) -> Faults {
        self.faults.into_inner()
    }
}
