//! Metrics of a domain's owner.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::Priority;

/// Bucket bounds of the histograms of delays, in seconds, from an immediate start to a job that waits
/// throughout an outage.
const WAIT_BOUNDS_S: [f64; 12] = [
    0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 120.0, 600.0,
];
/// Bucket bounds of the histogram of the decision time, in seconds.
const DECISION_BOUNDS_S: [f64; 8] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.2];

/// Metrics of a domain's owner.
#[derive(Clone, Debug)]
pub struct DomainMetrics {
    start_delay: Histogram<f64>,
    reclaim: Histogram<f64>,
    job_time: Histogram<f64>,
    takeover: Histogram<f64>,
    decision_time: Histogram<f64>,
    ends: Counter<u64>,
    preemptions: Counter<u64>,
    moves: Counter<u64>,
    orders: Counter<u64>,
    quarantines: Counter<u64>,
    crashes: Counter<u64>,
    waiting: Gauge<u64>,
    running: Gauge<u64>,
    workers: Gauge<u64>,
    free_accelerators: Gauge<u64>,
}

impl DomainMetrics {
    /// Creates the instruments.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        let histogram = |name: &'static str, bounds: &[f64]| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(bounds.to_vec())
                .build()
        };
        Self {
            start_delay: histogram("nutmegwalk_start_delay", &WAIT_BOUNDS_S),
            reclaim: histogram("nutmegwalk_reclaim", &WAIT_BOUNDS_S),
            job_time: histogram("nutmegwalk_job_time", &WAIT_BOUNDS_S),
            takeover: histogram("nutmegwalk_takeover", &WAIT_BOUNDS_S),
            decision_time: histogram("nutmegwalk_decision_time", &DECISION_BOUNDS_S),
            ends: meter.u64_counter("nutmegwalk_run_ends").build(),
            preemptions: meter.u64_counter("nutmegwalk_runs_displaced").build(),
            moves: meter.u64_counter("nutmegwalk_runs_moved").build(),
            orders: meter.u64_counter("nutmegwalk_orders").build(),
            quarantines: meter.u64_counter("nutmegwalk_workers_set_aside").build(),
            crashes: meter.u64_counter("nutmegwalk_runs_crashed").build(),
            waiting: meter.u64_gauge("nutmegwalk_tasks_waiting").build(),
            running: meter.u64_gauge("nutmegwalk_runs").build(),
            workers: meter.u64_gauge("nutmegwalk_workers").build(),
            free_accelerators: meter.u64_gauge("nutmegwalk_accelerators_free").build(),
        }
    }

    /// Records that all tasks of a run are running, `delay` after its unit became ready to start.
    pub(crate) fn record_start(&self, priority: Priority, is_guaranteed: bool, delay: Duration) {
        let labels = [
            KeyValue::new("priority", i64::from(priority)),
            KeyValue::new("guaranteed", is_guaranteed),
        ];
        self.start_delay.record(delay.as_secs_f64(), &labels);
        if is_guaranteed {
            self.reclaim.record(delay.as_secs_f64(), &[]);
        }
    }

    /// Records the end of a task's run.
    pub(crate) fn record_run_end(&self, kind: EndKind) {
        self.ends.add(1, &[KeyValue::new("kind", kind.name())]);
    }

    /// Records that a run was preempted.
    pub(crate) fn record_preemption(&self) {
        self.preemptions.add(1, &[]);
    }

    /// Records that a run was stopped because one of its workers leaves.
    pub(crate) fn record_move(&self) {
        self.moves.add(1, &[]);
    }

    /// Records the end of a job, `time` after its acceptance.
    pub(crate) fn record_job_end(&self, state: JobState, priority: Priority, time: Duration) {
        let labels = [
            KeyValue::new("state", state.name()),
            KeyValue::new("priority", i64::from(priority)),
        ];
        self.job_time.record(time.as_secs_f64(), &labels);
    }

    /// Records the first decision of a term, `time` after the term began.
    pub(crate) fn record_takeover(&self, time: Duration) {
        self.takeover.record(time.as_secs_f64(), &[]);
    }

    /// Records the outcome of an order.
    pub(crate) fn record_order(&self, order: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("order", order),
            KeyValue::new("outcome", outcome),
        ];
        self.orders.add(1, &labels);
    }

    /// Records that a worker was quarantined.
    pub(crate) fn record_quarantine(&self) {
        self.quarantines.add(1, &[]);
    }

    /// Records that a worker has crashed while it had a run of a unit.
    pub(crate) fn record_crash(&self) {
        self.crashes.add(1, &[]);
    }

    /// Records the duration of a decision and the size of its input.
    pub(crate) fn record_decision(&self, time: Duration, stats: DecisionStats) {
        self.decision_time.record(time.as_secs_f64(), &[]);
        self.waiting.record(stats.tasks_waiting, &[]);
        self.running.record(stats.runs, &[]);
        self.free_accelerators.record(stats.accelerators_free, &[]);
        let state = |name| [KeyValue::new("state", name)];
        self.workers.record(stats.workers_open, &state("open"));
        self.workers.record(stats.workers_closed, &state("closed"));
    }
}

/// Size of the input of a decision.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecisionStats {
    pub(crate) tasks_waiting: u64,
    pub(crate) runs: u64,
    /// Workers that accept tasks.
    pub(crate) workers_open: u64,
    /// Workers that accept no tasks.
    pub(crate) workers_closed: u64,
    /// Free accelerators of the workers that accept tasks.
    pub(crate) accelerators_free: u64,
}
