//! Prints aligned tables on standard output.

/// A heading and rows of cells.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with its heading.
    pub(crate) fn new(heading: &[&str]) -> Self {
        Self {
            rows: vec![heading.iter().map(ToString::to_string).collect()],
        }
    }

    /// Adds a row, which must have as many cells as the heading.
    pub(crate) fn add(&mut self, row: Vec<String>) {
        debug_assert_eq!(row.len(), self.rows[0].len());
        self.rows.push(row);
    }

    /// Prints the table, each column as wide as its widest cell.
    pub(crate) fn print(&self) {
        let widths: Vec<usize> = (0..self.rows[0].len())
            .map(|column| {
                self.rows
                    .iter()
                    .map(|row| row[column].chars().count())
                    .max()
                    .unwrap_or(0)
            })
            .collect();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            println!("{}", cells.join("  ").trim_end());
        }
    }
}
