//! Several upstreams in one process, with a common control address.

use {
    super::{Upstream, UpstreamSpec, lock},
    crate::serve::{Handler, StandInResponse, new_response, serve},
    http_body_util::BodyExt,
    hyper::{Method, Request, body::Incoming},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Several upstreams in one process, controlled through one address.
#[derive(Debug)]
pub struct Fleet {
    upstreams: Vec<Arc<Upstream>>,
}

impl Fleet {
    /// Starts the upstreams and serves their control interface at `control_address`. Upstream `n` draws its
    /// service times from the seed `seed + n`.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(specs: Vec<UpstreamSpec>, control_address: SocketAddr, seed: u64) -> io::Result<()> {
        let mut upstreams = Vec::new();
        for (number, spec) in specs.into_iter().enumerate() {
            let (address, connect_delay) = (spec.address, Duration::from_secs_f64(spec.connect_ms / 1_000.0));
            let upstream = Arc::new(Upstream::new(spec, seed + number as u64));
            serve(address, Arc::clone(&upstream), connect_delay).await?;
            upstreams.push(upstream);
        }
        serve(control_address, Arc::new(Self { upstreams }), Duration::ZERO).await
    }
}

impl Handler for Fleet {
    /// `POST /NAME` sets the [`Behaviour`](crate::upstream::Behaviour) of an upstream from JSON; `GET /NAME`
    /// returns its counts, [`Records`](crate::upstream::Records), as JSON.
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<StandInResponse> {
        Some(self.handle_control(request).await)
    }
}

impl Fleet {
    async fn handle_control(&self, request: Request<Incoming>) -> StandInResponse {
        let name = request.uri().path().trim_start_matches('/').to_owned();
        let Some(upstream) = self.upstreams.iter().find(|upstream| upstream.spec.name == name) else {
            return new_response(404, "");
        };
        if request.method() == Method::GET {
            let mut records = lock(&upstream.records).clone();
            records.cancelled = upstream.cancelled.load(Ordering::Relaxed);
            return new_response(200, serde_json::to_string(&records).unwrap_or_default());
        }
        let Ok(body) = request.into_body().collect().await else {
            return new_response(400, "");
        };
        match serde_json::from_slice(&body.to_bytes()) {
            Ok(behaviour) => {
                *lock(&upstream.behaviour) = behaviour;
                new_response(200, "ok\n")
            }
            Err(error) => new_response(400, error.to_string()),
        }
    }
}
