//! Tests of the command that tells a request's story from logs.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use nutmegwalk_base::ErrorKind;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

const ENTRY: &str = r#"{"time":"2026-01-01T00:00:01.000Z","level":"INFO","event":"job_accepted","job":"a1","queue":"q"}
{"time":"2026-01-01T00:00:01.500Z","level":"INFO","event":"job_accepted","job":"b2","queue":"q"}
{"time":"2026-01-01T00:00:09.0
"#;
const AGENT: &str = r#"{"time":"2026-01-01T00:00:02.000Z","level":"INFO","event":"start_carried_out","task":"a1.0.0.3","run":1}
{"time":"2026-01-01T00:00:00.500Z","level":"INFO","event":"run_displaced","unit":"b2.0.0","beneficiary":"a1"}
broken line about a1
"#;

fn explain(name: &str, id: &str) -> Output {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("a directory");
    let files = [("entry-1.log", ENTRY), ("agent-1.log", AGENT)].map(|(file, text)| {
        let path = directory.join(file);
        std::fs::write(&path, text).expect("a file");
        path
    });
    Command::new(env!("CARGO_BIN_EXE_nutmegwalk"))
        .args(["logs", "explain", id])
        .args(files)
        .output()
        .expect("the command runs")
}

cases! {
    // Guards against a story that is out of order or lacks the lines of tasks and of displaced runs.
    story_is_in_order_of_time_over_all_files => {
        let output = explain("order", "a1");
        assert!(output.status.success());
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let events: Vec<&str> = text.lines().skip(1).filter_map(|line| line.split_whitespace().nth(2)).collect();
        assert_eq!(events, ["run_displaced", "job_accepted", "start_carried_out"]);
        assert!(text.contains("agent-1"), "{text}");
    }

    // Guards against one broken line that hides all others, or that nobody is told of.
    broken_line_is_named_and_left_out => {
        let output = explain("broken", "a1");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains("agent-1.log:3"), "{text}");
    }

    // Guards against an unknown id that looks like a request without problems.
    unknown_id_is_an_error => {
        let output = explain("unknown", "c3");
        assert_eq!(output.status.code(), Some(i32::from(ErrorKind::NotFound.exit_code())));
    }
}
