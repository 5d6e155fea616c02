//! `opentelemetry` metrics, exported in the Prometheus text format.

use {
    eyre::{Result, WrapErr},
    opentelemetry::metrics::{Meter, MeterProvider},
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Registry, TextEncoder},
};

/// Registry and meter provider of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates a registry with a Prometheus exporter.
    ///
    /// # Errors
    /// When the exporter cannot be built.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .wrap_err("metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// The meter with which instruments are created.
    pub fn meter(&self) -> Meter {
        self.provider.meter("pointvane")
    }

    /// All metrics in the Prometheus text format; empty if they cannot be encoded.
    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
