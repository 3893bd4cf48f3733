//! Metrics of one process, exposed as Prometheus text.

use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::Error;
use crate::ErrorKind;
use crate::Result;

/// The meter provider of one process and the registry that is scraped.
#[derive(Clone, Debug)]
pub struct Metrics {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl Metrics {
    /// Creates an empty registry with its own meter provider.
    ///
    /// # Errors
    /// `internal` when the exporter cannot be attached to the registry.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_scope_info()
            .build()
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// Returns the meter that creates instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("nutmegwalk")
    }

    /// Returns all metrics in Prometheus text format.
    ///
    /// # Errors
    /// `internal` when the text cannot be encoded.
    pub fn to_text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))?;
        Ok(text)
    }
}
