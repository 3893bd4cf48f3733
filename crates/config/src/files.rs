//! Loading of operators' files.

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

/// Largest accepted file; operators' files are short, so a larger one is some other file.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// Deepest accepted nesting of directories.
const MAX_DEPTH: usize = 16;

/// One operators' file; each section may hold any number of entries.
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
    // Optional here so that its lack gets a message that says how to make one.
    token_digest: Option<Box<str>>,
    calls_per_second: u32,
    #[serde(default = "one")]
    weight: u32,
    #[serde(default)]
    guarantees: BTreeMap<Box<str>, Spanned<Guarantee>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileOperator {
    token_digest: Option<Box<str>>,
}

fn one() -> u32 {
    1
}

/// Loads and validates all `*.toml` files under `paths`; a path may also name one file.
///
/// The configuration has version 0 and all data centres in service: versions and service state
/// are not in files.
///
/// # Errors
/// `invalid_configuration` or `guarantees_clash`; each line of the detail names the file, the line,
/// what is wrong and what would be right.
pub fn load(paths: &[PathBuf]) -> Result<Configuration> {
    let mut files = Vec::new();
    for path in paths {
        gather(path, 0, &mut files)?;
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
        match read(path) {
            Ok(text) => loader.add(&path.display().to_string(), &text),
            Err(error) => loader.errors.push(error.detail.into()),
        }
    }
    loader.finish()
}

/// Loads one file's text as the whole configuration; `name` stands for the file in errors.
///
/// # Errors
/// As for [`load`].
pub fn load_text(name: &str, text: &str) -> Result<Configuration> {
    let mut loader = Loader::default();
    loader.add(name, text);
    loader.finish()
}

fn unreadable(path: &Path, error: impl std::fmt::Display) -> Error {
    let detail = format!("{}: cannot be read: {error}", path.display());
    Error::new(ErrorKind::InvalidConfiguration, detail)
}

fn gather(path: &Path, depth: usize, files: &mut Vec<PathBuf>) -> Result<()> {
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
        gather(&entry.path(), depth + 1, files)?;
    }
    Ok(())
}

fn read(path: &Path) -> Result<String> {
    let metadata = fs::metadata(path).map_err(|error| unreadable(path, error))?;
    if metadata.len() > MAX_FILE_BYTES {
        let detail = format!("larger than {MAX_FILE_BYTES} bytes");
        return Err(unreadable(path, detail));
    }
    fs::read_to_string(path).map_err(|error| unreadable(path, error))
}

#[derive(Default)]
struct Loader {
    configuration: Configuration,
    places: BTreeMap<Subject, Box<str>>,
    errors: Vec<String>,
}

impl Loader {
    fn add(&mut self, name: &str, text: &str) {
        let file: File = match toml::from_str(text) {
            Ok(file) => file,
            Err(error) => {
                let line = error.span().map_or(1, |span| line_of(text, span.start));
                let message = error.message().replace('\n', " ");
                self.errors.push(format!("{name}:{line}: {message}"));
                return;
            }
        };
        let place = |offset: usize| format!("{name}:{}", line_of(text, offset));
        for (id, entry) in file.data_centres {
            let place = place(entry.span().start);
            if self.claim(Subject::DataCentre(id.clone()), &place) {
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
            let place = place(entry.span().start);
            if self.claim(Subject::Service(id.clone()), &place) {
                self.configuration.services.insert(id, entry.into_inner());
            }
        }
        for (id, entry) in file.customers {
            let customer_place = place(entry.span().start);
            if !self.claim(Subject::Customer(id.clone()), &customer_place) {
                continue;
            }
            let customer = entry.into_inner();
            let mut guarantees = BTreeMap::new();
            for (guarantee, entry) in customer.guarantees {
                let subject = Subject::Guarantee(id.clone(), guarantee.clone());
                self.claim(subject, &place(entry.span().start));
                guarantees.insert(guarantee, entry.into_inner());
            }
            let subject = Subject::Customer(id.clone());
            let customer = Customer {
                token_digest: self.digest(&subject, &customer_place, customer.token_digest),
                calls_per_second: customer.calls_per_second,
                weight: customer.weight,
                guarantees,
            };
            self.configuration.customers.insert(id, customer);
        }
        for (id, entry) in file.operators {
            let place = place(entry.span().start);
            let subject = Subject::Operator(id.clone());
            if self.claim(subject.clone(), &place) {
                let token_digest = entry.into_inner().token_digest;
                let token_digest = self.digest(&subject, &place, token_digest);
                self.configuration
                    .operators
                    .insert(id, Operator { token_digest });
            }
        }
    }

    /// Records where an entry stands; an entry that another file holds already is an error.
    fn claim(&mut self, subject: Subject, place: &str) -> bool {
        if let Some(first) = self.places.get(&subject) {
            let message = format!("{place}: {subject} is already in {first}; keep one of them");
            self.errors.push(message);
            return false;
        }
        self.places.insert(subject, place.into());
        true
    }

    fn digest(&mut self, subject: &Subject, place: &str, digest: Option<Box<str>>) -> Box<str> {
        digest.unwrap_or_else(|| {
            self.errors.push(format!(
                "{place}: {subject} lacks token_digest; add token_digest = \"<64 hexadecimal digits of \
                 the token's BLAKE3 digest>\""
            ));
            Box::default()
        })
    }

    fn finish(self) -> Result<Configuration> {
        if !self.errors.is_empty() {
            let detail = self.errors.join("\n");
            return Err(Error::new(ErrorKind::InvalidConfiguration, detail));
        }
        let problems = problems(&self.configuration, check_capacity);
        let lines = problems.iter().map(|problem| self.line(problem)).collect();
        to_result(&problems, lines)?;
        Ok(self.configuration)
    }

    fn line(&self, problem: &Problem) -> String {
        let Problem {
            subject, detail, ..
        } = problem;
        match self.places.get(subject) {
            Some(place) => format!("{place}: {subject}: {detail}"),
            None => format!("{subject}: {detail}"),
        }
    }
}

/// Returns the line of a byte offset, counted from 1.
fn line_of(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    1 + before.filter(|byte| **byte == b'\n').count()
}
