//! A parsed TOML document that collects every fault instead of stopping at the first.

use {
    crate::fault::{Fault, Faults},
    pointvane_core::Name,
    std::cell::RefCell,
    toml::{Spanned, de::DeTable},
};

/// A TOML document and the faults found in it so far.
pub struct Document<'t> {
    file: Name,
    text: &'t str,
    faults: RefCell<Faults>,
}

impl<'t> Document<'t> {
    /// Creates a document without faults; `file` is the name reported in faults.
    pub fn new(file: &str, text: &'t str) -> Self {
        Self { file: file.into(), text, faults: RefCell::default() }
    }

    /// Parses the text. After a syntax error no key can be read, so it stays the document's only fault.
    pub fn parse(&self) -> Option<Spanned<DeTable<'t>>> {
        let table = DeTable::parse(self.text).map_err(|error| {
            let start = error.span().map_or(0, |span| span.start);
            let problem = error.message().to_owned();
            self.fault(start, "(syntax)", problem, "write valid TOML here".into());
        });
        table.ok()
    }

    /// Records a fault at a byte offset of the text.
    pub fn fault(&self, offset: usize, key: &str, problem: String, remedy: String) {
        let line = 1 + self.text[..offset.min(self.text.len())].matches('\n').count();
        let fault = Fault { file: self.file.clone(), line, key: key.into(), problem, remedy };
        self.faults.borrow_mut().0.push(fault);
    }

    /// Returns the recorded faults.
    pub fn into_faults(self) -> Faults {
        self.faults.into_inner()
    }
}
