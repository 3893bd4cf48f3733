//! Loads operators' files.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use toml::Spanned;

use crate::Configuration;
use crate::Customer;
use crate::DataCentre;
use crate::Guarantee;
use crate::Operator;
use crate::Problem;
use crate::Rack;
use crate::Service;
use crate::Subject;
use crate::check_capacity;
use crate::problems;
use crate::validation::to_result;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;

/// Maximum size of a file; operators' files are short, so a larger file is not one of them.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// Maximum nesting depth of directories.
const MAX_DEPTH: usize = 16;

/// Content of one operators' file; each section may contain any number of entries.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    data_centres: BTreeMap<Box<str>, Spanned<FileDataCentre>>,
    services: BTreeMap<Box<str>, Spanned<Service>>,
    customers: BTreeMap<Box<str>, Spanned<FileCustomer>>,
    operators: BTreeMap<Box<str>, Spanned<FileOperator>>,
}

/// A data centre without its service state, which only operators' commands set.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileDataCentre {
    region: Box<str>,
    racks: BTreeMap<Box<str>, Rack>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileCustomer {
    // Optional here so that the error for a missing digest can describe how to add one.
    token_digest: Option<Box<str>>,
    calls_per_second: u32,
    #[serde(default = "default_weight")]
    weight: u32,
    #[serde(default)]
    guarantees: BTreeMap<Box<str>, Spanned<Guarantee>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileOperator {
    token_digest: Option<Box<str>>,
}

fn default_weight() -> u32 {
    1
}

/// Loads and validates all `*.toml` files under `paths`; a path may also be that of one file.
///
/// The configuration has version 0 and all data centres are in service, because files contain neither versions
/// nor service states.
///
/// # Errors
/// `invalid_configuration` or `guarantees_clash`; each line of the detail names the file and the line,
/// if there are any, the problem and the remedy.
pub fn load(paths: &[PathBuf]) -> Result<Configuration> {
    let mut files = Vec::new();
    for path in paths {
        collect_files(path, 0, &mut files)?;
    }
    files.sort();
    files.dedup();
    if files.is_empty() {
        let paths: Vec<String> = paths
            .iter()
            .map(|path| path.display().to_string())
            .collect();
        let detail = format!("no *.toml file under {}", paths.join(", "));
        return Err(Error::new(ErrorKind::InvalidConfiguration, detail));
    }
    let mut loader = Loader::default();
    for path in &files {
        match read_file(path) {
            Ok(text) => loader.add(&path.display().to_string(), &text),
            Err(error) => loader.errors.push(error.detail.into()),
        }
    }
    loader.finish()
}

/// Loads the text of one file as the whole configuration; errors refer to the file as `name`.
///
/// # Errors
/// As for [`load`].
pub fn load_text(name: &str, text: &str) -> Result<Configuration> {
    let mut loader = Loader::default();
    loader.add(name, text);
    loader.finish()
}

/// Returns the error for a path that cannot be read.
fn unreadable(path: &Path, error: impl std::fmt::Display) -> Error {
    let detail = format!("{}: cannot be read: {error}", path.display());
    Error::new(ErrorKind::InvalidConfiguration, detail)
}

/// Adds `path` to `files` if it is a file, otherwise all `*.toml` files in the directory and its subdirectories.
fn collect_files(path: &Path, depth: usize, files: &mut Vec<PathBuf>) -> Result<()> {
    if !path.is_dir() {
        if depth > 0 && path.extension().is_none_or(|extension| extension != "toml") {
            return Ok(());
        }
        files.push(path.to_path_buf());
        return Ok(());
    }
    if depth > MAX_DEPTH {
        return Err(unreadable(path, "directories are nested too deeply"));
    }
    for entry in fs::read_dir(path).map_err(|error| unreadable(path, error))? {
        let entry = entry.map_err(|error| unreadable(path, error))?;
        collect_files(&entry.path(), depth + 1, files)?;
    }
    Ok(())
}

fn read_file(path: &Path) -> Result<String> {
    let metadata = fs::metadata(path).map_err(|error| unreadable(path, error))?;
    if metadata.len() > MAX_FILE_BYTES {
        let detail = format!("larger than {MAX_FILE_BYTES} bytes");
        return Err(unreadable(path, detail));
    }
    fs::read_to_string(path).map_err(|error| unreadable(path, error))
}

/// Merges files into one configuration and collects their errors.
#[derive(Default)]
struct Loader {
    configuration: Configuration,
    /// File and line of each entry.
    locations: BTreeMap<Subject, Box<str>>,
    errors: Vec<String>,
}

impl Loader {
    fn add(&mut self, name: &str, text: &str) {
        let file: File = match toml::from_str(text) {
            Ok(file) => file,
            Err(error) => {
                let line = error.span().map_or(1, |span| line_number(text, span.start));
                let message = error.message().replace('\n', " ");
                self.errors.push(format!("{name}:{line}: {message}"));
                return;
            }
        };
        let location = |offset: usize| format!("{name}:{}", line_number(text, offset));
        for (id, entry) in file.data_centres {
            let location = location(entry.span().start);
            if self.register(Subject::DataCentre(id.clone()), &location) {
                let FileDataCentre { region, racks } = entry.into_inner();
                let data_centre = DataCentre {
                    region,
                    in_service: true,
                    racks,
                };
                self.configuration.data_centres.insert(id, data_centre);
            }
        }
        for (id, entry) in file.services {
            let location = location(entry.span().start);
            if self.register(Subject::Service(id.clone()), &location) {
                self.configuration.services.insert(id, entry.into_inner());
            }
        }
        for (id, entry) in file.customers {
            let customer_location = location(entry.span().start);
            if !self.register(Subject::Customer(id.clone()), &customer_location) {
                continue;
            }
            let customer = entry.into_inner();
            let mut guarantees = BTreeMap::new();
            for (guarantee, entry) in customer.guarantees {
                let subject = Subject::Guarantee(id.clone(), guarantee.clone());
                self.register(subject, &location(entry.span().start));
                guarantees.insert(guarantee, entry.into_inner());
            }
            let subject = Subject::Customer(id.clone());
            let customer = Customer {
                token_digest: self.require_digest(
                    &subject,
                    &customer_location,
                    customer.token_digest,
                ),
                calls_per_second: customer.calls_per_second,
                weight: customer.weight,
                guarantees,
            };
            self.configuration.customers.insert(id, customer);
        }
        for (id, entry) in file.operators {
            let location = location(entry.span().start);
            let subject = Subject::Operator(id.clone());
            if self.register(subject.clone(), &location) {
                let token_digest = entry.into_inner().token_digest;
                let token_digest = self.require_digest(&subject, &location, token_digest);
                self.configuration
                    .operators
                    .insert(id, Operator { token_digest });
            }
        }
    }

    /// Records the location of an entry. An entry that is already in another file is an error; returns whether
    /// there is none.
    fn register(&mut self, subject: Subject, location: &str) -> bool {
        if let Some(first) = self.locations.get(&subject) {
            let message = format!("{location}: {subject} is already in {first}; keep one of them");
            self.errors.push(message);
            return false;
        }
        self.locations.insert(subject, location.into());
        true
    }

    /// Returns the digest; records an error and returns an empty one when it is missing.
    fn require_digest(
        &mut self,
        subject: &Subject,
        location: &str,
        digest: Option<Box<str>>,
    ) -> Box<str> {
        digest.unwrap_or_else(|| {
            self.errors.push(format!(
                "{location}: {subject} lacks token_digest; add token_digest = \"<64 hexadecimal digits of \
                 the token's BLAKE3 digest>\""
            ));
            Box::default()
        })
    }

    /// Validates the merged configuration, unless a file already had errors.
    fn finish(self) -> Result<Configuration> {
        if !self.errors.is_empty() {
            let detail = self.errors.join("\n");
            return Err(Error::new(ErrorKind::InvalidConfiguration, detail));
        }
        let problems = problems(&self.configuration, check_capacity);
        let lines = problems
            .iter()
            .map(|problem| self.format_problem(problem))
            .collect();
        to_result(&problems, lines)?;
        Ok(self.configuration)
    }

    fn format_problem(&self, problem: &Problem) -> String {
        let Problem {
            subject, detail, ..
        } = problem;
        match self.locations.get(subject) {
            Some(location) => format!("{location}: {subject}: {detail}"),
            None => format!("{subject}: {detail}"),
        }
    }
}

/// Returns the line number of a byte offset, counted from 1.
fn line_number(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    1 + before.filter(|byte| **byte == b'\n').count()
}
