//! Plain tables for people.

/// Rows of cells under a head, columns aligned.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with a head.
    pub fn new(head: &[&str]) -> Self {
        Self { rows: vec![head.iter().map(|&cell| cell.to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The table in Markdown, which also reads well as it is.
    pub fn markdown(&self) -> String {
        let columns = self.rows[0].len();
        let width = |column: usize| self.rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
        let widths: Vec<_> = (0..columns).map(width).collect();
        let line = |row: &Vec<String>| {
            let cells = row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:<width$}"));
            format!("| {} |\n", cells.collect::<Vec<_>>().join(" | "))
        };
        let rule = widths.iter().map(|&width| "-".repeat(width)).collect();
        let mut text = line(&self.rows[0]) + &line(&rule);
        text.extend(self.rows[1..].iter().map(line));
        text
    }
}
