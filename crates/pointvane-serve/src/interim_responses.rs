//! Counts the interim responses (1xx) before a response. The HTTP library skips them, however many there are.

use {
    hyper::{Request, ext::on_informational},
    std::sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

/// Maximum number of interim responses to a request. Upstreams send one or two: `100 Continue`, early hints, or
/// `102 Processing` every few seconds. The head of each is limited by the library's read buffer.
const INTERIM_MAX: u32 = 16;

/// Number of interim responses to the last request of a connection.
#[derive(Clone, Debug, Default)]
pub struct InterimResponses(Arc<AtomicU32>);

impl InterimResponses {
    /// Starts to count those to `request`, which must be sent after that.
    pub fn count<B>(&self, request: &mut Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = Arc::clone(&self.0);
        on_informational(request, move |_| _ = count.fetch_add(1, Ordering::Relaxed));
    }

    /// Whether there are more than [`INTERIM_MAX`].
    pub fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > INTERIM_MAX
    }
}
