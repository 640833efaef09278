//! Columns for people.

use std::fmt;
use std::fmt::Write;

/// Columns as wide as their widest cell.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(ToString::to_string).collect();
        Self { rows: vec![headings] }
    }

    pub(crate) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths = Vec::new();
        for row in &self.rows {
            for (index, cell) in row.iter().enumerate() {
                if index == widths.len() {
                    widths.push(0);
                }
                // The last cell of a row may run on.
                if index + 1 < row.len() {
                    widths[index] = widths[index].max(cell.chars().count());
                }
            }
        }
        widths
    }
}

impl fmt::Display for Table {
    /// Writes the table with an empty line after it, and nothing if it has no rows.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.rows.len() == 1 {
            return Ok(());
        }
        let widths = self.widths();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                write!(line, "{cell:<width$}  ")?;
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        writeln!(f)
    }
}
