//! Export and import of cached blocks, as specified in `docs/PROTOCOLS.md`.

use std::{net::SocketAddr, time::Duration};

use base::Incarnation;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, Response, StatusCode, header::HOST};
use serde::{Deserialize, Serialize};
use wire::kv_transfer::KvTransfer;

use crate::caller;

use super::server::{FakeBody, full_response};

/// Path prefix under which blocks are fetched and put.
const KV_PATH_PREFIX: &str = "/kv/";

const MODEL_HEADER: &str = "x-kv-model";
const WEIGHTS_HEADER: &str = "x-kv-weights";
const ENDPOINT_HEADER: &str = "x-kv-endpoint";
const INCARNATION_HEADER: &str = "x-kv-incarnation";

/// What a block must have in common with a request, besides its hash, to be reused.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct KvNamespace {
    pub salt: String,
    pub model: String,
    pub weights: String,
}

/// Response of a source: the number of leading blocks that it has, and their namespace.
#[derive(Serialize, Deserialize)]
struct FetchResponse {
    salt: String,
    model: String,
    weights: String,
    blocks: usize,
}

/// Parses the namespace and block hashes of a KV request; `None` for any other request.
pub(super) fn parse<B>(req: &Request<B>) -> Option<(KvNamespace, Vec<u64>)> {
    let (salt, blocks) = req.uri().path().strip_prefix(KV_PATH_PREFIX)?.split_once('/')?;
    let blocks = blocks.split(',').map(|hash| u64::from_str_radix(hash, 16).ok());
    let namespace = KvNamespace {
        salt: salt.to_owned(),
        model: header(req, MODEL_HEADER)?.to_owned(),
        weights: header(req, WEIGHTS_HEADER)?.to_owned(),
    };
    Some((namespace, blocks.collect::<Option<_>>()?))
}

/// Returns whether a request is addressed to this endpoint and incarnation.
pub(super) fn is_addressed_to<B>(
    req: &Request<B>,
    endpoint: &str,
    incarnation: Incarnation,
) -> bool {
    let requested = header(req, INCARNATION_HEADER).and_then(|value| value.parse().ok());
    header(req, ENDPOINT_HEADER) == Some(endpoint) && requested == Some(incarnation)
}

/// Returns the response of a source that holds `blocks` leading blocks in `namespace`.
pub(super) fn fetch_response(namespace: &KvNamespace, blocks: usize) -> Response<FakeBody> {
    let response = FetchResponse {
        salt: namespace.salt.clone(),
        model: namespace.model.clone(),
        weights: namespace.weights.clone(),
        blocks,
    };
    full_response(
        StatusCode::OK,
        serde_json::to_string(&response).expect("a response is valid JSON"),
    )
}

/// Fetches blocks from the source in `transfer`; returns their namespace and number.
///
/// Returns `None` if it has none, is another endpoint or incarnation, or does not respond within
/// `timeout`.
pub(super) async fn fetch(
    transfer: &KvTransfer,
    namespace: &KvNamespace,
    blocks: &[u64],
    timeout: Duration,
) -> Option<(KvNamespace, usize)> {
    let mut req = request(Method::GET, transfer.address, namespace, blocks);
    let headers = req.headers_mut();
    headers.insert(ENDPOINT_HEADER, transfer.endpoint.as_str().parse().ok()?);
    headers.insert(INCARNATION_HEADER, transfer.incarnation.to_string().parse().ok()?);
    let response =
        tokio::time::timeout(timeout, send_fetch(transfer.address, req)).await.ok()??;
    let FetchResponse { salt, model, weights, blocks: held } = response;
    Some((KvNamespace { salt, model, weights }, held.min(blocks.len())))
}

/// Puts evicted blocks into a store.
pub(super) async fn put(
    store: SocketAddr,
    namespace: KvNamespace,
    blocks: Vec<u64>,
    timeout: Duration,
) {
    let req = request(Method::PUT, store, &namespace, &blocks);
    if !matches!(tokio::time::timeout(timeout, caller::send(store, req)).await, Ok(Ok(_))) {
        log::debug!("failed to put evicted blocks: store {store}");
    }
}

async fn send_fetch(source: SocketAddr, req: Request<Full<Bytes>>) -> Option<FetchResponse> {
    let response = caller::send(source, req).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&response.into_body().collect().await.ok()?.to_bytes()).ok()
}

fn request(
    method: Method,
    address: SocketAddr,
    namespace: &KvNamespace,
    blocks: &[u64],
) -> Request<Full<Bytes>> {
    let blocks: Vec<_> = blocks.iter().map(|block| format!("{block:016x}")).collect();
    Request::builder()
        .method(method)
        .uri(format!("{KV_PATH_PREFIX}{}/{}", namespace.salt, blocks.join(",")))
        .header(HOST, address.to_string())
        .header(MODEL_HEADER, &namespace.model)
        .header(WEIGHTS_HEADER, &namespace.weights)
        .body(Full::default())
        .expect("a valid request")
}

fn header<'a, B>(req: &'a Request<B>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}
