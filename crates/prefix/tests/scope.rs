//! Scopes of cached parts.

use base::TokenCount;
use prefix::{CacheScope, Part, PartId};
use yare::parameterized;

fn parts() -> Vec<Part> {
    let part = |id| Part { id: PartId::new(id), tokens: TokenCount::new(100) };
    vec![part(1), part(2), part(3)]
}

#[parameterized(
    order_does_not_count = { &["a", "b"], &["b", "a"], true },
    repetition_does_not_count = { &["a", "a"], &["a"], true },
    one_more = { &["a"], &["a", "b"], false },
    none = { &[], &["a"], false },
    others = { &["a"], &["b"], false },
    names_are_not_joined = { &["a", "bc"], &["ab", "c"], false },
)]
fn shared_scope_depends_on_the_set_of_isolated_organisations(
    one: &[&str],
    other: &[&str],
    is_same: bool,
) {
    let scope = |isolated: &[&str]| CacheScope::shared(isolated.iter().copied());
    assert_eq!(scope(one) == scope(other), is_same);
}

#[test]
fn scopes_have_neither_salts_nor_hashes_in_common() {
    let scopes = [
        CacheScope::shared([]),
        CacheScope::shared(["school"]),
        CacheScope::isolated("school"),
        CacheScope::isolated("school:1"),
        CacheScope::isolated("library"),
        CacheScope::isolated(""),
        CacheScope::anonymous(),
    ];
    let model = "model-a".parse().unwrap();
    for (i, one) in scopes.iter().enumerate() {
        for other in &scopes[..i] {
            for (weights, other_weights) in [(1, 1), (1, 11), (11, 1)] {
                assert_ne!(one.salt(weights), other.salt(other_weights));
            }
            let hashes = |scope: &CacheScope| scope.chain(&model, &parts()).first_hash();
            assert_ne!(hashes(one), hashes(other));
        }
    }
}

#[test]
fn salts_separate_weights_and_hashes_separate_models() {
    let scope = CacheScope::shared([]);
    assert_ne!(scope.salt(1), scope.salt(2));
    let chain = |model: &str| scope.chain(&model.parse().unwrap(), &parts());
    assert_eq!(chain("model-a"), chain("model-a"));
    assert_ne!(chain("model-a").shared_hash(), chain("model-b").shared_hash());
}
