//! Names of the events in logs.
//!
//! A log line names its event by the record's target: `info!(target: event::JOB_ACCEPTED, job = id; "")`.
//! The list is closed; `docs/OPERATIONS.md` shows it as a table.

/// An event with its meaning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Name in logs.
    pub name: &'static str,
    /// What has happened.
    pub meaning: &'static str,
}

macro_rules! events {
    ($(#[doc = $meaning:literal] $constant:ident = $name:literal;)*) => {
        $(#[doc = $meaning] pub const $constant: &str = $name;)*
        /// All events.
        pub const ALL: &[Event] = &[$(Event { name: $name, meaning: $meaning.trim_ascii() }),*];
    };
}

events! {
    /// A starting process has read these settings.
    SETTINGS_READ = "settings_read";
    /// A process has started.
    PROCESS_STARTED = "process_started";
    /// A process was told to stop.
    PROCESS_STOPPING = "process_stopping";
    /// A process has stopped.
    PROCESS_STOPPED = "process_stopped";
    /// Answers in flight were given up at a stop.
    ANSWERS_GIVEN_UP = "answers_given_up";
    /// The settings were read again.
    SETTINGS_RELOADED = "settings_reloaded";
    /// The settings cannot be read again; the old ones stay in force.
    SETTINGS_INVALID = "settings_invalid";
    /// Lines of an event were left out, since there were too many.
    LINES_DROPPED = "lines_dropped";
    /// A process cannot wait for a signal and does not react to it.
    SIGNALS_LOST = "signals_lost";
    /// The metrics cannot be served; the process goes on without.
    METRICS_UNAVAILABLE = "metrics_unavailable";
    /// A connection was not accepted.
    CONNECTION_REFUSED = "connection_refused";
    /// A connection has ended with an error.
    CONNECTION_ENDED = "connection_ended";
    /// The own way to the store fails; peers are asked.
    STORE_LOST = "store_lost";
    /// The own way to the store works again.
    STORE_REGAINED = "store_regained";
    /// A batch of writes is tried again.
    STORE_RETRIED = "store_retried";
    /// The changes of a collection cannot be followed.
    FEED_LOST = "feed_lost";
    /// The changes of a collection are followed again.
    FEED_REGAINED = "feed_regained";
    /// The store has dropped its history; all rows of a collection are read again.
    FEED_RESTARTED = "feed_restarted";
    /// A row cannot be read and is left out.
    ROW_UNREADABLE = "row_unreadable";
    /// A row belongs to nothing known and is left alone.
    ROW_UNKNOWN = "row_unknown";
    /// No owner answers this process.
    OWNER_LOST = "owner_lost";
    /// An owner answers this process again.
    OWNER_REGAINED = "owner_regained";
    /// Peers that can pass requests on to the store cannot be learned.
    PEERS_UNKNOWN = "peers_unknown";
    /// This process has become the owner.
    LEASE_HELD = "lease_held";
    /// This process is not the owner any more.
    LEASE_ENDED = "lease_ended";
    /// The owner's lease cannot be read or written.
    LEASE_PROBLEM = "lease_problem";
    /// An owner's term begins.
    TERM_BEGUN = "term_begun";
    /// A new owner has read the jobs from the store.
    JOBS_READ = "jobs_read";
    /// An owner's term ends.
    TERM_ENDED = "term_ended";
    /// A configuration is in force in this process.
    CONFIG_APPLIED = "config_applied";
    /// A configuration cannot be used; the old one stays in force.
    CONFIG_REJECTED = "config_rejected";
    /// A data centre was taken out of service.
    DATA_CENTRE_TAKEN_OUT = "data_centre_taken_out";
    /// A data centre was returned to service.
    DATA_CENTRE_RETURNED = "data_centre_returned";
    /// A wave of maintenance was requested.
    WAVE_REQUESTED = "wave_requested";
    /// A wave of maintenance cannot be used.
    WAVE_REJECTED = "wave_rejected";
    /// A job was accepted and stored.
    JOB_ACCEPTED = "job_accepted";
    /// A job was handed in that had been accepted before.
    JOB_KNOWN = "job_known";
    /// A job was not accepted, or it is not known whether it was.
    JOB_NOT_ACCEPTED = "job_not_accepted";
    /// A wish to cancel a job was stored.
    CANCEL_STORED = "cancel_stored";
    /// A wish to cancel a job was not stored, or it is not known whether it was.
    CANCEL_NOT_STORED = "cancel_not_stored";
    /// A caller asked for a job that does not exist.
    JOB_UNKNOWN = "job_unknown";
    /// A caller was refused.
    REQUEST_REFUSED = "request_refused";
    /// The owner has learned of a job.
    JOB_TAKEN_IN = "job_taken_in";
    /// The owner has learned of a wish to cancel a job.
    JOB_CANCELLED = "job_cancelled";
    /// A job has ended.
    JOB_ENDED = "job_ended";
    /// Jobs that ended long ago were deleted from the store.
    JOBS_DELETED = "jobs_deleted";
    /// The progress of a job cannot be stored for now.
    PROGRESS_NOT_STORED = "progress_not_stored";
    /// The owner has decided to start tasks, on these workers.
    TASKS_PLACED = "tasks_placed";
    /// The owner has decided that tasks wait, for this reason.
    TASKS_WAIT = "tasks_wait";
    /// The owner has decided to stop a run so that others can start.
    RUN_DISPLACED = "run_displaced";
    /// The owner has decided to stop a run because a worker of its leaves before its end.
    RUN_MOVED = "run_moved";
    /// The owner stops a run that did not start in time on all its workers.
    RUN_LATE = "run_late";
    /// The owner stops a run that makes no progress, to start it elsewhere.
    RUN_STALLED = "run_stalled";
    /// The owner has learned of the end of a run.
    RUN_ENDED = "run_ended";
    /// The owner has found that the runs on a worker are lost.
    RUNS_LOST = "runs_lost";
    /// A worker runs what it should not; it is told to stop it.
    RUN_UNWANTED = "run_unwanted";
    /// A worker has refused to start a task.
    START_REFUSED = "start_refused";
    /// A worker did not answer an order to start a task.
    START_UNANSWERED = "start_unanswered";
    /// Orders did not reach the agent of a worker.
    ORDERS_NOT_GIVEN = "orders_not_given";
    /// The owner has learned of a worker.
    WORKER_JOINED = "worker_joined";
    /// A worker is about to leave, or no longer.
    WORKER_STATE = "worker_state";
    /// A worker gets no tasks for a while.
    WORKER_SET_ASIDE = "worker_set_aside";
    /// An agent has heard of its worker for the first time.
    WORKER_ANNOUNCED = "worker_announced";
    /// A worker has left for good.
    WORKER_LEFT = "worker_left";
    /// An agent cannot look at its worker.
    WORKER_SILENT = "worker_silent";
    /// A heartbeat came after a later one.
    HEARTBEAT_LATE = "heartbeat_late";
    /// A heartbeat cannot be used.
    HEARTBEAT_REJECTED = "heartbeat_rejected";
    /// An agent has had a worker start a task.
    START_CARRIED_OUT = "start_carried_out";
    /// An agent has had a worker stop a task.
    STOP_CARRIED_OUT = "stop_carried_out";
    /// An agent's order got no answer from the worker.
    WORKER_UNANSWERED = "worker_unanswered";
    /// An entry of a worker cannot be read and is left out.
    ENTRY_UNREADABLE = "entry_unreadable";
    /// An answer cannot be encoded.
    ANSWER_UNENCODABLE = "answer_unencodable";
}
