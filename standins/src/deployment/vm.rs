//! An entry VM of a deployment.

use {
    super::{
        net::LoopbackNet,
        process::{Program, freeze, kill, terminate, thaw},
    },
    crate::admin::Admin,
    eyre::Result,
    std::{
        net::{IpAddr, SocketAddr},
        process::{Child, ExitStatus},
        thread,
        time::{Duration, Instant},
    },
};

const ENTRY_PORT: u16 = 7_000;
const CONTROL_PORT: u16 = 7_001;
const LOCATE_PORT: u16 = 7_002;
/// Time between two checks whether a program has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An entry VM and its entry, control and locate processes.
#[derive(Debug)]
pub struct Vm {
    /// Name, unique in the deployment.
    pub name: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Address that its programs listen on.
    pub address: IpAddr,
    entry: Option<Child>,
    control: Option<Child>,
    locate: Option<Child>,
}

impl Vm {
    /// Creates a VM without running programs; VMs are assigned to data centres round-robin.
    pub fn new(net: &LoopbackNet, number: usize, data_centres: usize) -> Self {
        let data_centre = number % data_centres;
        Self {
            name: format!("entry-{}", number + 1),
            data_centre: format!("dc-{}", data_centre + 1),
            address: net.vm(data_centre, number),
            entry: None,
            control: None,
            locate: None,
        }
    }

    /// The process of a program; locate's for any program other than entry and control.
    fn child_mut(&mut self, program: Program) -> &mut Option<Child> {
        match program {
            Program::Entry => &mut self.entry,
            Program::Control => &mut self.control,
            _ => &mut self.locate,
        }
    }

    /// Stores the process of a program that was started for this VM.
    pub fn set_child(&mut self, program: Program, child: Child) {
        *self.child_mut(program) = Some(child);
    }

    /// Whether its entry has been started and not stopped or killed.
    pub fn is_running(&self) -> bool {
        self.entry.is_some()
    }

    /// Address where its entry serves callers.
    pub fn entry(&self) -> SocketAddr {
        (self.address, ENTRY_PORT).into()
    }

    /// Address where its control listens for other VMs.
    pub fn control(&self) -> SocketAddr {
        (self.address, CONTROL_PORT).into()
    }

    /// Address where its locate serves callers.
    pub fn locate(&self) -> SocketAddr {
        (self.address, LOCATE_PORT).into()
    }

    /// Address of the operator port of one of its programs.
    pub fn operator(&self, program: Program) -> SocketAddr {
        let port = match program {
            Program::Entry => 7_010,
            Program::Control => 7_011,
            _ => 7_012,
        };
        (self.address, port).into()
    }

    /// Process id of one of its programs, if it is running.
    pub fn process(&self, program: Program) -> Option<u32> {
        let child = match program {
            Program::Entry => &self.entry,
            Program::Control => &self.control,
            _ => &self.locate,
        };
        child.as_ref().map(Child::id)
    }

    /// Whether its entry and locate have this configuration revision and its locate lists `vms` usable VMs.
    ///
    /// # Errors
    /// When a status request fails.
    pub fn is_ready(&self, admin: &Admin, revision: u64, vms: usize) -> Result<bool> {
        let entry: serde_json::Value = admin.json(self.operator(Program::Entry), "/status")?;
        let locate: serde_json::Value = admin.json(self.operator(Program::Locate), "/status")?;
        let usable = locate["usable"].as_array().map_or(0, Vec::len);
        let is_current = |value: &serde_json::Value| value.as_u64() == Some(revision);
        Ok(is_current(&entry["revision"])
            && is_current(&locate["configuration"]["revision"])
            && usable == vms)
    }

    /// Shuts its entry down gracefully, then the other programs; returns the exit status of the entry.
    pub fn stop(&mut self) -> Option<ExitStatus> {
        self.terminate_entry();
        self.finish_stop()
    }

    /// Requests a graceful shutdown of its entry without waiting for it.
    pub fn terminate_entry(&self) {
        self.entry.iter().for_each(terminate);
    }

    /// Waits until the entry has exited, then stops the other programs; returns the exit status of the entry.
    pub fn finish_stop(&mut self) -> Option<ExitStatus> {
        let status = self.entry.take().and_then(|mut entry| entry.wait().ok());
        for program in [Program::Control, Program::Locate] {
            self.stop_program(program);
        }
        status
    }

    /// Shuts one program down gracefully; kills it if it has not exited after 60 s.
    pub fn stop_program(&mut self, program: Program) {
        if let Some(mut child) = self.child_mut(program).take() {
            terminate(&child);
            let deadline = Instant::now() + Duration::from_secs(60);
            while child.try_wait().is_ok_and(|ended| ended.is_none()) && Instant::now() < deadline {
                thread::sleep(POLL_INTERVAL);
            }
            kill(&mut child);
        }
    }

    /// Kills one program.
    pub fn kill_program(&mut self, program: Program) {
        if let Some(mut child) = self.child_mut(program).take() {
            kill(&mut child);
        }
    }

    /// Kills all its programs.
    pub fn kill(&mut self) {
        for program in [Program::Entry, Program::Control, Program::Locate] {
            self.kill_program(program);
        }
    }

    /// Suspends all its programs.
    pub fn freeze(&self) {
        self.children().for_each(freeze);
    }

    /// Resumes all its programs.
    pub fn thaw(&self) {
        self.children().for_each(thaw);
    }

    fn children(&self) -> impl Iterator<Item = &Child> {
        [&self.entry, &self.control, &self.locate].into_iter().flatten()
    }
}
