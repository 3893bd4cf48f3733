//! Tests of the parser of scenario files: all files of the repository, and errors that name file and line.

use std::path::Path;
use std::path::PathBuf;

use rstest::rstest;

use nutmegwalk_scenarios::script;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Guards against invalid files that would only be detected when the scenario is run by hand.
#[test]
fn all_files_of_the_repository_are_valid() {
    let mut count = 0;
    for entry in std::fs::read_dir(root().join("scenarios")).expect("the directory exists") {
        let path = entry.expect("the entry can be read").path();
        if path
            .extension()
            .is_some_and(|extension| extension == "toml")
        {
            let scenario = script::load(&path, &root()).unwrap_or_else(|error| panic!("{error}"));
            assert!(!scenario.description.is_empty(), "{}", path.display());
            count += 1;
        }
    }
    assert!(count > 30, "{count} files");
}

const HEAD: &str = "description = \"test\"\n[deployment]\nfiles = [\"examples/kurzeme\"]\n";

/// Guards against errors that don't give the location of the problem.
#[rstest]
#[case::unknown_step(
    "[[steps]]\ndo = \"kill-everything\"",
    5,
    "`kill-everything` is not a step"
)]
#[case::argument_missing("[[steps]]\ndo = \"kill-owner\"", 5, "a data centre is missing")]
#[case::argument_is_no_number("[[steps]]\ndo = \"kill-entry x\"", 5, "`x` is not an index")]
#[case::unexpected_token("[[steps]]\ndo = \"heal now\"", 5, "unexpected token `now`")]
#[case::unknown_state(
    "[[steps]]\nafter = \"happy\"\ndo = \"heal\"",
    5,
    "`happy` is not a state"
)]
#[case::unknown_key(
    "[[jobs]]\ncount = 1\nwork_ms = 1\ncolour = 2",
    7,
    "unknown field `colour`"
)]
#[case::unknown_customer(
    "[[jobs]]\ncustomer = \"nobody\"\ncount = 1\nwork_ms = 1",
    5,
    "`nobody` does not exist"
)]
#[case::state_and_figure(
    "[[expect]]\nstate = \"heal\"\nfigure = \"jobs\"",
    4,
    "either `state` or `figure`"
)]
#[case::broken_toml("[[steps]]\ndo = ", 5, "")]
fn errors_name_file_and_line(#[case] part: &str, #[case] line: usize, #[case] problem: &str) {
    let name = format!(
        "nutmegwalk-scenario-{}-{line}-{}.toml",
        std::process::id(),
        part.len()
    );
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, format!("{HEAD}{part}\n")).expect("the file can be written");
    let result = script::load(&path, &root());
    std::fs::remove_file(&path).expect("the file can be removed");
    let error = result.expect_err("the file is invalid").detail;
    let location = format!("{}:{line}: ", path.display());
    assert!(
        error.starts_with(&location),
        "{error} does not start with {location}"
    );
    assert!(error.contains(problem), "{error}");
}
