//! Counters and histograms of a domain's owner.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use nutmegwalk_workload::EndKind;
use nutmegwalk_workload::JobState;
use nutmegwalk_workload::Priority;

/// Bounds of the histograms of waiting and run times, in seconds: from a prompt start to a job that waits
/// through an outage.
const WAIT_BOUNDS_S: [f64; 12] = [
    0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 120.0, 600.0,
];
/// Bounds of the histogram of the time of a decision, in seconds.
const DECISION_BOUNDS_S: [f64; 8] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.2];

/// Counters and histograms of a domain's owner.
#[derive(Clone, Debug)]
pub struct DomainMetrics {
    start_delay: Histogram<f64>,
    reclaim: Histogram<f64>,
    job_time: Histogram<f64>,
    takeover: Histogram<f64>,
    decision_time: Histogram<f64>,
    ends: Counter<u64>,
    displaced: Counter<u64>,
    moved: Counter<u64>,
    orders: Counter<u64>,
    set_aside: Counter<u64>,
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
            displaced: meter.u64_counter("nutmegwalk_runs_displaced").build(),
            moved: meter.u64_counter("nutmegwalk_runs_moved").build(),
            orders: meter.u64_counter("nutmegwalk_orders").build(),
            set_aside: meter.u64_counter("nutmegwalk_workers_set_aside").build(),
            waiting: meter.u64_gauge("nutmegwalk_tasks_waiting").build(),
            running: meter.u64_gauge("nutmegwalk_runs").build(),
            workers: meter.u64_gauge("nutmegwalk_workers").build(),
            free_accelerators: meter.u64_gauge("nutmegwalk_accelerators_free").build(),
        }
    }

    /// Notes that all tasks of a run are there, so long after their unit was ready to start.
    pub(crate) fn started(&self, priority: Priority, is_guaranteed: bool, delay: Duration) {
        let labels = [
            KeyValue::new("priority", i64::from(priority)),
            KeyValue::new("guaranteed", is_guaranteed),
        ];
        self.start_delay.record(delay.as_secs_f64(), &labels);
        if is_guaranteed {
            self.reclaim.record(delay.as_secs_f64(), &[]);
        }
    }

    /// Notes the end of a run.
    pub(crate) fn run_ended(&self, kind: EndKind) {
        self.ends.add(1, &[KeyValue::new("kind", kind.name())]);
    }

    /// Notes that a run was stopped so that others can start.
    pub(crate) fn displaced(&self) {
        self.displaced.add(1, &[]);
    }

    /// Notes that a run was stopped because a worker of its leaves.
    pub(crate) fn moved(&self) {
        self.moved.add(1, &[]);
    }

    /// Notes the end of a job, so long after its acceptance.
    pub(crate) fn job_ended(&self, state: JobState, priority: Priority, time: Duration) {
        let labels = [
            KeyValue::new("state", state.name()),
            KeyValue::new("priority", i64::from(priority)),
        ];
        self.job_time.record(time.as_secs_f64(), &labels);
    }

    /// Notes the first decision of a term, so long after its beginning.
    pub(crate) fn took_over(&self, time: Duration) {
        self.takeover.record(time.as_secs_f64(), &[]);
    }

    /// Notes the answer to an order.
    pub(crate) fn order_answered(&self, order: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("order", order),
            KeyValue::new("outcome", outcome),
        ];
        self.orders.add(1, &labels);
    }

    /// Notes that a worker gets no tasks for a while.
    pub(crate) fn worker_set_aside(&self) {
        self.set_aside.add(1, &[]);
    }

    /// Notes a decision: its time and what it looked at.
    pub(crate) fn decided(&self, time: Duration, view: DecisionFigures) {
        self.decision_time.record(time.as_secs_f64(), &[]);
        self.waiting.record(view.tasks_waiting, &[]);
        self.running.record(view.runs, &[]);
        self.free_accelerators.record(view.accelerators_free, &[]);
        let state = |name| [KeyValue::new("state", name)];
        self.workers.record(view.workers_open, &state("open"));
        self.workers.record(view.workers_closed, &state("closed"));
    }
}

/// What a decision looked at.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecisionFigures {
    pub(crate) tasks_waiting: u64,
    pub(crate) runs: u64,
    pub(crate) workers_open: u64,
    pub(crate) workers_closed: u64,
    pub(crate) accelerators_free: u64,
}
