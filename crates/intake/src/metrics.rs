//! Metrics of callers' requests.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use nutmegwalk_base::Error;
use nutmegwalk_base::Result;

/// Bucket bounds of the histogram of call durations, in seconds.
const CALL_BOUNDS_S: [f64; 9] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.2, 0.5, 1.0, 2.0];

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Call {
    Submit,
    State,
    Cancel,
    PendingCount,
}

impl Call {
    /// Returns the name used in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::State => "state",
            Self::Cancel => "cancel",
            Self::PendingCount => "waiting",
        }
    }
}

/// Metrics of callers' requests.
#[derive(Clone, Debug)]
pub struct IntakeMetrics {
    calls: Counter<u64>,
    call_time: Histogram<f64>,
}

impl IntakeMetrics {
    /// Creates the instruments.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        Self {
            calls: meter.u64_counter("nutmegwalk_calls").build(),
            call_time: meter
                .f64_histogram("nutmegwalk_call_time")
                .with_unit("s")
                .with_boundaries(CALL_BOUNDS_S.to_vec())
                .build(),
        }
    }

    /// Records the outcome and duration of a call.
    pub(crate) fn record_call<T>(&self, call: Call, result: &Result<T>, time: Duration) {
        let outcome = result.as_ref().err().map_or("done", error_kind);
        let call = KeyValue::new("call", call.name());
        self.call_time
            .record(time.as_secs_f64(), std::slice::from_ref(&call));
        self.calls
            .add(1, &[call, KeyValue::new("outcome", outcome)]);
    }
}

fn error_kind(error: &Error) -> &'static str {
    error.kind.name()
}
