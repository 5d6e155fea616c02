//! Simulates the process of a stand-in: its listener, its connections and its crash.

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
    crash_path: Option<String>,
}

/// Listener and connections of a stand-in, which are closed when it crashes.
#[derive(Clone, Default)]
pub struct SimulatedProcess {
    state: Arc<Mutex<State>>,
}

impl SimulatedProcess {
    /// Sets the listener after a start.
    pub fn set_listener(&self, listener: Arc<TcpListener>) {
        self.state.lock().unwrap().listener = Some(listener);
    }

    /// Tracks a connection until the guard is dropped; a reference that remained would keep the connection
    /// open.
    pub fn track_connection(&self, connection: Arc<TcpStream>) -> OpenConnection {
        let mut state = self.state.lock().unwrap();
        state.opened += 1;
        let number = state.opened;
        state.connections.insert(number, connection);
        OpenConnection { process: self.clone(), number }
    }

    /// From now on, requests to this path count as crash targets.
    pub fn crash_on(&self, path: &str) {
        self.state.lock().unwrap().crash_path = Some(path.into());
    }

    /// Whether a request to this target crashes the process; the query is ignored.
    pub fn is_crash_target(&self, target: &str) -> bool {
        let path = target.split('?').next();
        self.state.lock().unwrap().crash_path.as_deref() == path
    }

    /// Whether the process has crashed and has not been restarted.
    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().listener.is_none()
    }

    /// Whether this is the current listener.
    pub fn is_current_listener(&self, listener: &Arc<TcpListener>) -> bool {
        self.state.lock().unwrap().listener.as_ref().is_some_and(|current| Arc::ptr_eq(current, listener))
    }

    /// Closes the listener and then all connections, in the order in which an ending process closes them.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        // The shutdown of a socket that is already closed fails; the error is ignored.
        if let Some(listener) = state.listener.take() {
            _ = SockRef::from(&*listener).shutdown(Shutdown::Both);
        }
        state.connections.drain().for_each(|(_, connection)| _ = connection.shutdown(Shutdown::Both));
    }
}

/// Guard of a tracked connection.
pub struct OpenConnection {
    process: SimulatedProcess,
    number: u64,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.process.state.lock().unwrap().connections.remove(&self.number);
    }
}
