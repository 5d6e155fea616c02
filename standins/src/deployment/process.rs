//! Starting, signalling and killing the processes of a deployment.

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
    /// Forwards requests to upstreams.
    Entry,
    /// Maintains membership and configuration.
    Control,
    /// Directs callers to an entry VM.
    Locate,
    /// Platform stand-in.
    Platform,
    /// Upstream stand-ins.
    Upstreams,
    /// Command-line client for operators.
    Client,
}

impl Program {
    /// Short name, used in names of log files.
    pub fn short_name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Locate => "locate",
            Self::Platform => "platform",
            Self::Upstreams => "upstreams",
            Self::Client => "client",
        }
    }

    /// File name of the executable.
    fn file_name(self) -> &'static str {
        match self {
            Self::Entry => "pointvane-entry",
            Self::Control => "pointvane-control",
            Self::Locate => "pointvane-locate",
            Self::Platform => "standin-platform",
            Self::Upstreams => "standin-upstreams",
            Self::Client => "pointvane",
        }
    }

    /// Path of the executable: in the directory of the running one, or in its parent directory, since cargo builds
    /// tests into `deps/`.
    ///
    /// # Errors
    /// When it has not been built.
    pub fn path(self) -> Result<PathBuf> {
        let executable = std::env::current_exe()?;
        let directories = executable.parent().into_iter().chain(executable.parent().and_then(Path::parent));
        let mut candidates = directories.map(|directory| directory.join(self.file_name()));
        candidates.find(|path| path.is_file()).ok_or_else(|| eyre::eyre!("{} is not built", self.file_name()))
    }
}

/// Starts a program and appends its stdout and stderr to a log file.
///
/// # Errors
/// When the log cannot be opened, or the program has not been built or cannot be started.
pub fn spawn(program: Program, arguments: &[&str], log: &Path) -> Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(program.path()?)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
        .wrap_err(program.file_name())
}

/// Kills a process and reaps it.
pub fn kill(child: &mut Child) {
    // Killing fails for a process that has already exited; it is still reaped.
    let _ = child.kill();
    let _ = child.wait();
}

/// Sends a signal to a child process; failures are ignored.
fn send_signal(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        let _ = kill_process(pid, signal);
    }
}

/// Requests a graceful shutdown with SIGTERM.
pub fn terminate(child: &Child) {
    send_signal(child, Signal::TERM);
}

/// Suspends a process with SIGSTOP.
pub fn freeze(child: &Child) {
    send_signal(child, Signal::STOP);
}

/// Resumes a suspended process with SIGCONT.
pub fn thaw(child: &Child) {
    send_signal(child, Signal::CONT);
}
