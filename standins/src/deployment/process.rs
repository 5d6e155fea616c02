//! Processes of a deployment.

use {
    eyre::{Result, WrapErr},
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::File,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
    },
};

/// A program that a deployment runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// The data path.
    Entry,
    /// Membership and configuration.
    Control,
    /// Tells callers which entry VM to use.
    Locate,
    /// The platform's stand-in.
    Platform,
    /// The upstreams' stand-ins.
    Upstreams,
    /// The operators' client.
    Client,
}

impl Program {
    /// The program's short name.
    pub fn short(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Locate => "locate",
            Self::Platform => "platform",
            Self::Upstreams => "upstreams",
            Self::Client => "client",
        }
    }

    fn file(self) -> &'static str {
        match self {
            Self::Entry => "pointvane-entry",
            Self::Control => "pointvane-control",
            Self::Locate => "pointvane-locate",
            Self::Platform => "standin-platform",
            Self::Upstreams => "standin-upstreams",
            Self::Client => "pointvane",
        }
    }

    /// Where the program was built: beside the running one, or a level above a test.
    ///
    /// # Errors
    /// When it was not built.
    pub fn path(self) -> Result<PathBuf> {
        let own = std::env::current_exe()?;
        let beside = own.parent().into_iter().chain(own.parent().and_then(Path::parent));
        let mut candidates = beside.map(|directory| directory.join(self.file()));
        candidates.find(|path| path.is_file()).ok_or_else(|| eyre::eyre!("{} is not built", self.file()))
    }
}

/// Starts a program whose output goes to a log file.
///
/// # Errors
/// When it cannot be started.
pub fn spawn(program: Program, arguments: &[&str], log: &Path) -> Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(program.path()?)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
        .wrap_err(program.file())
}

/// Ends a process at once and takes its exit.
pub fn kill(child: &mut Child) {
    // One that has ended already is only waited for.
    let _ = child.kill();
    let _ = child.wait();
}

/// Sends a signal to a process that was started here.
fn send(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        let _ = kill_process(pid, signal);
    }
}

/// Asks a process to stop as planned.
pub fn terminate(child: &Child) {
    send(child, Signal::TERM);
}

/// Freezes a process.
pub fn freeze(child: &Child) {
    send(child, Signal::STOP);
}

/// Lets a frozen process go on.
pub fn thaw(child: &Child) {
    send(child, Signal::CONT);
}
