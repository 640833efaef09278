//! Rendezvous hashing: every instance with the same view names the same one, and a change moves only what it must.

use units::InstanceName;

/// The first eight bytes of a BLAKE3 hash.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let digest = blake3::hash(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// The hash under which a member takes part.
pub(crate) fn member_key(name: &InstanceName) -> u64 {
    hash(name.as_str().as_bytes())
}

/// How well a member suits a subject. The highest wins.
///
/// Both keys come from BLAKE3, so a cheap mixing of the two is enough, and a choice among hundreds of members costs
/// well under a microsecond.
pub(crate) fn score(subject: u64, member: u64) -> u64 {
    let mut mixed = subject ^ member.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
