//! `pointvane timeline`: the events of all processes, ordered by the local clock.
//!
//! Each operator port returns its VM's clock along with its events. The offset from the local clock is known
//! to within half the round-trip time of the request; the largest such uncertainty is printed.

use {
    crate::{
        Output,
        nodes::{FleetArgs, OperatorClient},
        operator_address,
    },
    pointvane_telemetry::{Event, EventPage, unix_time_ms},
    std::{net::SocketAddr, process::ExitCode},
};

/// Which events to show.
#[derive(clap::Args)]
pub struct Filter {
    /// Only events of this kind, such as `upstream-leaving`.
    #[arg(long)]
    kind: Option<String>,
    /// Only events of this VM.
    #[arg(long)]
    vm: Option<String>,
    /// Only events that name this upstream.
    #[arg(long)]
    upstream: Option<String>,
    /// Only events at or after this time, in milliseconds since the Unix epoch.
    #[arg(long, value_name = "MS")]
    since_ms: Option<u64>,
    /// Only this many events, the latest.
    #[arg(long)]
    last: Option<usize>,
}

/// Events of all processes, with times converted to the local clock.
#[derive(Default)]
struct Timeline {
    events: Vec<Event>,
    uncertainty_ms: u64,
    dropped: u64,
    unreached: Vec<SocketAddr>,
}

/// Prints the timeline. The exit code is 1 if a port could not be reached.
pub fn show(fleet: &FleetArgs, filter: &Filter, output: Output) -> ExitCode {
    let client = OperatorClient::default();
    let mut timeline = Timeline::default();
    for control in fleet.controls(&client) {
        for port in [control.port(), fleet.entry_port, fleet.locate_port] {
            timeline.fetch(&client, operator_address(control, port));
        }
    }
    timeline.events.sort_by(|a, b| (a.at_ms, &a.vm, a.sequence).cmp(&(b.at_ms, &b.vm, b.sequence)));
    timeline.events.retain(|event| filter.matches(event));
    let first = filter.last.map_or(0, |last| timeline.events.len().saturating_sub(last));
    print_timeline(&timeline, &timeline.events[first..], output);
    if timeline.unreached.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

impl Timeline {
    fn fetch(&mut self, client: &OperatorClient, port: SocketAddr) {
        let requested_ms = unix_time_ms();
        let Some(page) = client.get_json::<EventPage>(port, "/events") else {
            return self.unreached.push(port);
        };
        let received_ms = unix_time_ms();
        let midpoint_ms = requested_ms.midpoint(received_ms);
        self.uncertainty_ms = self.uncertainty_ms.max((received_ms - requested_ms).div_ceil(2).max(1));
        self.dropped += page.dropped;
        self.events.extend(page.events.into_iter().map(|event| Event {
            at_ms: (event.at_ms + midpoint_ms).saturating_sub(page.clock_ms),
            ..event
        }));
    }
}

impl Filter {
    fn matches(&self, event: &Event) -> bool {
        let kind = self.kind.as_ref().is_none_or(|kind| *kind == event.kind.name());
        let vm = self.vm.as_ref().is_none_or(|vm| vm == event.vm.as_str());
        let upstream = self.upstream.as_ref().is_none_or(|name| event.to_string().contains(name));
        kind && vm && upstream && self.since_ms.is_none_or(|since_ms| event.at_ms >= since_ms)
    }
}

fn print_timeline(timeline: &Timeline, events: &[Event], output: Output) {
    match output {
        Output::Json => events.iter().for_each(|event| println!("{}", serde_json::json!(event))),
        Output::Text => {
            let start_ms = events.first().map_or(0, |event| event.at_ms);
            println!("times in seconds, clocks compared to within {} ms", timeline.uncertainty_ms);
            for event in events {
                println!("{:>9.3} {event}", (event.at_ms - start_ms) as f64 / 1_000.0);
            }
        }
    }
    if timeline.dropped > 0 {
        eprintln!("{} older events are no longer kept", timeline.dropped);
    }
    timeline.unreached.iter().for_each(|port| eprintln!("{port}: not reached"));
}
