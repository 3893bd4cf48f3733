//! Collects the log lines about one job from the logs of several processes.

use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::table::Table;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Fields that contain the id of a job, or of a task or unit of a job.
const ID_FIELDS: [&str; 4] = ["job", "task", "unit", "beneficiary"];

/// One log line about the job.
#[derive(Debug, Serialize)]
struct Entry {
    time: Box<str>,
    /// Name of the file without its extension, which identifies the process.
    source: Box<str>,
    event: Box<str>,
    /// All other fields.
    details: Map<String, Value>,
}

/// Prints all log lines about the job `id`, in chronological order.
///
/// # Errors
/// `not_found` when a file cannot be read or no line is about the job.
pub(crate) fn explain(id: &str, files: &[PathBuf], json: bool) -> Result<()> {
    let mut entries = Vec::new();
    for file in files {
        entries.extend(read(id, file)?);
    }
    entries.sort_by(|a, b| a.time.cmp(&b.time));
    if entries.is_empty() {
        let detail = format!("no line in {} files is about job {id}", files.len());
        return Err(Error::new(ErrorKind::NotFound, detail));
    }
    if json {
        let text = serde_json::to_string(&entries)
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        println!("{text}");
        return Ok(());
    }
    let mut table = Table::new(&["TIME", "SOURCE", "EVENT", "DETAILS"]);
    for entry in entries {
        let details = entry.details.iter().map(format_field);
        let details: Vec<String> = details.collect();
        table.add(vec![
            entry.time.into(),
            entry.source.into(),
            entry.event.into(),
            details.join(" "),
        ]);
    }
    table.print();
    Ok(())
}

fn read(id: &str, file: &Path) -> Result<Vec<Entry>> {
    let name = file.display();
    let text = std::fs::read(file)
        .map_err(|error| Error::new(ErrorKind::NotFound, format!("cannot read {name}: {error}")))?;
    let source = file.file_stem().unwrap_or(file.as_os_str());
    let source = source.to_string_lossy();
    let mut entries = Vec::new();
    for (number, line) in String::from_utf8_lossy(&text).lines().enumerate() {
        if !line.contains(id) {
            continue;
        }
        match serde_json::from_str::<Map<String, Value>>(line) {
            Ok(fields) if is_about(id, &fields) => entries.push(entry(fields, &source)),
            Ok(_) => {}
            Err(error) => eprintln!("{name}:{}: skipped: {error}", number + 1),
        }
    }
    Ok(entries)
}

fn is_about(id: &str, fields: &Map<String, Value>) -> bool {
    let values = ID_FIELDS
        .iter()
        .filter_map(|name| fields.get(*name)?.as_str());
    values
        .filter_map(|value| value.split('.').next())
        .any(|job| job == id)
}

fn entry(mut fields: Map<String, Value>, source: &str) -> Entry {
    let mut text = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => text.into(),
        _ => Box::default(),
    };
    Entry {
        time: text("time"),
        event: text("event"),
        source: source.into(),
        details: fields,
    }
}

fn format_field((name, value): (&String, &Value)) -> String {
    match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    }
}
