//! Tests of the command that collects the log lines about a job.

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
    std::fs::create_dir_all(&directory).expect("directory is created");
    let files = [("entry-1.log", ENTRY), ("agent-1.log", AGENT)].map(|(file, text)| {
        let path = directory.join(file);
        std::fs::write(&path, text).expect("file is written");
        path
    });
    Command::new(env!("CARGO_BIN_EXE_nutmegwalk"))
        .args(["logs", "explain", id])
        .args(files)
        .output()
        .expect("the command runs")
}

cases! {
    // Guards against a trace that is out of order or lacks the lines of tasks and of preempted runs.
    lines_of_all_files_are_in_chronological_order => {
        let output = explain("order", "a1");
        assert!(output.status.success());
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let events: Vec<&str> = text.lines().skip(1).filter_map(|line| line.split_whitespace().nth(2)).collect();
        assert_eq!(events, ["run_displaced", "job_accepted", "start_carried_out"]);
        assert!(text.contains("agent-1"), "{text}");
    }

    // Guards against one malformed line that hides all others, or that is skipped without a message.
    malformed_line_is_reported_and_skipped => {
        let output = explain("broken", "a1");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains("agent-1.log:3"), "{text}");
    }

    // Guards against an unknown id being reported as a job without any events.
    unknown_id_is_an_error => {
        let output = explain("unknown", "c3");
        assert_eq!(output.status.code(), Some(i32::from(ErrorKind::NotFound.exit_code())));
    }
}
