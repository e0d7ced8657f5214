//! Engines get only the router's transfer parameters, never a caller's.

use serde_json::{Value, json};
use wire::{
    completion::{CompletionRequest, Delivered},
    kv_transfer::{KvTransfer, PARAMS_FIELD},
};

fn router_params() -> KvTransfer {
    serde_json::from_value(json!({
        "endpoint": "engine-2", "incarnation": 4, "address": "127.0.0.1:9000", "salt": "00ff",
        "model": "m", "weights": "v1", "blocks": 7,
    }))
    .unwrap()
}

macro_rules! transfer_cases {
    ($($name:ident: $caller:expr, $router:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let (router, expected): (Option<KvTransfer>, Option<KvTransfer>) = ($router, $expected);
            let mut body = json!({"model": "m", "prompt": "p"});
            if let Some(params) = Option::<Value>::from($caller) {
                body[PARAMS_FIELD] = params;
            }
            let completion = CompletionRequest::from_slice(body.to_string().as_bytes()).unwrap();
            let salt = "00ff".parse().unwrap();
            let sent = completion.to_engine_body(&salt, 0, &Delivered::default(), router.as_ref());
            let sent: Value = serde_json::from_slice(&sent).unwrap();
            let found = sent.get(PARAMS_FIELD).map(|p| serde_json::from_value(p.clone()).unwrap());
            assert_eq!(found, expected);
        }
    )*};
}

transfer_cases! {
    no_parameters_by_default: None, None => None;
    router_parameters_are_sent: None, Some(router_params()) => Some(router_params());
    caller_parameters_are_removed: Some(json!({"salt": "of another"})), None => None;
    caller_parameters_are_replaced: Some(json!({"salt": "of another"})), Some(router_params()) => Some(router_params());
}
