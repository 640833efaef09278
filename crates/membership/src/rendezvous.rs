//! Rendezvous hashing: instances with the same view choose the same member, and a change of the view moves only the
//! subjects that it has to.

use units::InstanceName;

/// The first eight bytes of a BLAKE3 hash.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let digest = blake3::hash(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// The key of a member in rendezvous hashing.
pub(crate) fn member_key(name: &InstanceName) -> u64 {
    hash(name.as_str().as_bytes())
}

/// The rendezvous score of a member for a subject. The highest score wins.
///
/// Both keys come from BLAKE3, so a cheap mixing function is enough, and a choice among hundreds of members takes
/// well under a microsecond.
pub(crate) fn score(subject: u64, member: u64) -> u64 {
    let mut mixed = subject ^ member.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
