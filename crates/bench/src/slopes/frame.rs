//! Overhead in bytes of a call between routers, by the size of its message.

use capnp::{message::Builder, serialize};
use capnp_rpc::rpc_capnp;
use wire::peer_capnp::router;

use super::Slope;

/// Sizes of the messages, in bytes.
const MESSAGE_SIZES: [usize; 4] = [0, 250, 1_000, 16_000];

/// A question id as high as on a connection that has been open for days.
const QUESTION_ID: u32 = 1_000_000;

/// Interface id of `Router` in the schema.
const ROUTER_INTERFACE_ID: u64 = <router::Client as capnp::traits::HasTypeId>::TYPE_ID;

/// Measures gossip calls whose request and response are of equal size.
pub(super) fn slopes() -> Vec<Slope> {
    let points = MESSAGE_SIZES.iter().map(|&size| [2.0 * size as f64, exchange_bytes(size) as f64]);
    vec![Slope::fit(
        "frame/gossip call and answer",
        "bytes of both messages",
        "bytes on the connection",
        points.collect(),
    )]
}

fn exchange_bytes(size: usize) -> usize {
    call_bytes(&vec![0; size]) + return_bytes(&vec![0; size]) + finish_bytes()
}

fn call_bytes(message: &[u8]) -> usize {
    let mut frame = Builder::new_default();
    let mut call = frame.init_root::<rpc_capnp::message::Builder<'_>>().init_call();
    call.set_question_id(QUESTION_ID);
    call.set_interface_id(ROUTER_INTERFACE_ID);
    call.reborrow().init_target().set_imported_cap(1);
    let payload = call.init_params();
    payload.get_content().init_as::<router::gossip_params::Builder<'_>>().set_message(message);
    length(&frame)
}

fn return_bytes(reply: &[u8]) -> usize {
    let mut frame = Builder::new_default();
    let mut response = frame.init_root::<rpc_capnp::message::Builder<'_>>().init_return();
    response.set_answer_id(QUESTION_ID);
    let payload = response.init_results();
    payload.get_content().init_as::<router::gossip_results::Builder<'_>>().set_reply(reply);
    length(&frame)
}

fn finish_bytes() -> usize {
    let mut frame = Builder::new_default();
    let mut finish = frame.init_root::<rpc_capnp::message::Builder<'_>>().init_finish();
    finish.set_question_id(QUESTION_ID);
    length(&frame)
}

fn length(frame: &Builder<capnp::message::HeapAllocator>) -> usize {
    serialize::write_message_to_words(frame).len()
}
