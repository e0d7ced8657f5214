//! Hashing of prompts into chains of blocks.

use prefix::{BlockBytes, Chain, Salt};

fn salt(organisation: &str, model: &str, weights: &str, adapter: Option<&str>) -> Salt {
    let adapter = adapter.map(|a| a.parse().unwrap());
    Salt::new(
        &organisation.parse().unwrap(),
        &model.parse().unwrap(),
        &weights.parse().unwrap(),
        adapter.as_ref(),
    )
}

fn chain(salt: Salt) -> Chain {
    Chain::of(salt, BlockBytes::new(8).unwrap(), b"sixteen bytes ok")
}

macro_rules! distinct_salts {
    ($($name:ident: $salt:expr,)*) => {$(
        #[test]
        fn $name() {
            let own = chain(salt("org", "model", "v1", None));
            let other = chain($salt);
            assert!(own.blocks().iter().all(|block| !other.blocks().contains(block)));
        }
    )*};
}

distinct_salts! {
    organisations_share_no_block: salt("org2", "model", "v1", None),
    models_share_no_block: salt("org", "model2", "v1", None),
    weights_versions_share_no_block: salt("org", "model", "v2", None),
    adapters_share_no_block: salt("org", "model", "v1", Some("a")),
    salt_covers_field_boundaries: salt("orgm", "odel", "v1", None),
}

macro_rules! parts_hash_as_concatenated {
    ($($name:ident: $parts:expr,)*) => {$(
        #[test]
        fn $name() {
            let parts: &[&[u8]] = &$parts;
            let salt = salt("org", "model", "v1", None);
            let size = BlockBytes::new(4).unwrap();
            let concatenated = Chain::of(salt, size, &parts.concat());
            assert_eq!(Chain::of_parts(salt, size, parts.iter().copied()), concatenated);
        }
    )*};
}

parts_hash_as_concatenated! {
    no_part: [],
    one_part: [b"abcdefghij"],
    block_across_parts: [b"abc", b"defgh", b"ij"],
    block_over_three_parts: [b"a", b"b", b"cdefgh"],
    empty_parts: [b"", b"abcd", b"", b"efgh"],
    many_blocks_after_a_partial_block: [b"ab", b"cdefghijklmnopqrst", b"uvwx"],
}
