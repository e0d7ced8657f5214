//! Identity of prefixes.

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
    field_boundaries_count: salt("orgm", "odel", "v1", None),
}
