//! Tests of the log queue.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use log::Level;
use log::Record;
use log4rs::append::Append;
use serde_json::Value;

use nutmegwalk_base::event;
use nutmegwalk_base::logging::LogQueue;
use nutmegwalk_base::logging::dropped_lines;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

/// Timeout of a wait for a state, after which a test fails; much longer than any state takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// An output whose writes can be blocked, like a pipe that is not read.
#[derive(Clone, Default)]
struct Output {
    pipe: Arc<Pipe>,
}

#[derive(Default)]
struct Pipe {
    state: Mutex<PipeState>,
    changed: Condvar,
}

#[derive(Default)]
struct PipeState {
    text: Vec<u8>,
    is_blocked: bool,
}

impl Output {
    fn set_blocked(&self, is_blocked: bool) {
        self.pipe
            .state
            .lock()
            .expect("lock is not poisoned")
            .is_blocked = is_blocked;
        self.pipe.changed.notify_all();
    }

    fn lines(&self) -> Vec<Value> {
        let text = self
            .pipe
            .state
            .lock()
            .expect("lock is not poisoned")
            .text
            .clone();
        let text = String::from_utf8(text).expect("UTF-8");
        text.lines()
            .map(|line| serde_json::from_str(line).expect("JSON"))
            .collect()
    }

    fn wait_for_lines(&self, count: usize) -> Vec<Value> {
        let started = Instant::now();
        while self.lines().len() < count {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "only {} lines were written",
                self.lines().len()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        self.lines()
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let state = self.pipe.state.lock().expect("lock is not poisoned");
        let mut state = self
            .pipe
            .changed
            .wait_while(state, |state| state.is_blocked)
            .expect("lock is not poisoned");
        state.text.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn queue(output: &Output) -> LogQueue {
    let queue = LogQueue::new();
    let (writer, mut output) = (queue.clone(), output.clone());
    std::thread::spawn(move || writer.write_to(&mut output));
    queue
}

fn append(queue: &LogQueue, event: &str, job: &str) {
    let values = [("job", job)];
    let values = values.as_slice();
    let record = Record::builder()
        .level(Level::Info)
        .target(event)
        .args(format_args!(""))
        .key_values(&values)
        .build();
    queue.append(&record).expect("append never fails");
}

cases! {
    // Guards against a line that cannot be searched by its event or its job.
    line_has_time_event_and_values => {
        let output = Output::default();
        let queue = queue(&output);
        append(&queue, event::JOB_ACCEPTED, "a\"\n1");
        let line = output.wait_for_lines(1).remove(0);
        assert_eq!(line["event"], "job_accepted");
        assert_eq!(line["job"], "a\"\n1");
        assert_eq!(line["level"], "INFO");
        let time = line["time"].as_str().expect("a time");
        assert!(time.len() == 24 && time.starts_with("20") && time.ends_with('Z'), "{time}");
        assert!(line.get("message").is_none(), "{line}");
    }

    // Guards against a burst of one event that crowds out other events or fills the log.
    frequent_event_is_bounded_and_counted => {
        let output = Output::default();
        let queue = queue(&output);
        let before = dropped_lines();
        let started = Instant::now();
        while dropped_lines() == before {
            assert!(started.elapsed() < WAIT_TIMEOUT, "no line was dropped");
            append(&queue, event::TASKS_WAIT, "x");
        }
        append(&queue, event::JOB_ACCEPTED, "a");
        std::thread::sleep(Duration::from_millis(1_100));
        append(&queue, event::JOB_ACCEPTED, "b");
        let is_notice = |line: &Value| line["event"] == "lines_dropped" && line["dropped_event"] == "tasks_wait";
        let started = Instant::now();
        while !output.lines().iter().any(is_notice) {
            assert!(started.elapsed() < WAIT_TIMEOUT, "no lines_dropped event was logged");
            std::thread::sleep(Duration::from_millis(5));
        }
        assert!(output.lines().iter().any(|line| line["job"] == "a"));
    }

    // Guards against a log that blocks the process when it is not being read.
    stalled_reader_does_not_block_logging => {
        let output = Output::default();
        output.set_blocked(true);
        let queue = queue(&output);
        let long = "x".repeat(4_000);
        for number in 0..3_000 {
            append(&queue, &format!("event_{number}"), &long);
        }
        output.set_blocked(false);
        let kept = output.wait_for_lines(1).len();
        assert!(kept < 3_000, "no line was dropped");
    }

    // Guards against losing the last lines when a process ends.
    flush_waits_until_all_is_written => {
        let output = Output::default();
        let queue = queue(&output);
        append(&queue, event::PROCESS_STOPPED, "");
        queue.flush();
        assert_eq!(output.lines().len(), 1);
    }

    // Guards against two events that cannot be distinguished.
    event_names_differ => {
        let mut names: Vec<&str> = event::ALL.iter().map(|event| event.name).collect();
        names.sort_unstable();
        let count = names.len();
        names.dedup();
        assert_eq!(names.len(), count);
        assert!(event::ALL.iter().all(|event| event.meaning.ends_with('.')));
    }
}
