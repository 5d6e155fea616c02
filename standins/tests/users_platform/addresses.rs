//! Allocates loopback addresses for the listeners of a test.

use std::{
    net::{Ipv4Addr, UdpSocket},
    sync::Mutex,
};

/// Addresses in a block; their last byte counts from 1.
const BLOCK_ADDRESSES: u8 = 250;
/// Last byte and port of the UDP socket by which a process reserves a block.
const RESERVATION: (u8, u16) = (254, 7_999);
/// Range of the second byte of the addresses.
const SECOND_BYTES: std::ops::Range<u32> = 20..219;
/// Number of values of the third byte.
const THIRD_BYTES: u32 = 250;
/// Number of blocks; together they hold more addresses than any test needs.
const BLOCKS: u32 = (SECOND_BYTES.end - SECOND_BYTES.start) * THIRD_BYTES;

/// A block of addresses reserved for this test process as long as the socket is open.
struct Block {
    _reservation: UdpSocket,
    number: u32,
    used: u8,
}

impl Block {
    /// Reserves the first free block after the given number.
    fn reserve(after: u32) -> Self {
        let numbers = (1..=BLOCKS).map(|step| (after + step) % BLOCKS);
        let mut blocks = numbers.filter_map(|number| {
            let reservation = UdpSocket::bind((address(number, RESERVATION.0), RESERVATION.1)).ok()?;
            Some(Self { _reservation: reservation, number, used: 0 })
        });
        blocks.next().expect("a free block of loopback addresses")
    }
}

fn address(block: u32, last: u8) -> Ipv4Addr {
    let (second, third) = (
        SECOND_BYTES.start + block % (SECOND_BYTES.end - SECOND_BYTES.start),
        block / (SECOND_BYTES.end - SECOND_BYTES.start),
    );
    Ipv4Addr::new(127, second as u8, third as u8, last)
}

/// Returns a loopback address that no other listener of any test process has.
pub fn unique_address() -> Ipv4Addr {
    /// Blocks reserved by this process; addresses are taken from the last one.
    static RESERVED: Mutex<Vec<Block>> = Mutex::new(Vec::new());
    let mut reserved = RESERVED.lock().unwrap();
    if reserved.last().is_none_or(|block| block.used == BLOCK_ADDRESSES) {
        let after = reserved.last().map_or_else(std::process::id, |block| block.number) % BLOCKS;
        reserved.push(Block::reserve(after));
    }
    let block = reserved.last_mut().unwrap();
    block.used += 1;
    address(block.number, block.used)
}
