use std::io::Read as _;

use rouille::Request;
use serde::de::DeserializeOwned;

use super::problems::ApiError;

/// Largest body of a small request, in bytes.
pub(super) const MAX_SMALL_BODY_BYTES: u64 = 64 << 10;

/// Reads a JSON body of at most `max_bytes`.
pub(super) fn read<T: DeserializeOwned>(req: &Request, max_bytes: u64) -> Result<T, ApiError> {
    let content_length = req.header("content-length").map(str::parse::<u64>);
    let content_length = content_length
        .transpose()
        .map_err(|_| ApiError::malformed("the content-length is not a whole number"))?;
    if content_length.is_some_and(|content_length| max_bytes < content_length) {
        return Err(ApiError::too_large(max_bytes));
    }
    let body = req.data().ok_or_else(|| ApiError::malformed("the request has no body"))?;
    let mut bytes = Vec::new();
    body.take(max_bytes + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| ApiError::malformed(format!("the body could not be read: {e}")))?;
    let read = bytes.len() as u64;
    if max_bytes < read {
        return Err(ApiError::too_large(max_bytes));
    }
    if content_length.is_some_and(|content_length| content_length != read) {
        return Err(ApiError::malformed("the body's length differs from its content-length"));
    }
    serde_json::from_slice(&bytes).map_err(|e| ApiError::malformed(e.to_string()))
}
