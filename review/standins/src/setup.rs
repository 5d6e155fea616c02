//! What the scripts share: arguments, the configuration of the day, and the end of a run.

use {
    crate::{
        fleet::{Fleet, end_all, free_net},
        instance::{Behaviour, Entry, Instance},
        record::Record,
        store::Store,
    },
    std::{env, io, path::PathBuf, process, sync::Arc, thread, time::Duration},
};

/// The rule held.
pub const HELD: i32 = 0;
/// The rule was broken.
pub const BROKEN: i32 = 1;
/// The case could not run.
pub const NOT_RUN: i32 = 2;

/// Longest time of a run.
const LONGEST: Duration = Duration::from_secs(110);

/// Folder of the repository and of the case, from the arguments, and whether the disruption takes place.
pub struct Arguments {
    /// The repository.
    pub repository: PathBuf,
    /// The folder for the record.
    pub folder: PathBuf,
    /// False with `TROUBLE=0`.
    pub trouble: bool,
}

impl Arguments {
    /// Reads the arguments and the environment.
    pub fn read() -> Self {
        let mut arguments = env::args_os().skip(1).map(PathBuf::from);
        let (Some(repository), Some(folder)) = (arguments.next(), arguments.next()) else {
            eprintln!("usage: CASE REPOSITORY FOLDER");
            process::exit(NOT_RUN);
        };
        Self { repository, folder, trouble: env::var_os("TROUBLE").is_none_or(|value| value != "0") }
    }
}

/// A route of the configuration.
pub struct Route {
    /// Its host.
    pub host: &'static str,
    /// Its path prefix.
    pub prefix: &'static str,
    /// `safe`, `unsafe` or `upload`.
    pub kind: &'static str,
    /// Its `timeout-ms`.
    pub timeout_ms: u64,
    /// Its `target-latency-ms`.
    pub target_ms: u64,
    /// Its `max-attempts`.
    pub max_attempts: u32,
    /// Its service.
    pub service: &'static str,
}

/// The text of `op/config`.
pub fn configuration(routes: &[Route]) -> String {
    let route = |(at, route): (usize, &Route)| {
        format!(
            "{{\"name\":\"r-{at}\",\"host\":\"{}\",\"path-prefix\":\"{}\",\"type\":\"{}\",\"timeout-ms\":{},\
             \"target-latency-ms\":{},\"priority\":2,\"service\":\"{}\",\"max-attempts\":{}}}",
            route.host,
            route.prefix,
            route.kind,
            route.timeout_ms,
            route.target_ms,
            route.service,
            route.max_attempts
        )
    };
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.dedup();
    let service = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-connections\":260,\"protocol\":\"h1\",\
             \"tls\":false}}"
        )
    };
    let routes: Vec<String> = routes.iter().enumerate().map(route).collect();
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        "{{\"version\":\"00000007\",\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":67108864,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"base-version\":\"00000005\"}}",
        routes.join(","),
        services.join(",")
    )
}

/// A small deployment that is ready.
pub struct Deployment {
    /// The record of the run.
    pub record: Arc<Record>,
    /// The store.
    pub store: Store,
    /// The nodes.
    pub fleet: Fleet,
    /// The instances, in the order of `entries`.
    pub instances: Vec<Instance>,
}

impl Deployment {
    /// Starts the store, the instances and `nodes` nodes, and waits until these have been in touch for 4 s, longer
    /// than `contact-ms`.
    pub fn start(
        arguments: &Arguments,
        routes: &[Route],
        entries: Vec<Entry>,
        nodes: usize,
        behaviour: Behaviour,
    ) -> io::Result<Self> {
        let record = Arc::new(Record::create(&arguments.folder.join("record.txt"))?);
        record.line(if arguments.trouble {
            "with the disruption"
        } else {
            "TROUBLE=0: without the disruption"
        });
        let net = free_net();
        let store = Store::start(&format!("{net}.100"))?;
        store.put("op/config", &configuration(routes));
        let health = Duration::from_millis(6);
        let start = |entry| {
            Instance::start(&format!("{net}.200"), entry, health, Arc::clone(&behaviour), &record, &store)
        };
        let instances = entries.into_iter().map(start).collect::<io::Result<_>>()?;
        let fleet = Fleet::start(&arguments.repository, &net, nodes, store.address, &record)?;
        thread::sleep(Duration::from_secs(4));
        Ok(Self { record, store, fleet, instances })
    }
}

/// Runs a case and ends the process with its result; a run that takes too long could not run.
pub fn run(case: impl FnOnce(&Arguments) -> io::Result<i32> + Send + 'static) -> ! {
    let arguments = Arguments::read();
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&arguments)));
        let _ = sender.send(result.unwrap_or_else(|_| Err(io::Error::other("the script failed"))));
    });
    let code = match receiver.recv_timeout(LONGEST) {
        Ok(Ok(code)) => code,
        Ok(Err(error)) => {
            eprintln!("could not run: {error}");
            NOT_RUN
        }
        Err(_) => {
            eprintln!("could not run: not over after {} s", LONGEST.as_secs());
            NOT_RUN
        }
    };
    end_all();
    process::exit(code)
}
