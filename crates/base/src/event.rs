//! Names of the events in logs, with their descriptions.
//!
//! A log line names its event by the record's target: `info!(target: event::JOB_ACCEPTED, job = id; "")`.
//! The list is closed; `docs/OPERATIONS.md` shows it as a table.

/// A log event with its description.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Name of the event in logs.
    pub name: &'static str,
    /// Description of the event, as shown in `docs/OPERATIONS.md`.
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
    /// A process has started a graceful shutdown.
    PROCESS_STOPPING = "process_stopping";
    /// A process has stopped.
    PROCESS_STOPPED = "process_stopped";
    /// A graceful shutdown timed out and dropped the answers in flight.
    ANSWERS_GIVEN_UP = "answers_given_up";
    /// The settings were read again.
    SETTINGS_RELOADED = "settings_reloaded";
    /// The settings cannot be read again; the old ones stay in force.
    SETTINGS_INVALID = "settings_invalid";
    /// Lines of an event were dropped, because there were too many or the log was not being read.
    LINES_DROPPED = "lines_dropped";
    /// A process cannot wait for a signal and does not react to it.
    SIGNALS_LOST = "signals_lost";
    /// The metrics cannot be served; the process continues without them.
    METRICS_UNAVAILABLE = "metrics_unavailable";
    /// A connection was not accepted.
    CONNECTION_REFUSED = "connection_refused";
    /// A connection has ended with an error.
    CONNECTION_ENDED = "connection_ended";
    /// The direct connection to the store fails; requests go through peers.
    STORE_LOST = "store_lost";
    /// The direct connection to the store works again.
    STORE_REGAINED = "store_regained";
    /// A batch of writes is retried.
    STORE_RETRIED = "store_retried";
    /// The direct connection has not executed a write, and the attempt through peers failed as well.
    RELAY_FAILED = "relay_failed";
    /// The changes of a collection cannot be followed.
    FEED_LOST = "feed_lost";
    /// The changes of a collection are followed again.
    FEED_REGAINED = "feed_regained";
    /// The store has dropped its history; all rows of a collection are read again.
    FEED_RESTARTED = "feed_restarted";
    /// A row cannot be parsed and is ignored.
    ROW_UNREADABLE = "row_unreadable";
    /// A row is of an unknown kind and is ignored.
    ROW_UNKNOWN = "row_unknown";
    /// No owner answers this process.
    OWNER_LOST = "owner_lost";
    /// An owner answers this process again.
    OWNER_REGAINED = "owner_regained";
    /// The list of peers that can relay requests to the store cannot be obtained.
    PEERS_UNKNOWN = "peers_unknown";
    /// This process has become the owner.
    LEASE_HELD = "lease_held";
    /// This process is no longer the owner.
    LEASE_ENDED = "lease_ended";
    /// The owner's lease cannot be read or written.
    LEASE_PROBLEM = "lease_problem";
    /// An owner's term begins.
    TERM_BEGUN = "term_begun";
    /// A new owner has read the jobs from the store.
    JOBS_READ = "jobs_read";
    /// A task of the process panicked and is run again.
    TASK_FAILED = "task_failed";
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
    /// A job was submitted that had been accepted before.
    JOB_KNOWN = "job_known";
    /// A job was not accepted, or it is not known whether it was.
    JOB_NOT_ACCEPTED = "job_not_accepted";
    /// A request to cancel a job was stored.
    CANCEL_STORED = "cancel_stored";
    /// A request to cancel a job was not stored, or it is not known whether it was.
    CANCEL_NOT_STORED = "cancel_not_stored";
    /// A caller requested a job that does not exist.
    JOB_UNKNOWN = "job_unknown";
    /// A caller's request was refused, or its outcome is unknown.
    REQUEST_REFUSED = "request_refused";
    /// The owner has read an accepted job from the store.
    JOB_TAKEN_IN = "job_taken_in";
    /// The owner has cancelled a job on request.
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
    /// The owner has decided to preempt a run so that others can start.
    RUN_DISPLACED = "run_displaced";
    /// The owner has decided to stop a run because one of its workers leaves before the run ends.
    RUN_MOVED = "run_moved";
    /// The owner stops a run that did not start in time on all its workers.
    RUN_LATE = "run_late";
    /// The owner stops a run that makes no progress, to start it elsewhere.
    RUN_STALLED = "run_stalled";
    /// The owner has processed the end of a run.
    RUN_ENDED = "run_ended";
    /// The owner has found that the runs on a worker are lost.
    RUNS_LOST = "runs_lost";
    /// The owner applies reports of another process of an agent than before.
    AGENT_REPLACED = "agent_replaced";
    /// A report was not applied: a later one came before, or another process of its agent is known and it has to confirm.
    REPORT_DROPPED = "report_dropped";
    /// An incarnation of a worker is over, because its agent has reported a later one.
    WORKER_SUPERSEDED = "worker_superseded";
    /// A worker has crashed when it had just started this run.
    RUN_CRASHED_WORKER = "run_crashed_worker";
    /// A run has outlived its start, so earlier crashes of workers are no longer held against its task.
    CRASHES_DISPROVED = "crashes_disproved";
    /// A worker has an unexpected run and is ordered to stop it.
    RUN_UNWANTED = "run_unwanted";
    /// The owner stops a run that has not started yet, since its worker no longer has the capacity.
    START_WITHDRAWN = "start_withdrawn";
    /// A worker has refused to start a task.
    START_REFUSED = "start_refused";
    /// A worker did not answer an order to start a task.
    START_UNANSWERED = "start_unanswered";
    /// Orders did not reach the agent of a worker.
    ORDERS_NOT_GIVEN = "orders_not_given";
    /// The owner has received the first report about a worker.
    WORKER_JOINED = "worker_joined";
    /// A worker has changed between ready and draining, or its remaining time has changed.
    WORKER_STATE = "worker_state";
    /// A worker is quarantined: it gets no tasks for a while.
    WORKER_SET_ASIDE = "worker_set_aside";
    /// A worker is not quarantined although runs fail there, because too many others are.
    WORKER_KEPT_OPEN = "worker_kept_open";
    /// An agent has received the first heartbeat of its worker.
    WORKER_ANNOUNCED = "worker_announced";
    /// A later incarnation of a worker has started, and the one before had not announced its end.
    WORKER_CRASHED = "worker_crashed";
    /// A worker has left permanently.
    WORKER_LEFT = "worker_left";
    /// An agent cannot poll its worker.
    WORKER_SILENT = "worker_silent";
    /// An agent has found that its worker's lease has lapsed, so that the runs it had are over.
    WORKER_LAPSED = "worker_lapsed";
    /// A job that has not been accepted was cancelled, so that no submission on its way can be accepted.
    EARLY_CANCEL_STORED = "early_cancel_stored";
    /// Early cancellations were deleted because their retention time has passed.
    EARLY_CANCELS_DELETED = "early_cancels_deleted";
    /// A worker's list arrived after one that it made later, and was dropped.
    LIST_SUPERSEDED = "list_superseded";
    /// A heartbeat arrived after a newer one and was ignored.
    HEARTBEAT_LATE = "heartbeat_late";
    /// A heartbeat is invalid and was rejected.
    HEARTBEAT_REJECTED = "heartbeat_rejected";
    /// An agent has finished an order to start a task, with this outcome.
    START_CARRIED_OUT = "start_carried_out";
    /// An agent has finished an order to stop a task, with this outcome.
    STOP_CARRIED_OUT = "stop_carried_out";
    /// A worker did not answer an order of its agent.
    WORKER_UNANSWERED = "worker_unanswered";
    /// An entry in a worker's answer cannot be parsed.
    ENTRY_UNREADABLE = "entry_unreadable";
    /// An answer cannot be encoded.
    ANSWER_UNENCODABLE = "answer_unencodable";
}
