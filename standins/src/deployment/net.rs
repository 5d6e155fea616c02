//! A part of the loopback range that one deployment has for itself.

use {
    super::loopback,
    eyre::{Result, bail},
    std::net::{IpAddr, SocketAddr, TcpListener},
};

const LOCK_PORT: u16 = 7_999;
const UPSTREAM_PORT: u16 = 8_080;
const PLATFORM_PORT: u16 = 8_500;
const STEERING_PORT: u16 = 8_600;
/// The part of a deployment's range that holds the stand-ins.
const STAND_INS: u8 = 250;
const LOCK: u8 = 255;

/// A range `127.N.0.0/16`, held by a port that is listened on.
#[derive(Debug)]
pub struct Net {
    number: u8,
    _lock: TcpListener,
}

impl Net {
    /// Takes a range that nobody holds.
    ///
    /// # Errors
    /// When all are held.
    pub fn take() -> Result<Self> {
        for number in 1..=250 {
            if let Ok(lock) = TcpListener::bind((loopback(number, LOCK, 1), LOCK_PORT)) {
                return Ok(Self { number, _lock: lock });
            }
        }
        bail!("no part of the loopback range is free")
    }

    /// The range's number.
    pub fn number(&self) -> u8 {
        self.number
    }

    /// The address of an entry VM.
    pub fn vm(&self, data_centre: usize, number: usize) -> IpAddr {
        loopback(self.number, data_centre as u8 + 1, number as u8 + 1)
    }

    /// Where an upstream serves.
    pub fn upstream(&self, service: usize, number: usize) -> SocketAddr {
        (loopback(self.number, 100 + service as u8, number as u8 + 1), UPSTREAM_PORT).into()
    }

    /// Where the platform answers.
    pub fn platform(&self) -> SocketAddr {
        (loopback(self.number, STAND_INS, 1), PLATFORM_PORT).into()
    }

    /// Where the upstreams are steered.
    pub fn steering(&self) -> SocketAddr {
        (loopback(self.number, STAND_INS, 2), STEERING_PORT).into()
    }
}
