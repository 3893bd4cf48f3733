//! Gauges that are set from a process's state when its metrics are scraped.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Meter;

use crate::api::OwnerSummary;
use nutmegwalk_base::metrics::Metrics;
use nutmegwalk_calls::RouterCounts;
use nutmegwalk_calls::SlotCounts;
use nutmegwalk_store::RequestClass;
use nutmegwalk_store::StoreClient;
use nutmegwalk_sync::View;

/// Gauges of an entry host or agent.
pub(crate) struct Gauges {
    config_version: Gauge<u64>,
    view_age_ms: Gauge<u64>,
    store_requests: Gauge<u64>,
    calls: Gauge<u64>,
    cross_region_bytes: Gauge<u64>,
    members: Gauge<u64>,
    owner: Gauge<f64>,
}

impl Gauges {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let gauge = |name: &'static str, meter: &Meter| meter.u64_gauge(name).build();
        Self {
            config_version: gauge("nutmegwalk_config_version", &meter),
            view_age_ms: gauge("nutmegwalk_view_age_ms", &meter),
            store_requests: gauge("nutmegwalk_store_requests", &meter),
            calls: gauge("nutmegwalk_calls", &meter),
            cross_region_bytes: gauge("nutmegwalk_cross_region_bytes", &meter),
            members: gauge("nutmegwalk_members_alive", &meter),
            owner: meter.f64_gauge("nutmegwalk_owner").build(),
        }
    }

    /// Records the version in force, the age of the view, and the counts of store requests.
    pub(crate) fn record_common(&self, view: &View, store: &StoreClient) {
        self.config_version.record(view.version(), &[]);
        let age = view.age().unwrap_or(Duration::MAX).as_millis();
        self.view_age_ms
            .record(u64::try_from(age).unwrap_or(u64::MAX), &[]);
        let counters = store.counters();
        for class in RequestClass::ALL {
            let requests = counters.of(class);
            for (request, count) in [
                ("write", requests.writes),
                ("read", requests.reads),
                ("failure", requests.failures),
            ] {
                let labels = [
                    KeyValue::new("duty", class.name()),
                    KeyValue::new("request", request),
                ];
                self.store_requests.record(count, &labels);
            }
        }
    }

    /// Records the call counters of an entry host's router.
    pub(crate) fn record_router(&self, counts: RouterCounts) {
        let counts_by_event = [
            ("calls", counts.calls),
            ("attempts", counts.attempts),
            ("retries", counts.retries),
            ("retries_denied", counts.retries_denied),
            ("refused", counts.refused),
        ];
        self.record_calls(&counts_by_event);
    }

    /// Records the call counters of an agent's slots.
    pub(crate) fn record_slots(&self, counts: SlotCounts) {
        let counts_by_event = [
            ("done", counts.done),
            ("not_run", counts.not_run),
            ("unknown", counts.unknown),
            ("forwarded", counts.forwarded),
        ];
        self.record_calls(&counts_by_event);
    }

    fn record_calls(&self, counts_by_event: &[(&'static str, u64)]) {
        for (event, count) in counts_by_event {
            self.calls.record(*count, &[KeyValue::new("event", *event)]);
        }
    }

    /// Records the bytes that calls of a customer have sent across regions.
    pub(crate) fn record_cross_region(&self, customer: &str, count_bytes: u64) {
        let labels = [KeyValue::new("customer", customer.to_owned())];
        self.cross_region_bytes.record(count_bytes, &labels);
    }

    /// Records the number of members that are alive.
    pub(crate) fn record_members(&self, count: usize) {
        self.members.record(count as u64, &[]);
    }

    /// Records the metrics of a data centre that this process owns.
    pub(crate) fn record_owner(&self, summary: &OwnerSummary) {
        let metrics = [
            ("workers", f64::from(summary.workers)),
            ("accelerators", f64::from(summary.accelerators)),
            ("free_accelerators", f64::from(summary.free_accelerators)),
            ("running_jobs", f64::from(summary.running_jobs)),
            ("waiting_jobs", f64::from(summary.waiting_jobs)),
            ("fragmentation_ratio", summary.fragmentation_ratio),
            (
                "degraded_guarantees",
                summary.degraded_guarantees.len() as f64,
            ),
            ("violations", summary.violations.len() as f64),
        ];
        for (name, value) in metrics {
            self.owner.record(value, &[KeyValue::new("figure", name)]);
        }
    }
}
