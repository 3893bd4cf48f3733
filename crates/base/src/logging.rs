//! JSON-line logging that is bounded and never blocks the caller.
//!
//! Lines are added to a queue in memory, from which a thread writes them. A line is dropped and counted when its
//! event has had too many lines within a second, or when the queue is full because the log is not being read.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chrono::DateTime;
use log::LevelFilter;
use log::Record;
use log4rs::Config;
use log4rs::append::Append;
use log4rs::config::Appender;
use log4rs::config::Root;
use serde::Serializer;
use serde::ser::SerializeMap;

use crate::Error;
use crate::ErrorKind;
use crate::clock;
use crate::event;

/// Name of the only appender.
const APPENDER: &str = "queue";
/// Largest number of lines of one event within a second: more than an operator reads, and few enough to use less
/// than a hundredth of a small host.
const MAX_LINES_PER_SECOND: u32 = 100;
/// Size at which the queue is full, in bytes; holds some hundred lines while the reader pauses.
const MAX_QUEUE_BYTES: usize = 256 << 10;
/// Time for which the writer collects lines, so that a burst results in one write.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Timeout of writing the queued lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Lines that were dropped since the process started.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// The stream to which lines are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogTarget {
    /// Standard error, for programs that write results to standard output.
    Stderr,
    /// Standard output, for daemons.
    Stdout,
}

/// Starts logging of records of `level` and more severe ones, as one JSON object per line.
///
/// # Errors
/// `internal` when logging was started before or its thread cannot be created.
pub fn start(level: LevelFilter, target: LogTarget) -> Result<(), Error> {
    let internal = |detail: String| Error::new(ErrorKind::Internal, detail);
    let queue = LogQueue::new();
    let writer = queue.clone();
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || match target {
            LogTarget::Stderr => writer.write_to(&mut std::io::stderr()),
            LogTarget::Stdout => writer.write_to(&mut std::io::stdout()),
        })
        .map_err(|error| internal(error.to_string()))?;
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(queue)))
        .build(Root::builder().appender(APPENDER).build(level))
        .map_err(|error| internal(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| internal(error.to_string()))?;
    Ok(())
}

/// Returns the number of lines that were dropped since the process started.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// The queue of lines; clones share it.
#[derive(Clone, Debug)]
pub struct LogQueue {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    /// Notified when a line is added to the empty queue, and when the lines taken from it were written.
    changed: Condvar,
}

#[derive(Debug)]
struct State {
    queue: Vec<u8>,
    is_writing: bool,
    /// Number of lines of each event within the current second.
    line_counts: BTreeMap<Box<str>, u32>,
    /// Number of dropped lines of each event within the current second.
    dropped_counts: BTreeMap<Box<str>, u32>,
    second_began: Instant,
}

impl LogQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: Arc::new(Inner {
                state: Mutex::new(State {
                    queue: Vec::new(),
                    is_writing: false,
                    line_counts: BTreeMap::new(),
                    dropped_counts: BTreeMap::new(),
                    second_began: Instant::now(),
                }),
                changed: Condvar::new(),
            }),
        }
    }

    /// Writes lines to `output` as they are queued, until a write fails.
    pub fn write_to(&self, output: &mut dyn Write) {
        loop {
            drop(self.wait(|state| !state.queue.is_empty()));
            std::thread::sleep(BATCH_DELAY);
            let lines = {
                let mut state = self.lock();
                state.is_writing = true;
                std::mem::take(&mut state.queue)
            };
            let written = output.write_all(&lines).and_then(|()| output.flush());
            self.lock().is_writing = false;
            self.inner.changed.notify_all();
            if written.is_err() {
                // The reader of the log has closed it.
                return;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // After a panic of another thread, the queue holds at worst an incomplete line.
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn wait(&self, condition: impl Fn(&State) -> bool) -> MutexGuard<'_, State> {
        self.inner
            .changed
            .wait_while(self.lock(), |state| !condition(state))
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line to the queue, or counts it as dropped.
    fn push(&self, record: &Record<'_>) {
        let mut state = self.lock();
        let was_empty = state.queue.is_empty();
        state.advance_second(Instant::now());
        if state.admits(record.target()) {
            state.write_line(record);
        } else {
            state.drop_line(record.target());
        }
        drop(state);
        if was_empty {
            self.inner.changed.notify_all();
        }
    }
}

impl Default for LogQueue {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    /// Logs how many lines were dropped in a second that has passed, and starts the next second.
    fn advance_second(&mut self, now: Instant) {
        if now.saturating_duration_since(self.second_began) < Duration::from_secs(1) {
            return;
        }
        self.second_began = now;
        self.line_counts.clear();
        for (event, lines) in std::mem::take(&mut self.dropped_counts) {
            let values = [("dropped_event", &*event)];
            self.write_line(
                &Record::builder()
                    .level(log::Level::Warn)
                    .target(event::LINES_DROPPED)
                    .args(format_args!("{lines} lines"))
                    .key_values(&values.as_slice())
                    .build(),
            );
        }
    }

    /// Counts a line of `event` and returns whether it may be queued.
    fn admits(&mut self, event: &str) -> bool {
        if self.queue.len() >= MAX_QUEUE_BYTES {
            return false;
        }
        if let Some(lines) = self.line_counts.get_mut(event) {
            *lines += 1;
            return *lines <= MAX_LINES_PER_SECOND;
        }
        self.line_counts.insert(event.into(), 1);
        true
    }

    fn drop_line(&mut self, event: &str) {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        *self.dropped_counts.entry(event.into()).or_default() += 1;
    }

    fn write_line(&mut self, record: &Record<'_>) {
        let before = self.queue.len();
        if encode(record, &mut self.queue).is_ok() {
            self.queue.push(b'\n');
        } else {
            // A line with a value that cannot be encoded is dropped and counted.
            self.queue.truncate(before);
            self.drop_line(record.target());
        }
    }
}

/// Encodes a record as a JSON object: time, level, event, the message unless it is empty, and the key-value pairs.
fn encode(record: &Record<'_>, output: &mut Vec<u8>) -> serde_json::Result<()> {
    let mut serializer = serde_json::Serializer::new(output);
    let mut map = serializer.serialize_map(None)?;
    let unix_ms = i64::try_from(clock::unix_ms()).unwrap_or(i64::MAX);
    match DateTime::from_timestamp_millis(unix_ms) {
        Some(time) => map.serialize_entry(
            "time",
            &format_args!("{}", time.format("%Y-%m-%dT%H:%M:%S%.3fZ")),
        )?,
        None => map.serialize_entry("time_ms", &unix_ms)?,
    }
    map.serialize_entry("level", record.level().as_str())?;
    map.serialize_entry("event", record.target())?;
    if record.args().as_str() != Some("") {
        map.serialize_entry("message", record.args())?;
    }
    let mut values = Values {
        map: &mut map,
        result: Ok(()),
    };
    if record.key_values().visit(&mut values).is_err() {
        values.result?;
    }
    map.end()
}

/// Adds the key-value pairs of a record to a map.
struct Values<'a, M: SerializeMap> {
    map: &'a mut M,
    result: Result<(), M::Error>,
}

impl<'kvs, M: SerializeMap> log::kv::VisitSource<'kvs> for Values<'_, M> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.result = self.map.serialize_entry(key.as_str(), &value);
        if self.result.is_err() {
            return Err(log::kv::Error::msg("a value cannot be encoded"));
        }
        Ok(())
    }
}

impl Append for LogQueue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        self.push(record);
        Ok(())
    }

    fn flush(&self) {
        let has_unwritten = |state: &mut State| !state.queue.is_empty() || state.is_writing;
        // A timeout means that the log is not being read; the remaining lines may be lost.
        let _ = self
            .inner
            .changed
            .wait_timeout_while(self.lock(), FLUSH_TIMEOUT, has_unwritten);
    }
}
