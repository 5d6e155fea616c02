//! Limits the interim responses (1xx) before a response. The HTTP library skips them, however many there are.

use {
    hyper::{Request, ext::on_informational},
    std::sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    tokio::sync::Notify,
};

/// Maximum number of interim responses to a request. Upstreams send one or two: `100 Continue`, early hints, or
/// `102 Processing` every few seconds. The head of each is limited by the library's read buffer.
const INTERIM_MAX: u32 = 16;

/// The interim responses to one request.
#[derive(Debug, Default)]
pub struct InterimResponses {
    count: AtomicU32,
    exceeded: Notify,
}

impl InterimResponses {
    /// Starts to count those to `request`, which must be sent after that.
    pub fn count<B>(request: &mut Request<B>) -> Arc<Self> {
        let responses = Arc::<Self>::default();
        let counted = Arc::clone(&responses);
        on_informational(request, move |_| counted.add());
        responses
    }

    /// Returns once there are more than [`INTERIM_MAX`].
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }

    fn add(&self) {
        if self.count.fetch_add(1, Ordering::Relaxed) == INTERIM_MAX {
            self.exceeded.notify_one();
        }
    }
}
