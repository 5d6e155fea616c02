//! Measures the latency that the data path of an entry VM adds: echo requests sent through it, compared with
//! requests sent directly to the upstreams in the same run.
//!
//! Runs the real programs on loopback. Each cell of the table gives minimum, median and maximum over the runs.
#![forbid(unsafe_code)]

use {
    clap::Parser,
    eyre::Result,
    pointvane_standins::{
        deployment::{Deployment, FleetPlan, Plan, ServicePlan},
        load::histogram,
        table::Table,
    },
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// Measures the latency added by the data path of an entry VM.
#[derive(Parser)]
struct Args {
    /// Numbers of keep-alive connections, one table row each.
    #[arg(long, value_delimiter = ',', default_value = "16,64,260")]
    connections: Vec<usize>,
    /// Requests per second on each connection.
    #[arg(long, default_value_t = 10.0)]
    per_s: f64,
    /// Duration of each run, in seconds.
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    /// Number of runs, each first direct and then through the entry VM.
    #[arg(long, default_value_t = 5)]
    runs: usize,
}

fn main() -> Result<()> {
    let args = &Args::parse();
    let service = ServicePlan { instances: 8, connect_ms: 0.0, ..ServicePlan::default() };
    let deployment = Deployment::start(Plan {
        data_centres: 1,
        entries: 1,
        services: vec![service],
        fleet: FleetPlan::default(),
        settings: String::new(),
    })?;
    let mut table =
        Table::new(&["connections", "added p50 ms", "added p99 ms", "p99 ratio", "direct p99 ms"]);
    for &connections in &args.connections {
        let mut added = [Vec::new(), Vec::new(), Vec::new(), Vec::new()];
        for _ in 0..args.runs {
            let direct = measure_calls(args, connections, &deployment.upstreams(0))?;
            let proxied = measure_calls(args, connections, &deployment.entries())?;
            added[0].push(proxied.0 - direct.0);
            added[1].push(proxied.1 - direct.1);
            added[2].push(proxied.1 / direct.1);
            added[3].push(direct.1);
        }
        let [p50, p99, ratio, direct] = added;
        let summaries = [
            min_median_max(p50, 3),
            min_median_max(p99, 3),
            min_median_max(ratio, 2),
            min_median_max(direct, 3),
        ];
        table.row([connections.to_string()].into_iter().chain(summaries).collect());
    }
    print!("{}", table.markdown());
    Ok(())
}

/// Formats values as `min/median/max`; `-` if there are none.
fn min_median_max(mut values: Vec<f64>, digits: usize) -> String {
    values.sort_by(f64::total_cmp);
    let (Some(min), Some(max)) = (values.first(), values.last()) else {
        return "-".into();
    };
    format!("{min:.digits$}/{:.digits$}/{max:.digits$}", median(&values))
}

/// Median of sorted values; NaN if there are none.
fn median(values: &[f64]) -> f64 {
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Median and 99th percentile of the latency over all connections, in milliseconds.
fn measure_calls(args: &Args, connections: usize, targets: &[SocketAddr]) -> Result<(f64, f64)> {
    let callers = (0..connections).map(|number| {
        let target = targets[number % targets.len()];
        let interval = Duration::from_secs_f64(1.0 / args.per_s);
        let offset = interval.mul_f64(number as f64 / connections as f64);
        let calls = (args.per_s * args.seconds as f64) as usize;
        thread::spawn(move || time_calls(target, interval, offset, calls))
    });
    let callers: Vec<_> = callers.collect();
    let mut times = histogram();
    for caller in callers {
        let caller_times = caller.join().unwrap_or_else(|_| Ok(Vec::new()))?;
        caller_times.iter().for_each(|time| times.saturating_record(time.as_micros() as u64));
    }
    let percentile_ms = |percentile| times.value_at_percentile(percentile) as f64 / 1_000.0;
    Ok((percentile_ms(50.0), percentile_ms(99.0)))
}

/// Sends requests at fixed intervals on one keep-alive connection and returns their latencies.
fn time_calls(
    target: SocketAddr,
    interval: Duration,
    offset: Duration,
    calls: usize,
) -> Result<Vec<Duration>> {
    let stream = TcpStream::connect(target)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let request = "GET /dispatch/call?work_ms=0 HTTP/1.1\r\nhost: dispatch.example\r\n\r\n";
    let began = Instant::now() + offset;
    let mut times = Vec::with_capacity(calls);
    for number in 0..calls {
        thread::sleep((began + interval * number as u32).saturating_duration_since(Instant::now()));
        let sent = Instant::now();
        reader.get_mut().write_all(request.as_bytes())?;
        read_response(&mut reader)?;
        times.push(sent.elapsed());
    }
    // The first request is left out: it opens connections that the later ones reuse.
    Ok(times.split_off(1))
}

fn read_response(reader: &mut BufReader<TcpStream>) -> Result<()> {
    let mut length = 0;
    let mut line = String::new();
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.trim().parse()?;
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    Ok(reader.read_exact(&mut body)?)
}
