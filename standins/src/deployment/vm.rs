//! One entry VM of a deployment.

use {
    super::{
        net::Net,
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
const LOOK: Duration = Duration::from_millis(20);

/// One entry VM with its three programs.
#[derive(Debug)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its address.
    pub address: IpAddr,
    entry: Option<Child>,
    control: Option<Child>,
    locate: Option<Child>,
}

impl Vm {
    /// A VM on which nothing runs.
    pub fn new(net: &Net, number: usize, data_centres: usize) -> Self {
        let centre = number % data_centres;
        Self {
            name: format!("entry-{}", number + 1),
            data_centre: format!("dc-{}", centre + 1),
            address: net.vm(centre, number),
            entry: None,
            control: None,
            locate: None,
        }
    }

    fn place(&mut self, program: Program) -> &mut Option<Child> {
        match program {
            Program::Entry => &mut self.entry,
            Program::Control => &mut self.control,
            _ => &mut self.locate,
        }
    }

    /// Takes a program that was started for it.
    pub fn put(&mut self, program: Program, child: Child) {
        *self.place(program) = Some(child);
    }

    /// Whether its entry was started and not ended.
    pub fn runs(&self) -> bool {
        self.entry.is_some()
    }

    /// Where its entry serves.
    pub fn entry(&self) -> SocketAddr {
        (self.address, ENTRY_PORT).into()
    }

    /// Where its control listens.
    pub fn control(&self) -> SocketAddr {
        (self.address, CONTROL_PORT).into()
    }

    /// Where its locate answers.
    pub fn locate(&self) -> SocketAddr {
        (self.address, LOCATE_PORT).into()
    }

    /// The operator port of one of its programs.
    pub fn operator(&self, program: Program) -> SocketAddr {
        let port = match program {
            Program::Entry => 7_010,
            Program::Control => 7_011,
            _ => 7_012,
        };
        (self.address, port).into()
    }

    /// The process number of one of its programs.
    pub fn process(&self, program: Program) -> Option<u32> {
        let child = match program {
            Program::Entry => &self.entry,
            Program::Control => &self.control,
            _ => &self.locate,
        };
        child.as_ref().map(Child::id)
    }

    /// Whether its entry and locate know a revision, and its locate that many usable VMs.
    ///
    /// # Errors
    /// When an operator port does not answer.
    pub fn is_ready(&self, admin: &Admin, revision: u64, vms: usize) -> Result<bool> {
        let entry: serde_json::Value = admin.json(self.operator(Program::Entry), "/status")?;
        let locate: serde_json::Value = admin.json(self.operator(Program::Locate), "/status")?;
        let usable = locate["usable"].as_array().map_or(0, Vec::len);
        let known = |value: &serde_json::Value| value.as_u64() == Some(revision);
        Ok(known(&entry["revision"]) && known(&locate["configuration"]["revision"]) && usable == vms)
    }

    /// Asks its entry to stop as planned and, when that has ended, the others; gives the entry's exit.
    pub fn stop(&mut self) -> Option<ExitStatus> {
        self.ask_entry_to_stop();
        self.finish_stop()
    }

    /// Asks its entry to stop as planned, and does not wait.
    pub fn ask_entry_to_stop(&self) {
        self.entry.iter().for_each(terminate);
    }

    /// Waits for the entry's end, then stops the others.
    pub fn finish_stop(&mut self) -> Option<ExitStatus> {
        let status = self.entry.take().and_then(|mut entry| entry.wait().ok());
        for program in [Program::Control, Program::Locate] {
            self.stop_program(program);
        }
        status
    }

    /// Stops one program as planned and waits for its end.
    pub fn stop_program(&mut self, program: Program) {
        if let Some(mut child) = self.place(program).take() {
            terminate(&child);
            let until = Instant::now() + Duration::from_secs(60);
            while child.try_wait().is_ok_and(|ended| ended.is_none()) && Instant::now() < until {
                thread::sleep(LOOK);
            }
            kill(&mut child);
        }
    }

    /// Ends one program at once.
    pub fn kill_program(&mut self, program: Program) {
        if let Some(mut child) = self.place(program).take() {
            kill(&mut child);
        }
    }

    /// Ends all its programs at once.
    pub fn kill(&mut self) {
        for program in [Program::Entry, Program::Control, Program::Locate] {
            self.kill_program(program);
        }
    }

    /// Freezes its programs.
    pub fn freeze(&self) {
        self.children().for_each(freeze);
    }

    /// Lets its programs go on.
    pub fn thaw(&self) {
        self.children().for_each(thaw);
    }

    fn children(&self) -> impl Iterator<Item = &Child> {
        [&self.entry, &self.control, &self.locate].into_iter().flatten()
    }
}
