//! Export and import of cached blocks, as `docs/PROTOCOLS.md` fixes it.

use std::{net::SocketAddr, time::Duration};

use base::Incarnation;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Method, Request, Response, StatusCode, header::HOST};
use serde::{Deserialize, Serialize};
use wire::kv_transfer::KvTransfer;

use crate::caller;

use super::server::{FakeBody, whole};

/// Start of the path under which blocks are asked for and put.
const PATH: &str = "/kv/";

const MODEL: &str = "x-kv-model";
const WEIGHTS: &str = "x-kv-weights";
const ENDPOINT: &str = "x-kv-endpoint";
const INCARNATION: &str = "x-kv-incarnation";

/// What a block must share with a request to be reused, besides its hash.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct KvName {
    pub salt: String,
    pub model: String,
    pub weights: String,
}

/// What a source answers: how many leading blocks it gives, and their name as it holds them.
#[derive(Serialize, Deserialize)]
struct Found {
    salt: String,
    model: String,
    weights: String,
    blocks: usize,
}

/// Reads the name and the blocks of a request, unless it is for something else.
pub(super) fn parse<B>(req: &Request<B>) -> Option<(KvName, Vec<u64>)> {
    let (salt, blocks) = req.uri().path().strip_prefix(PATH)?.split_once('/')?;
    let blocks = blocks.split(',').map(|hash| u64::from_str_radix(hash, 16).ok());
    let name = KvName {
        salt: salt.to_owned(),
        model: header(req, MODEL)?.to_owned(),
        weights: header(req, WEIGHTS)?.to_owned(),
    };
    Some((name, blocks.collect::<Option<_>>()?))
}

/// Returns whether a request asks for this endpoint in this life of it.
pub(super) fn is_for<B>(req: &Request<B>, endpoint: &str, incarnation: Incarnation) -> bool {
    let life = header(req, INCARNATION).and_then(|life| life.parse().ok());
    header(req, ENDPOINT) == Some(endpoint) && life == Some(incarnation)
}

/// Returns the answer of a source that holds blocks under `name`.
pub(super) fn found(name: &KvName, blocks: usize) -> Response<FakeBody> {
    let found = Found {
        salt: name.salt.clone(),
        model: name.model.clone(),
        weights: name.weights.clone(),
        blocks,
    };
    whole(StatusCode::OK, serde_json::to_string(&found).expect("an answer is JSON"))
}

/// Asks the source that `transfer` names for blocks, and returns how many it gives under which name.
///
/// `None` if it has none, is not what it was, or gives no answer within `timeout`.
pub(super) async fn fetch(
    transfer: &KvTransfer,
    name: &KvName,
    blocks: &[u64],
    timeout: Duration,
) -> Option<(KvName, usize)> {
    let mut req = request(Method::GET, transfer.address, name, blocks);
    let headers = req.headers_mut();
    headers.insert(ENDPOINT, transfer.endpoint.as_str().parse().ok()?);
    headers.insert(INCARNATION, transfer.incarnation.to_string().parse().ok()?);
    let found = tokio::time::timeout(timeout, ask(transfer.address, req)).await.ok()??;
    let Found { salt, model, weights, blocks: held } = found;
    Some((KvName { salt, model, weights }, held.min(blocks.len())))
}

/// Puts evicted blocks into a store.
pub(super) async fn put(store: SocketAddr, name: KvName, blocks: Vec<u64>, timeout: Duration) {
    let req = request(Method::PUT, store, &name, &blocks);
    if !matches!(tokio::time::timeout(timeout, caller::send(store, req)).await, Ok(Ok(_))) {
        log::debug!("the store at {store} took no evicted blocks");
    }
}

async fn ask(source: SocketAddr, req: Request<Full<Bytes>>) -> Option<Found> {
    let response = caller::send(source, req).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&response.into_body().collect().await.ok()?.to_bytes()).ok()
}

fn request(
    method: Method,
    address: SocketAddr,
    name: &KvName,
    blocks: &[u64],
) -> Request<Full<Bytes>> {
    let blocks: Vec<_> = blocks.iter().map(|block| format!("{block:016x}")).collect();
    Request::builder()
        .method(method)
        .uri(format!("{PATH}{}/{}", name.salt, blocks.join(",")))
        .header(HOST, address.to_string())
        .header(MODEL, &name.model)
        .header(WEIGHTS, &name.weights)
        .body(Full::default())
        .expect("the request's parts are valid")
}

fn header<'a, B>(req: &'a Request<B>, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}
