//! `pointvane timeline`: the events of all processes, merged by this machine's clock.
//!
//! Each operator port tells its VM's clock with its events. The difference from this machine's clock is known
//! to within half the time that the asking took; the largest such uncertainty is printed.

use {
    crate::{
        Output, beside,
        nodes::{Asker, FleetArgs},
    },
    pointvane_telemetry::{Event, EventPage, wall_ms},
    std::{net::SocketAddr, process::ExitCode},
};

/// Which events to show.
#[derive(clap::Args)]
pub struct Filter {
    /// Only this kind, such as `upstream-leaving`.
    #[arg(long)]
    kind: Option<String>,
    /// Only events of this VM.
    #[arg(long)]
    vm: Option<String>,
    /// Only events that name this upstream.
    #[arg(long)]
    upstream: Option<String>,
    /// Only events at or after this time, in milliseconds since 1970.
    #[arg(long, value_name = "MS")]
    since_ms: Option<u64>,
    /// Only the last so many.
    #[arg(long)]
    last: Option<usize>,
}

/// Events with times by this machine's clock.
#[derive(Default)]
struct TimelineLine {
    events: Vec<Event>,
    uncertainty_ms: u64,
    dropped: u64,
    unreached: Vec<SocketAddr>,
}

/// Shows the time line; the exit code is 1 if a port could not be reached.
pub fn show(fleet: &FleetArgs, filter: &Filter, output: Output) -> ExitCode {
    let asker = Asker::default();
    let mut line = TimelineLine::default();
    for control in fleet.controls(&asker) {
        for port in [control.port(), fleet.entry_port, fleet.locate_port] {
            line.add(&asker, beside(control, port));
        }
    }
    line.events.sort_by(|a, b| (a.at_ms, &a.vm, a.sequence).cmp(&(b.at_ms, &b.vm, b.sequence)));
    line.events.retain(|event| filter.keeps(event));
    let first = filter.last.map_or(0, |last| line.events.len().saturating_sub(last));
    print(&line, &line.events[first..], output);
    if line.unreached.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

impl TimelineLine {
    fn add(&mut self, asker: &Asker, port: SocketAddr) {
        let asked_ms = wall_ms();
        let Some(page) = asker.json::<EventPage>(port, "/events") else { return self.unreached.push(port) };
        let told_ms = wall_ms();
        let middle_ms = asked_ms.midpoint(told_ms);
        self.uncertainty_ms = self.uncertainty_ms.max((told_ms - asked_ms).div_ceil(2).max(1));
        self.dropped += page.dropped;
        self.events.extend(
            page.events.into_iter().map(|event| Event {
                at_ms: (event.at_ms + middle_ms).saturating_sub(page.clock_ms),
                ..event
            }),
        );
    }
}

impl Filter {
    fn keeps(&self, event: &Event) -> bool {
        let kind = self.kind.as_ref().is_none_or(|kind| *kind == event.kind.name());
        let vm = self.vm.as_ref().is_none_or(|vm| vm == event.vm.as_str());
        let upstream = self.upstream.as_ref().is_none_or(|name| event.to_string().contains(name));
        kind && vm && upstream && self.since_ms.is_none_or(|since_ms| event.at_ms >= since_ms)
    }
}

fn print(line: &TimelineLine, events: &[Event], output: Output) {
    match output {
        Output::Json => events.iter().for_each(|event| println!("{}", serde_json::json!(event))),
        Output::Text => {
            let start_ms = events.first().map_or(0, |event| event.at_ms);
            println!("times in seconds, clocks compared to within {} ms", line.uncertainty_ms);
            for event in events {
                println!("{:>9.3} {event}", (event.at_ms - start_ms) as f64 / 1_000.0);
            }
        }
    }
    if line.dropped > 0 {
        eprintln!("{} older events are no longer kept", line.dropped);
    }
    line.unreached.iter().for_each(|port| eprintln!("{port}: not reached"));
}
