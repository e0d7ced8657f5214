use base::HostId;
use subtle::ConstantTimeEq as _;

/// Length of a nonce, in bytes.
pub(super) const NONCE_BYTES: usize = 32;

/// Context string of the key derivation, unique to this use.
const KEY_CONTEXT: &str = "dotterelreach 2026-12 proofs between routers";

/// A random number used in one handshake only.
pub(super) type Nonce = [u8; NONCE_BYTES];

/// The derived key with which routers prove that they belong to the fleet.
pub(super) struct FleetSecret {
    key: [u8; blake3::KEY_LEN],
}

/// The side of a connection that proves itself.
#[derive(Clone, Copy)]
pub(super) enum Side<'a> {
    /// The side that accepted the connection.
    Server,
    /// The side that opened the connection, with its host.
    Client(&'a HostId),
}

/// The nonces of both sides of a handshake.
#[derive(Clone, Copy)]
pub(super) struct Nonces {
    pub client: Nonce,
    pub server: Nonce,
}

impl FleetSecret {
    pub(super) fn new(fleet_key: &str) -> Self {
        Self { key: blake3::derive_key(KEY_CONTEXT, fleet_key.as_bytes()) }
    }

    /// Computes the proof of `side`: a keyed hash over both nonces and the side.
    pub(super) fn prove(&self, side: Side<'_>, nonces: &Nonces) -> [u8; blake3::OUT_LEN] {
        let mut mac = blake3::Hasher::new_keyed(&self.key);
        mac.update(&nonces.client);
        mac.update(&nonces.server);
        match side {
            Side::Server => mac.update(b"server"),
            Side::Client(host) => mac.update(b"client").update(host.as_str().as_bytes()),
        };
        *mac.finalize().as_bytes()
    }

    /// Returns whether `proof` is that of `side`.
    pub(super) fn verify(&self, side: Side<'_>, nonces: &Nonces, proof: &[u8]) -> bool {
        self.prove(side, nonces).as_slice().ct_eq(proof).into()
    }
}

/// Generates a random nonce.
pub(super) fn new_nonce() -> Nonce {
    rand::random()
}

/// Decodes the other side's nonce.
pub(super) fn read_nonce(bytes: &[u8]) -> Result<Nonce, capnp::Error> {
    bytes.try_into().map_err(|_| capnp::Error::failed("the nonce has the wrong length".into()))
}
