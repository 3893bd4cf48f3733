//! Measurements with fitted straight lines, as JSON and as text.

use std::fmt;

use serde::Serialize;

use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Quantity measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Measurement {
    name: Box<str>,
    /// Unit of the size.
    per: Box<str>,
    unit: Box<str>,
    points: Vec<(f64, f64)>,
    slope: f64,
    intercept: f64,
}

/// Output of a run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Output {
    seed: u64,
    processors: usize,
    figures: Vec<Measurement>,
    notes: Vec<String>,
}

impl Output {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            processors: std::thread::available_parallelism().map_or(0, usize::from),
            figures: Vec::new(),
            notes: Vec::new(),
        }
    }

    /// Adds a note and prints it to the standard error.
    pub(crate) fn note(&mut self, note: impl Into<String>) {
        let note = note.into();
        eprintln!("{note}");
        self.notes.push(note);
    }

    /// Adds a measurement, whose `points` are pairs of size and value, and prints it to the standard error.
    pub(crate) fn add_measurement(
        &mut self,
        name: &str,
        per: &str,
        unit: &str,
        points: Vec<(f64, f64)>,
    ) {
        let (slope, intercept) = fit_line(&points);
        let measurement = Measurement {
            name: name.into(),
            per: per.into(),
            unit: unit.into(),
            points,
            slope,
            intercept,
        };
        eprintln!("{measurement}");
        self.figures.push(measurement);
    }

    pub(crate) fn to_json(&self) -> Result<String> {
        serde_json::to_string_pretty(self)
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))
    }
}

impl fmt::Display for Measurement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} [{}]: {:.5} per {} + {:.4}  (",
            self.name, self.unit, self.slope, self.per, self.intercept
        )?;
        for (index, (size, value)) in self.points.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(formatter, "{separator}{size:.4}: {value:.4}")?;
        }
        formatter.write_str(")")
    }
}

impl fmt::Display for Output {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "seed {}, {} processors",
            self.seed, self.processors
        )?;
        for measurement in &self.figures {
            writeln!(formatter, "{measurement}")?;
        }
        for note in &self.notes {
            writeln!(formatter, "{note}")?;
        }
        Ok(())
    }
}

/// Fits a straight line by least squares; returns slope and intercept.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len().max(1) as f64;
    let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
    let (mut covariance, mut variance) = (0.0, 0.0);
    for (size, value) in points {
        covariance += (size - mean_size) * (value - mean_value);
        variance += (size - mean_size) * (size - mean_size);
    }
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    (slope, mean_value - slope * mean_size)
}
