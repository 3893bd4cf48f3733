//! Tests of the command line against a deployment on loopback.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_scenarios::deployment::BOOTSTRAP_TOKEN;
use nutmegwalk_scenarios::deployment::Deployment;
use nutmegwalk_scenarios::deployment::DeploymentPlan;

/// Timeout of a wait for a state that the deployment reaches in a few seconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const OPERATOR_TOKEN: &str = "example-anna-token";
const CUSTOMER_TOKEN: &str = "example-grading-desk-token";

fn examples() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples/kurzeme")
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_nutmegwalk"))
        .args(arguments)
        .output()
        .unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).trim().to_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn assert_fails(output: &Output, kind: ErrorKind, text: &str) {
    assert_eq!(
        output.status.code(),
        Some(i32::from(kind.exit_code())),
        "{}",
        stderr(output)
    );
    assert!(stderr(output).contains(text), "{}", stderr(output));
}

/// A running deployment and the arguments with which the commands connect to it.
struct TestDeployment {
    _deployment: Deployment,
    entries: String,
}

impl TestDeployment {
    fn start() -> Self {
        let deployment = Deployment::start(DeploymentPlan::new(&[examples()], 1).unwrap()).unwrap();
        let entries: Vec<String> = deployment
            .entry_addresses()
            .iter()
            .map(ToString::to_string)
            .collect();
        Self {
            entries: entries.join(","),
            _deployment: deployment,
        }
    }

    fn run(&self, token: &str, arguments: &[&str]) -> Output {
        let connection = ["--entry", &self.entries, "--token", token];
        run(&[arguments, &connection].concat())
    }

    /// Runs a command until it succeeds.
    fn run_until_ok(&self, token: &str, arguments: &[&str]) -> Output {
        let started = Instant::now();
        loop {
            let output = self.run(token, arguments);
            if output.status.success() || started.elapsed() > WAIT_TIMEOUT {
                assert!(
                    output.status.success(),
                    "{arguments:?}: {}",
                    stderr(&output)
                );
                return output;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Publishes the examples and waits until every data centre has an owner.
    fn publish(&self) {
        let directory = examples();
        self.run_until_ok(BOOTSTRAP_TOKEN, &["publish", directory.to_str().unwrap()]);
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            let status = self.run(OPERATOR_TOKEN, &["status"]);
            let text = stdout(&status);
            if status.status.success() && text.matches("in service  agent-").count() == 3 {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        panic!("not every data centre has an owner");
    }
}

fn scratch_directory(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).unwrap();
    for (file, text) in files {
        std::fs::write(directory.join(file), text).unwrap();
    }
    directory
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

cases! {
    // Guards against an error in a file that is reported without the file and the line.
    check_reports_file_and_line => {
        let directory = scratch_directory("broken", &[("service.toml", "[services.desk]\nslots = 8\nsolts = 9\n")]);
        let output = run(&["check", directory.to_str().unwrap()]);
        assert_fails(&output, ErrorKind::InvalidConfiguration, "service.toml:3");
        let output = run(&["check", examples().to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    }

    // Guards against an unreachable entry host being reported as a lost answer.
    unreachable_entry_host_is_not_run => {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        drop(listener);
        let output = run(&["status", "--entry", &address, "--token", "x"]);
        assert_fails(&output, ErrorKind::Unreachable, &address);
    }

    // Guards against commands that accept a wrong token, and against a failure anywhere in a session from the first
    // publish to the end of a job.
    session_of_an_operator_and_a_customer => {
        let deployment = TestDeployment::start();
        assert_fails(&deployment.run("wrong", &["status"]), ErrorKind::Unauthenticated, "token");
        deployment.publish();
        assert_fails(&deployment.run(BOOTSTRAP_TOKEN, &["status"]), ErrorKind::Unauthenticated, "token");
        assert_fails(&deployment.run(CUSTOMER_TOKEN, &["take-out", "ventspils"]), ErrorKind::Forbidden, "operator");

        let job = r#"{"service":"plank-desk","tasks":2,"shape":{"cores":4,"memory_mb":4096,"accelerators":8},
            "payload":"{\"work_ms\":300}"}"#;
        let huge = job.replace("\"tasks\":2", "\"tasks\":900");
        let directory = scratch_directory("jobs", &[("job.json", job), ("huge.json", &huge), ("bad.json", "{")]);
        let path = |file: &str| directory.join(file).to_str().unwrap().to_owned();
        assert_fails(
            &deployment.run(CUSTOMER_TOKEN, &["submit", &path("bad.json")]),
            ErrorKind::BadRequest,
            "bad.json",
        );
        assert_fails(&deployment.run(CUSTOMER_TOKEN, &["submit", &path("huge.json")]), ErrorKind::NeverFits, "900");

        let first = deployment.run_until_ok(CUSTOMER_TOKEN, &["submit", &path("job.json"), "--key", "k-1"]);
        let repeated = deployment.run_until_ok(CUSTOMER_TOKEN, &["submit", &path("job.json"), "--key", "k-1"]);
        assert_eq!(stdout(&first), stdout(&repeated));
        let id = stdout(&first);
        deployment.run_until_ok(CUSTOMER_TOKEN, &["explain", &id]);
        assert_fails(&deployment.run("example-kiln-survey-token", &["job", &id]), ErrorKind::NotFound, &id);
        let started = Instant::now();
        while !stdout(&deployment.run(CUSTOMER_TOKEN, &["job", &id])).contains("finished") {
            assert!(started.elapsed() < WAIT_TIMEOUT, "the job did not finish");
            std::thread::sleep(Duration::from_millis(100));
        }

        assert_fails(&deployment.run(OPERATOR_TOKEN, &["take-out", "nowhere"]), ErrorKind::NotFound, "nowhere");
        deployment.run_until_ok(OPERATOR_TOKEN, &["take-out", "valmiera"]);
        assert!(stdout(&deployment.run(OPERATOR_TOKEN, &["audit"])).contains("take-out of valmiera"));
        deployment.run_until_ok(OPERATOR_TOKEN, &["return", "valmiera"]);
        let audit = stdout(&deployment.run_until_ok(OPERATOR_TOKEN, &["audit", "--after", "2"]));
        assert_eq!(audit.lines().count(), 2, "{audit}");
    }
}
