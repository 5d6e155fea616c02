//! Records the notices of responses that do not end an attempt: those to probes and to abandoned attempts.

use {
    crate::{
        service::{Attempt, ServiceHandle},
        upstream_notices::UpstreamNotices,
    },
    std::sync::Arc,
};

/// Records notices of one upstream of a service.
#[derive(Clone, Debug)]
pub struct NoticeRecorder {
    /// The service.
    pub service: Arc<ServiceHandle>,
    /// Index of the upstream.
    pub upstream: usize,
}

impl From<&Attempt> for NoticeRecorder {
    fn from(attempt: &Attempt) -> Self {
        Self { service: Arc::clone(attempt.service()), upstream: attempt.upstream() }
    }
}

impl NoticeRecorder {
    /// Records the notices of one response.
    pub fn record(&self, notices: UpstreamNotices) {
        let now_us = self.service.now_us();
        let mut balancer = self.service.lock();
        if let Some(report) = notices.report {
            balancer.record_report(self.upstream, report, now_us);
        }
        if let Some(for_us) = notices.back_off_us {
            balancer.record_back_off(self.upstream, for_us, now_us);
        }
        balancer.record_limit(self.upstream, notices.limit, None, now_us);
    }
}
