//! Records whether upstreams respond, and checks lost services in the background until they respond again.
//!
//! [`pointvane_dispatch::Pool`] decides which services are lost and which upstreams are checked.

use {
    crate::{node::Node, probe},
    pointvane_core::PlatformAdapter,
    pointvane_dispatch::{ConnectionKind, ProbePurpose, ReachChange, UpstreamKey},
    pointvane_telemetry::EventKind,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, MissedTickBehavior, interval},
    },
};

/// Time between two rounds of checks; [`pointvane_dispatch::Pool::reachability_checks`] decides which services are
/// due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Lost services that are checked in one round; bounds the probes of a node that has lost hundreds.
const SERVICES_PER_ROUND: usize = 4;
/// Time between two log lines on the checks while services stay lost.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

impl<A: PlatformAdapter> Node<A> {
    /// Records that an upstream sent a response.
    pub fn record_contact(&self, key: UpstreamKey, connection: ConnectionKind) {
        let change = self.dispatcher.pool_mut().record_contact(key, connection, self.now_us());
        self.report_reach_change(change);
    }

    /// Records that an attempt or a probe that began at `began_us` ended without any response.
    pub fn record_silence(&self, key: UpstreamKey, connection: ConnectionKind, began_us: u64) {
        let change = self.dispatcher.pool_mut().record_silence(key, connection, began_us, self.now_us());
        self.report_reach_change(change);
    }

    fn report_reach_change(&self, change: Option<ReachChange>) {
        let Some(change) = change else { return };
        self.report.reach_changed(&change);
        match change {
            ReachChange::Lost { service, tried, silent_ms } => {
                let tried = tried as u64;
                self.report.record_rate_limited(
                    self.now_us(),
                    EventKind::ServiceLost { service, upstreams_tried: tried, silent_ms },
                );
                self.service_lost.notify_one();
            }
            ReachChange::Regained { service, lost_ms } => {
                self.report
                    .record_rate_limited(self.now_us(), EventKind::ServiceRegained { service, lost_ms });
            }
        }
    }

    fn has_lost_service(&self) -> bool {
        self.dispatcher.pool().lost_services(self.now_us()).next().is_some()
    }
}

/// Checks lost services until the process ends. No timer runs while no service is lost.
pub async fn check_lost_services<A: PlatformAdapter + 'static>(node: Rc<Node<A>>) {
    loop {
        node.service_lost.notified().await;
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let tally = Rc::new(CheckTally::default());
        let mut line_at = Instant::now() + LINE_INTERVAL;
        while node.has_lost_service() {
            ticks.tick().await;
            start_checks(&node, &tally);
            if Instant::now() >= line_at {
                line_at += LINE_INTERVAL;
                tally.report(&node);
            }
        }
    }
}

/// Checks that ended since the last log line.
#[derive(Debug, Default)]
struct CheckTally {
    ended: Cell<u64>,
    unanswered: Cell<u64>,
}

impl CheckTally {
    fn record(&self, is_answered: bool) {
        self.ended.set(self.ended.get() + 1);
        self.unanswered.set(self.unanswered.get() + u64::from(!is_answered));
    }

    fn report<A: PlatformAdapter>(&self, node: &Node<A>) {
        let services = node.dispatcher.pool().lost_services(node.now_us()).count() as u64;
        let (checks, unanswered) = (self.ended.take(), self.unanswered.take());
        node.report.record(EventKind::LostServicesChecked { services, checks, unanswered });
    }
}

fn start_checks<A: PlatformAdapter + 'static>(node: &Rc<Node<A>>, tally: &Rc<CheckTally>) {
    let now_us = node.now_us();
    let keys = node.dispatcher.pool_mut().reachability_checks(SERVICES_PER_ROUND, now_us);
    for key in keys {
        if node.dispatcher.take_probe(now_us) {
            let is_near = node.dispatcher.pool().is_near(key);
            node.report.probed(ProbePurpose::Reachability, is_near);
            let (node, tally) = (Rc::clone(node), Rc::clone(tally));
            spawn_local(async move { tally.record(probe::check_reachability(node, key).await) });
        }
    }
}
