//! Several upstreams in one process, and their steering.

use {
    super::{Upstream, UpstreamSpec, lock},
    crate::serve::{Answer, Handler, answer, serve},
    http_body_util::BodyExt,
    hyper::{Method, Request, body::Incoming},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Several upstreams in one process, with one address to steer them.
#[derive(Debug)]
pub struct Fleet {
    upstreams: Vec<Arc<Upstream>>,
}

impl Fleet {
    /// Starts the upstreams and their steering.
    ///
    /// # Errors
    /// When an address cannot be listened on.
    pub async fn start(specs: Vec<UpstreamSpec>, steering: SocketAddr, seed: u64) -> io::Result<()> {
        let mut upstreams = Vec::new();
        for (number, spec) in specs.into_iter().enumerate() {
            let (address, cost) = (spec.address, Duration::from_secs_f64(spec.connect_ms / 1_000.0));
            let upstream = Arc::new(Upstream::new(spec, seed + number as u64));
            serve(address, Arc::clone(&upstream), cost).await?;
            upstreams.push(upstream);
        }
        serve(steering, Arc::new(Self { upstreams }), Duration::ZERO).await
    }
}

impl Handler for Fleet {
    /// `POST /NAME` with a [`Behaviour`] as JSON sets it; `GET /NAME` answers what it has [`Done`].
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Answer> {
        Some(self.steer(request).await)
    }
}

impl Fleet {
    async fn steer(&self, request: Request<Incoming>) -> Answer {
        let name = request.uri().path().trim_start_matches('/').to_owned();
        let Some(upstream) = self.upstreams.iter().find(|upstream| upstream.spec.name == name) else {
            return answer(404, "");
        };
        if request.method() == Method::GET {
            let mut done = lock(&upstream.done).clone();
            done.cancelled = upstream.cancelled.load(Ordering::Relaxed);
            return answer(200, serde_json::to_string(&done).unwrap_or_default());
        }
        let Ok(body) = request.into_body().collect().await else {
            return answer(400, "");
        };
        match serde_json::from_slice(&body.to_bytes()) {
            Ok(behaviour) => {
                *lock(&upstream.behaviour) = behaviour;
                answer(200, "ok\n")
            }
            Err(error) => answer(400, error.to_string()),
        }
    }
}
