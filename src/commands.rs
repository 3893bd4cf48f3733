//! Subcommands that check operators' files or send requests to an entry host.

use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;

use crate::api::EntryApi;
use crate::cli::Connection;
use crate::table::Table;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_config::Configuration;
use nutmegwalk_node::api::AuditEntry;
use nutmegwalk_node::api::DataCentreRequest;
use nutmegwalk_node::api::JobExplanation;
use nutmegwalk_node::api::JobStatus;
use nutmegwalk_node::api::PublishRequest;
use nutmegwalk_node::api::Published;
use nutmegwalk_node::api::Status;
use nutmegwalk_node::api::Submitted;
use nutmegwalk_node::api::TakenOut;
use nutmegwalk_node::jobs::JobRequest;

/// Checks operators' files and prints a summary of their contents, or the configuration as JSON.
pub(crate) fn check(directories: &[PathBuf], json: bool) -> Result<()> {
    let configuration = load(directories)?;
    if json {
        return print_json(&configuration);
    }
    println!(
        "ok: {} data centres, {} services, {} customers, {} operators",
        configuration.data_centres.len(),
        configuration.services.len(),
        configuration.customers.len(),
        configuration.operators.len()
    );
    Ok(())
}

fn load(directories: &[PathBuf]) -> Result<Configuration> {
    let configuration = nutmegwalk_config::load(directories)?;
    nutmegwalk_config::validate(&configuration)?;
    Ok(configuration)
}

/// Publishes operators' files as the successor of the version that is in force.
pub(crate) async fn publish(directories: &[PathBuf], connection: Connection) -> Result<()> {
    let configuration = load(directories)?;
    let api = EntryApi::new(connection)?;
    let current: Configuration = api.get("/v1/configuration").await?;
    let request = PublishRequest {
        based_on: current.version,
        configuration,
    };
    let published: Published = api.post("/v1/publish", &[], &request).await?;
    print_version(&api, &published)
}

/// Takes a data centre out of service.
pub(crate) async fn take_out(
    data_centre: Box<str>,
    lost: bool,
    connection: Connection,
) -> Result<()> {
    let api = EntryApi::new(connection)?;
    let request = DataCentreRequest {
        data_centre: data_centre.clone(),
        lost,
    };
    let taken_out: TakenOut = api.post("/v1/take-out", &[], &request).await?;
    if api.json() {
        return print_json(&taken_out);
    }
    println!(
        "{data_centre} is out of service since version {}",
        taken_out.version
    );
    println!(
        "confirmed by {} of its processes",
        taken_out.confirmed.len()
    );
    if !taken_out.unconfirmed.is_empty() {
        println!("not confirmed by: {}", taken_out.unconfirmed.join(", "));
        println!(
            "no process can start a task there {} ms after the change",
            taken_out.no_start_after_ms
        );
    }
    Ok(())
}

/// Returns a data centre to service.
pub(crate) async fn return_to_service(data_centre: Box<str>, connection: Connection) -> Result<()> {
    let api = EntryApi::new(connection)?;
    let request = DataCentreRequest {
        data_centre,
        lost: false,
    };
    let published: Published = api.post("/v1/return", &[], &request).await?;
    print_version(&api, &published)
}

/// Shows the versions in force, the processes and the data centres.
pub(crate) async fn status(connection: Connection) -> Result<()> {
    let api = EntryApi::new(connection)?;
    let status: Status = api.get("/v1/status").await?;
    if api.json() {
        return print_json(&status);
    }
    println!(
        "version {}, oldest in force {}, view is {} ms old",
        status.version, status.oldest_version, status.view_age_ms
    );
    let mut table = Table::new(&[
        "data centre",
        "state",
        "owner",
        "workers",
        "free/all acc.",
        "running",
        "waiting",
        "degraded",
    ]);
    for data_centre in &status.data_centres {
        let summary = data_centre.summary.clone().unwrap_or_default();
        table.add(vec![
            data_centre.data_centre.to_string(),
            if data_centre.in_service {
                "in service"
            } else {
                "out"
            }
            .into(),
            data_centre.owner.as_deref().unwrap_or("-").into(),
            summary.workers.to_string(),
            format!("{}/{}", summary.free_accelerators, summary.accelerators),
            summary.running_jobs.to_string(),
            summary.waiting_jobs.to_string(),
            summary.degraded_guarantees.join(" "),
        ]);
    }
    table.print();
    let mut table = Table::new(&["process", "data centre", "version", "silent ms"]);
    for process in &status.processes {
        table.add(vec![
            process.process.to_string(),
            process.data_centre.to_string(),
            process.version.to_string(),
            process.silent_ms.to_string(),
        ]);
    }
    table.print();
    Ok(())
}

/// Lists the changes after version `after`.
pub(crate) async fn audit(after: u64, connection: Connection) -> Result<()> {
    let api = EntryApi::new(connection)?;
    let mut entries: Vec<AuditEntry> = Vec::new();
    loop {
        let last = entries.last().map_or(after, |entry| entry.version);
        let page: Vec<AuditEntry> = api.get(&format!("/v1/audit?after={last}")).await?;
        if page.is_empty() {
            break;
        }
        entries.extend(page);
    }
    if api.json() {
        return print_json(&entries);
    }
    let mut table = Table::new(&["version", "from", "operator", "unix ms", "action"]);
    for entry in &entries {
        table.add(vec![
            entry.version.to_string(),
            entry.from_version.to_string(),
            entry.operator.to_string(),
            entry.unix_ms.to_string(),
            entry.action.to_string(),
        ]);
    }
    table.print();
    Ok(())
}

/// Submits the job in `file`.
pub(crate) async fn submit(
    file: &Path,
    key: Option<Box<str>>,
    connection: Connection,
) -> Result<()> {
    let request: JobRequest = serde_json::from_str(&read_text(file)?).map_err(|error| {
        Error::new(
            ErrorKind::BadRequest,
            format!("{}: {error}", file.display()),
        )
    })?;
    let api = EntryApi::new(connection)?;
    let headers: Vec<(&str, &str)> = key.iter().map(|key| ("nutmegwalk-key", &**key)).collect();
    let submitted: Submitted = api.post("/v1/jobs", &headers, &request).await?;
    if api.json() {
        return print_json(&submitted);
    }
    println!("{}", submitted.job);
    if submitted.borrowed {
        eprintln!(
            "the job runs beyond the guarantees of its customer and can be preempted to return capacity"
        );
    }
    Ok(())
}

/// Shows a job.
pub(crate) async fn job(id: &str, connection: Connection) -> Result<()> {
    let api = EntryApi::new(connection)?;
    let status: JobStatus = api.get(&format!("/v1/jobs/{id}")).await?;
    print_job(&api, &status)
}

/// Cancels a job.
pub(crate) async fn cancel(id: &str, connection: Connection) -> Result<()> {
    let api = EntryApi::new(connection)?;
    let status: JobStatus = api.delete(&format!("/v1/jobs/{id}")).await?;
    print_job(&api, &status)
}

/// Explains why a job waits or where it runs.
pub(crate) async fn explain(id: &str, connection: Connection) -> Result<()> {
    let api = EntryApi::new(connection)?;
    let explanation: JobExplanation = api.get(&format!("/v1/jobs/{id}/explain")).await?;
    if api.json() {
        return print_json(&explanation);
    }
    println!("{}", explanation.reason);
    if !explanation.workers.is_empty() {
        println!("workers: {}", explanation.workers.join(", "));
    }
    Ok(())
}

fn print_job(api: &EntryApi, status: &JobStatus) -> Result<()> {
    if api.json() {
        return print_json(status);
    }
    let state = serde_json::to_value(status.state)
        .ok()
        .and_then(|state| state.as_str().map(String::from));
    println!(
        "{}: {} in {}",
        status.job,
        state.unwrap_or_default(),
        status.data_centre
    );
    if let Some(error) = &status.error {
        println!("{error}");
    }
    Ok(())
}

fn print_version(api: &EntryApi, published: &Published) -> Result<()> {
    if api.json() {
        return print_json(published);
    }
    println!("version {}", published.version);
    Ok(())
}

fn print_json<T: Serialize>(value: &T) -> Result<()> {
    let text = serde_json::to_string(value).map_err(|error| {
        Error::new(
            ErrorKind::Internal,
            format!("cannot encode the result: {error}"),
        )
    })?;
    println!("{text}");
    Ok(())
}

fn read_text(file: &Path) -> Result<String> {
    let unreadable = |error: std::io::Error| {
        Error::new(
            ErrorKind::BadRequest,
            format!("{}: {error}", file.display()),
        )
    };
    if file.as_os_str() != "-" {
        return std::fs::read_to_string(file).map_err(unreadable);
    }
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .map_err(unreadable)?;
    Ok(text)
}
