//! The life of a stand-in's process: what it listens at, its connections, and its crash.

use {
    socket2::SockRef,
    std::{
        collections::HashMap,
        net::{Shutdown, TcpListener, TcpStream},
        sync::{Arc, Mutex},
    },
};

#[derive(Default)]
struct State {
    listener: Option<Arc<TcpListener>>,
    connections: HashMap<u64, Arc<TcpStream>>,
    opened: u64,
    crashes_on: Option<String>,
}

/// What ends when a stand-in crashes.
#[derive(Clone, Default)]
pub struct Process {
    state: Arc<Mutex<State>>,
}

impl Process {
    pub fn started(&self, listener: Arc<TcpListener>) {
        self.state.lock().unwrap().listener = Some(listener);
    }

    /// Takes note of a connection for as long as the guard lives; a reference that stayed would keep it open.
    pub fn opened(&self, connection: Arc<TcpStream>) -> OpenConnection {
        let mut state = self.state.lock().unwrap();
        state.opened += 1;
        let number = state.opened;
        state.connections.insert(number, connection);
        OpenConnection { process: self.clone(), number }
    }

    pub fn crash_on(&self, path: &str) {
        self.state.lock().unwrap().crashes_on = Some(path.into());
    }

    pub fn crashes_under(&self, target: &str) -> bool {
        let path = target.split('?').next();
        self.state.lock().unwrap().crashes_on.as_deref() == path
    }

    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().listener.is_none()
    }

    /// Whether it is this listener that it listens at now.
    pub fn listens_at(&self, listener: &Arc<TcpListener>) -> bool {
        self.state.lock().unwrap().listener.as_ref().is_some_and(|current| Arc::ptr_eq(current, listener))
    }

    /// Nobody listens from here on; only then do the connections close, as when a process ends.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        // What is closed already cannot be shut down again.
        if let Some(listener) = state.listener.take() {
            _ = SockRef::from(&*listener).shutdown(Shutdown::Both);
        }
        state.connections.drain().for_each(|(_, connection)| _ = connection.shutdown(Shutdown::Both));
    }
}

/// A connection that ends with the process.
pub struct OpenConnection {
    process: Process,
    number: u64,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.process.state.lock().unwrap().connections.remove(&self.number);
    }
}
