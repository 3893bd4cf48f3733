//! Tests of the agent daemon as a separate process.

use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

const SECRET: &str = "test-secret";

/// Returns an unused address of the loopback interface.
fn free_address() -> String {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string()
}

/// Returns the command that starts the daemon at `listen` with valid settings.
fn command(listen: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegwalk-agent"));
    command
        .args([
            "--name",
            "agent-0",
            "--listen",
            listen,
            "--data-centre",
            "ventspils",
        ])
        .args([
            "--region",
            "kurzeme",
            "--store",
            &free_address(),
            "--drain-ms",
            "500",
        ])
        .args([
            "--worker",
            "w-0",
            "--rack",
            "r-0",
            "--worker-address",
            &free_address(),
        ])
        .args(["--cores", "4", "--memory-mb", "1024", "--accelerators", "8"])
        .args(["--entry", &free_address()])
        .env("NUTMEGWALK_SECRET", SECRET)
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}

/// Waits until the daemon's log shows `text`.
fn wait_for_log(child: &mut Child, text: &str) {
    use std::io::BufRead;
    let stdout = child.stdout.take().unwrap();
    let found = std::io::BufReader::new(stdout)
        .lines()
        .any(|line| line.unwrap().contains(text));
    assert!(found, "the log ended without `{text}`");
}

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against an error about an invalid setting that does not name its flag.
    error_names_the_invalid_setting => {
        let output = command("127.0.0.1:0").args(["--region", "kur zeme"]).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "clap refuses a flag that is given twice");
        let output = command("127.0.0.1:0").env("NUTMEGWALK_SECRET", "short").output().unwrap();
        assert_eq!(output.status.code(), Some(64));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains("--secret"), "{text}");
    }

    // Guards against an error about a port in use that lacks its own exit code or the address.
    port_in_use_has_its_own_exit_code => {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let output = command(&address).output().unwrap();
        assert_eq!(output.status.code(), Some(69));
        assert!(String::from_utf8_lossy(&output.stderr).contains(&address));
    }

    // Guards against a daemon that ignores SIGTERM, also while the store does not answer.
    sigterm_stops_the_daemon_gracefully => {
        let mut child = command("127.0.0.1:0").stdout(Stdio::piped()).spawn().unwrap();
        wait_for_log(&mut child, "agent started");
        let killed = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
        assert!(killed.success());
        assert_eq!(child.wait().unwrap().code(), Some(0));
    }
}
