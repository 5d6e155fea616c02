//! Loopback addresses for all that listens in a test.

use std::{
    net::{Ipv4Addr, UdpSocket},
    sync::Mutex,
};

/// Addresses in a block: the last byte from 1 on.
const BLOCK_ADDRESSES: u8 = 250;
/// The last byte and the port at which a process holds a block against others.
const CLAIM: (u8, u16) = (254, 7_999);
/// Second bytes of blocks.
const SECOND: std::ops::Range<u32> = 20..219;
/// Third bytes of blocks.
const THIRDS: u32 = 250;
/// All blocks; more addresses than any test needs.
const BLOCKS: u32 = (SECOND.end - SECOND.start) * THIRDS;

/// A block of addresses that no other test process has, as long as the socket stands.
struct Block {
    _claim: UdpSocket,
    number: u32,
    used: u8,
}

impl Block {
    /// The first free block behind a number.
    fn claim(behind: u32) -> Self {
        let numbers = (1..=BLOCKS).map(|step| (behind + step) % BLOCKS);
        let mut blocks = numbers.filter_map(|number| {
            let claim = UdpSocket::bind((address(number, CLAIM.0), CLAIM.1)).ok()?;
            Some(Self { _claim: claim, number, used: 0 })
        });
        blocks.next().expect("a free block of loopback addresses")
    }
}

fn address(block: u32, last: u8) -> Ipv4Addr {
    let (second, third) =
        (SECOND.start + block % (SECOND.end - SECOND.start), block / (SECOND.end - SECOND.start));
    Ipv4Addr::new(127, second as u8, third as u8, last)
}

/// A loopback address of its own for each thing that listens in these tests.
pub fn own_address() -> Ipv4Addr {
    /// Blocks that this process holds; the last one is in use.
    static HELD: Mutex<Vec<Block>> = Mutex::new(Vec::new());
    let mut held = HELD.lock().unwrap();
    if held.last().is_none_or(|block| block.used == BLOCK_ADDRESSES) {
        let behind = held.last().map_or_else(std::process::id, |block| block.number) % BLOCKS;
        held.push(Block::claim(behind));
    }
    let block = held.last_mut().unwrap();
    block.used += 1;
    address(block.number, block.used)
}
