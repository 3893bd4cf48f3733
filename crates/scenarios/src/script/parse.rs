//! Parser of scenario files. Its errors name file and line.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use crate::dev::example_token;
use crate::script::Action;
use crate::script::Expectation;
use crate::script::File;
use crate::script::FileExpectation;
use crate::script::FileStep;
use crate::script::Scenario;
use crate::script::State;
use crate::script::Step;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_base::secret::token_digest;
use nutmegwalk_config::Configuration;

/// Name and text of a file, used to report errors with line numbers.
struct Source<'a> {
    name: String,
    text: &'a str,
}

impl Source<'_> {
    fn error(&self, offset: usize, problem: &str) -> Error {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        invalid(format!("{}:{line}: {problem}", self.name))
    }
}

fn invalid(detail: String) -> Error {
    Error::new(ErrorKind::InvalidConfiguration, detail)
}

/// Reads the scenario at `path`; the operators' files that it names are resolved relative to `root`.
///
/// # Errors
/// `invalid_configuration` naming file and line; the errors of the operators' files.
pub fn load(path: &Path, root: &Path) -> Result<Scenario> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| invalid(format!("{}: cannot be read: {error}", path.display())))?;
    let source = Source {
        name: path.display().to_string(),
        text: &text,
    };
    let file: File = toml::from_str(&text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        source.error(offset, error.message())
    })?;
    let configuration = configuration(&source, &file, root)?;
    let steps = file.steps.iter().map(|step| to_step(&source, step));
    let expectations = file.expect.iter().map(|expectation| {
        to_expectation(expectation.get_ref(), file.limit_ms)
            .map_err(|problem| source.error(expectation.span().start, &problem))
    });
    let scenario = Scenario {
        name: path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into(),
        steps: steps.collect::<Result<_>>()?,
        expectations: expectations.collect::<Result<_>>()?,
        description: file.description,
        seed: file.seed,
        limit: Duration::from_millis(file.limit_ms),
        configuration,
        deployment: file.deployment,
        jobs: file.jobs,
        calls: file.calls,
    };
    check_customers(&source, &scenario)?;
    Ok(scenario)
}

fn configuration(source: &Source<'_>, file: &File, root: &Path) -> Result<Configuration> {
    let files = &file.deployment.files;
    let Some(sites) = &file.sites else {
        if files.is_empty() {
            return Err(invalid(format!(
                "{}: `deployment.files` or a section `sites` is needed",
                source.name
            )));
        }
        let paths: Vec<PathBuf> = files.iter().map(|path| root.join(&**path)).collect();
        return nutmegwalk_config::load(&paths);
    };
    if !files.is_empty() {
        return Err(invalid(format!(
            "{}: `deployment.files` and `sites` exclude each other",
            source.name
        )));
    }
    let mut sites = sites.clone();
    for section in ["customers", "operators"] {
        let Some(toml::Value::Table(entries)) = sites.get_mut(section) else {
            continue;
        };
        for (name, entry) in entries.iter_mut() {
            if let toml::Value::Table(entry) = entry {
                entry
                    .entry("token_digest")
                    .or_insert_with(|| token_digest(&example_token(name)).to_string().into());
            }
        }
    }
    let text =
        toml::to_string(&sites).map_err(|error| invalid(format!("{}: {error}", source.name)))?;
    nutmegwalk_config::load_text(&format!("{} [sites]", source.name), &text)
}

fn to_step(source: &Source<'_>, step: &FileStep) -> Result<Step> {
    let action = Action::parse(step.action.get_ref())
        .map_err(|problem| source.error(step.action.span().start, &problem))?;
    let after = match &step.after {
        None => None,
        Some(text) => Some(
            State::parse(text.get_ref())
                .map_err(|problem| source.error(text.span().start, &problem))?,
        ),
    };
    Ok(Step {
        at: Duration::from_millis(step.at_ms),
        after,
        delay: Duration::from_millis(step.delay_ms),
        action,
    })
}

fn to_expectation(expectation: &FileExpectation, limit_ms: u64) -> Result<Expectation, String> {
    match (&expectation.state, &expectation.figure) {
        (Some(state), None) => Ok(Expectation::Reached {
            state: State::parse(state)?,
            within: Duration::from_millis(expectation.within_ms.unwrap_or(limit_ms)),
        }),
        (None, Some(name)) => Ok(Expectation::Metric {
            name: name.clone(),
            min: expectation.min.unwrap_or(f64::NEG_INFINITY),
            max: expectation.max.unwrap_or(f64::INFINITY),
        }),
        _ => Err("an expectation has either `state` or `figure`".into()),
    }
}

fn check_customers(source: &Source<'_>, scenario: &Scenario) -> Result<()> {
    let customers = &scenario.configuration.customers;
    let jobs = scenario.jobs.iter().map(|load| &load.customer);
    let calls = scenario.calls.iter().map(|load| &load.customer);
    for name in jobs.chain(calls).flatten() {
        if !customers.contains_key(name) {
            let offset = source.text.find(&format!("\"{name}\"")).unwrap_or(0);
            return Err(source.error(offset, &format!("customer `{name}` does not exist")));
        }
    }
    for load in scenario.jobs.iter() {
        if let (Some(guarantee), Some(customer)) = (&load.guarantee, &load.customer)
            && !customers[customer].guarantees.contains_key(guarantee)
        {
            let offset = source.text.find(&format!("\"{guarantee}\"")).unwrap_or(0);
            let problem = format!("`{customer}` has no guarantee `{guarantee}`");
            return Err(source.error(offset, &problem));
        }
    }
    Ok(())
}
