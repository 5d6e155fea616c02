//! Loopback addresses reserved for one deployment, so that deployments can run in parallel.

use {
    super::loopback,
    eyre::{Result, bail},
    std::net::{IpAddr, SocketAddr, TcpListener},
};

const LOCK_PORT: u16 = 7_999;
const UPSTREAM_PORT: u16 = 8_080;
const PLATFORM_PORT: u16 = 8_500;
const UPSTREAM_CONTROL_PORT: u16 = 8_600;
/// Third octet of the addresses of the stand-ins.
const STAND_IN_SUBNET: u8 = 250;
/// Third octet of the address whose bound port reserves the range.
const LOCK_SUBNET: u8 = 255;

/// The range `127.N.0.0/16`, reserved for as long as a listener on one of its ports exists.
#[derive(Debug)]
pub struct LoopbackNet {
    number: u8,
    _lock: TcpListener,
}

impl LoopbackNet {
    /// Reserves a free range.
    ///
    /// # Errors
    /// When all 250 ranges are reserved.
    pub fn reserve() -> Result<Self> {
        for number in 1..=250 {
            if let Ok(lock) = TcpListener::bind((loopback(number, LOCK_SUBNET, 1), LOCK_PORT)) {
                return Ok(Self { number, _lock: lock });
            }
        }
        bail!("no loopback range 127.N.0.0/16 is free")
    }

    /// The second octet of the range.
    pub fn number(&self) -> u8 {
        self.number
    }

    /// Address of an entry VM, by the indices of its data centre and of the VM.
    pub fn vm(&self, data_centre: usize, number: usize) -> IpAddr {
        loopback(self.number, data_centre as u8 + 1, number as u8 + 1)
    }

    /// Address of an upstream, by the indices of its service and of the upstream.
    pub fn upstream(&self, service: usize, number: usize) -> SocketAddr {
        (loopback(self.number, 100 + service as u8, number as u8 + 1), UPSTREAM_PORT).into()
    }

    /// Address of the platform stand-in.
    pub fn platform(&self) -> SocketAddr {
        (loopback(self.number, STAND_IN_SUBNET, 1), PLATFORM_PORT).into()
    }

    /// Control address of the upstream stand-ins.
    pub fn upstream_control_address(&self) -> SocketAddr {
        (loopback(self.number, STAND_IN_SUBNET, 2), UPSTREAM_CONTROL_PORT).into()
    }
}
