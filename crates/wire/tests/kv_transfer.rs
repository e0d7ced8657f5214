//! Engines fetch cached blocks only where the router says.

use serde_json::{Value, json};
use wire::{
    completion::{CompletionRequest, Delivered},
    kv_transfer::{KvTransfer, PARAMS_FIELD},
};

fn own() -> KvTransfer {
    serde_json::from_value(json!({
        "endpoint": "engine-2", "incarnation": 4, "address": "127.0.0.1:9000", "salt": "00ff",
        "model": "m", "weights": "v1", "blocks": 7,
    }))
    .unwrap()
}

macro_rules! written_cases {
    ($($name:ident: $caller:expr, $own:expr => $written:expr;)*) => {$(
        #[test]
        fn $name() {
            let (own, written): (Option<KvTransfer>, Option<KvTransfer>) = ($own, $written);
            let mut body = json!({"model": "m", "prompt": "p"});
            if let Some(params) = Option::<Value>::from($caller) {
                body[PARAMS_FIELD] = params;
            }
            let completion = CompletionRequest::from_slice(body.to_string().as_bytes()).unwrap();
            let salt = "00ff".parse().unwrap();
            let sent = completion.to_engine_body(&salt, 0, &Delivered::default(), own.as_ref());
            let sent: Value = serde_json::from_slice(&sent).unwrap();
            let found = sent.get(PARAMS_FIELD).map(|p| serde_json::from_value(p.clone()).unwrap());
            assert_eq!(found, written);
        }
    )*};
}

written_cases! {
    nothing_is_added_unasked: None, None => None;
    the_routers_own_is_sent: None, Some(own()) => Some(own());
    what_a_caller_names_is_dropped: Some(json!({"salt": "of another"})), None => None;
    what_a_caller_names_is_replaced: Some(json!({"salt": "of another"})), Some(own()) => Some(own());
}
