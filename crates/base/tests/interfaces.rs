//! Compares the tables of error kinds and events in the documentation with the code.

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::event;

/// Guards against a documented status, exit code or outcome that differs from the code.
#[rstest::rstest]
fn documented_error_table_matches_the_code() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/interfaces.md");
    let document = std::fs::read_to_string(path).unwrap();
    let (_, table) = document.split_once("## Error kinds").unwrap();
    let documented: Vec<String> = table
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            line.split('|')
                .skip(1)
                .take(4)
                .map(str::trim)
                .collect::<Vec<_>>()
                .join(" ")
        })
        .collect();
    let coded: Vec<String> = ErrorKind::ALL
        .iter()
        .map(|kind| {
            format!(
                "`{}` {} {} {}",
                kind.name(),
                kind.http_status(),
                kind.exit_code(),
                kind.outcome().name()
            )
        })
        .collect();
    assert_eq!(documented, coded);
}

/// Guards against a log event that the operations page does not explain.
#[rstest::rstest]
fn documented_events_match_the_code() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let document = std::fs::read_to_string(path).unwrap();
    let (_, table) = document.split_once("## Events").unwrap();
    let documented: Vec<&str> = table
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let coded: Vec<String> = event::ALL
        .iter()
        .map(|event| format!("| `{}` | {} |", event.name, event.meaning))
        .collect();
    assert_eq!(documented, coded);
}
