//! Tables for terminal output.

/// A table with a header row and aligned columns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header row.
    pub fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(|&cell| cell.to_owned()).collect()] }
    }

    /// Appends a row, with one cell per column.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Formats the table as Markdown, padded so that it is aligned as plain text too.
    pub fn markdown(&self) -> String {
        let columns = self.rows[0].len();
        let width = |column: usize| self.rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
        let widths: Vec<_> = (0..columns).map(width).collect();
        let format_row = |row: &Vec<String>| {
            let cells = row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:<width$}"));
            format!("| {} |\n", cells.collect::<Vec<_>>().join(" | "))
        };
        let separator = widths.iter().map(|&width| "-".repeat(width)).collect();
        let mut text = format_row(&self.rows[0]) + &format_row(&separator);
        text.extend(self.rows[1..].iter().map(format_row));
        text
    }
}
