//! Announcements round-trip through JSON, and invalid ones are rejected.

use member::Announcement;
use proptest::{
    collection::vec,
    prelude::{ProptestConfig, Strategy, any, prop_assert_eq, proptest},
    test_runner::RngSeed,
};
use wire::announcement::{AnnouncementBody, EngineBody, LoadBody, ModelBody};

const SERVICE: &str = r#"{"id": "orders-1", "incarnation": 1, "sequence": 2, "data_centre": "a",
    "address": "127.0.0.1:9000", "lease_ms": 1000, "service": "orders"}"#;

fn announcement(json: &str) -> Result<Announcement, wire::BodyError> {
    AnnouncementBody::from_slice(json.as_bytes())?.try_into()
}

macro_rules! rejected {
    ($($name:ident: $from:literal -> $to:literal => $message:literal,)*) => {$(
        #[test]
        fn $name() {
            let json = SERVICE.replace($from, $to);
            assert_ne!(json, SERVICE);
            let error = announcement(&json).unwrap_err().to_string();
            assert!(error.contains($message), "{error}");
        }
    )*};
}

rejected! {
    neither_engine_nor_service: ", \"service\": \"orders\"" -> "" => "either",
    zero_lease: "1000" -> "0" => "lease_ms",
    lease_above_maximum: "1000" -> "60001" => "lease_ms",
    unknown_field: "\"sequence\"" -> "\"sequenze\": 1, \"sequence\"" => "sequenze",
    id_with_space: "orders-1" -> "orders 1" => "endpoint id",
    address_without_port: "127.0.0.1:9000" -> "127.0.0.1" => "line",
    port_zero: "127.0.0.1:9000" -> "127.0.0.1:0" => "address",
    port_beyond_16_bits: "127.0.0.1:9000" -> "127.0.0.1:65536" => "line",
    unspecified_address: "127.0.0.1:9000" -> "0.0.0.0:80" => "address",
    unspecified_ipv6_address: "127.0.0.1:9000" -> "[::]:80" => "address",
    multicast_address: "127.0.0.1:9000" -> "224.0.0.1:80" => "address",
    broadcast_address: "127.0.0.1:9000" -> "255.255.255.255:80" => "address",
    sequence_beyond_64_bits: "\"sequence\": 2" -> "\"sequence\": 18446744073709551616" => "line",
    infinite_sequence: "\"sequence\": 2" -> "\"sequence\": 1e400" => "line",
    negative_incarnation: "\"incarnation\": 1" -> "\"incarnation\": -1" => "line",
    zero_block_tokens:
        "\"service\": \"orders\""
        -> "\"engine\": {\"models\": [], \"checks_fencing\": true, \"block_tokens\": 0}"
        => "block_tokens",
}

fn id() -> impl Strategy<Value = String> {
    "[a-z0-9][a-z0-9._:/-]{0,20}"
}

fn engine() -> impl Strategy<Value = EngineBody> {
    let model = (id(), id(), vec(id(), 0..3)).prop_map(|(model, weights, adapters)| ModelBody {
        model: model.parse().unwrap(),
        weights: weights.parse().unwrap(),
        adapters: adapters.iter().map(|adapter| adapter.parse().unwrap()).collect(),
    });
    let load =
        any::<(u32, u32, u64, u64)>().prop_map(|(running, waiting, prefill, blocks)| LoadBody {
            running,
            waiting,
            prefill_tokens: base::TokenCount::new(prefill),
            cached_blocks: base::BlockCount::new(blocks),
        });
    (vec(model, 0..4), any::<bool>(), 1..64_u64, load).prop_map(
        |(models, checks_fencing, block_tokens, load)| EngineBody {
            models,
            checks_fencing,
            block_tokens: base::TokenCount::new(block_tokens),
            load,
        },
    )
}

fn body() -> impl Strategy<Value = AnnouncementBody> {
    let numbers = (any::<u64>(), any::<u64>(), 1..=60_000_u64);
    (id(), numbers, id(), any::<(u32, u16)>(), any::<bool>(), engine())
        .prop_map(
            |(
                endpoint,
                (incarnation, sequence, lease_ms),
                data_centre,
                (ip, port),
                leaving,
                engine,
            )| {
                AnnouncementBody {
                    id: endpoint.parse().unwrap(),
                    incarnation: base::Incarnation::new(incarnation),
                    sequence: base::Sequence::new(sequence),
                    data_centre: data_centre.parse().unwrap(),
                    address: (std::net::Ipv4Addr::from(ip), port).into(),
                    lease_ms,
                    leaving,
                    engine: Some(engine),
                    service: None,
                }
            },
        )
        .prop_filter("the address of one host", |body| member::is_endpoint_address(body.address))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(8), ..ProptestConfig::default()
    })]

    #[test]
    fn bodies_round_trip(body in body()) {
        let json = serde_json::to_vec(&body).unwrap();
        let read = AnnouncementBody::from_slice(&json).unwrap();
        prop_assert_eq!(&read, &body);
        let announcement: Announcement = read.try_into().unwrap();
        prop_assert_eq!(AnnouncementBody::from(announcement), body);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in any::<Vec<u8>>()) {
        let _ = AnnouncementBody::from_slice(&bytes);
    }
}
