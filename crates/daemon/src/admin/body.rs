use std::io::Read as _;

use rouille::Request;
use serde::de::DeserializeOwned;

use super::problems::Refused;

/// Largest body of a small request, in bytes.
pub(super) const SMALL_BYTES: u64 = 64 << 10;

/// Reads a JSON body of at most `max_bytes`.
pub(super) fn read<T: DeserializeOwned>(req: &Request, max_bytes: u64) -> Result<T, Refused> {
    let announced = req.header("content-length").map(str::parse::<u64>);
    let announced = announced
        .transpose()
        .map_err(|_| Refused::malformed("the length of the body is no whole number"))?;
    if announced.is_some_and(|announced| max_bytes < announced) {
        return Err(Refused::too_large(max_bytes));
    }
    let body = req.data().ok_or_else(|| Refused::malformed("the request has no body"))?;
    let mut bytes = Vec::new();
    body.take(max_bytes + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| Refused::malformed(format!("the body could not be read: {e}")))?;
    let read = bytes.len() as u64;
    if max_bytes < read {
        return Err(Refused::too_large(max_bytes));
    }
    if announced.is_some_and(|announced| announced != read) {
        return Err(Refused::malformed("the body is shorter than announced"));
    }
    serde_json::from_slice(&bytes).map_err(|e| Refused::malformed(e.to_string()))
}
