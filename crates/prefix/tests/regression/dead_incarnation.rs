//! A late response of an earlier incarnation updated the index entries of the endpoint's current one.

use base::{Incarnation, MonotonicTime};
use prefix::{BlockBytes, Chain, IndexSettings, PrefixMatches, Salt, WarmIndex};

#[test]
fn late_response_of_a_dead_incarnation_is_ignored() {
    let (id, model) = ("x".parse().unwrap(), "m".parse().unwrap());
    let salt = Salt::new(&id, &model, &"v1".parse().unwrap(), None);
    let chain = Chain::of(salt, BlockBytes::new(4).unwrap(), b"house style");
    let endpoint = "e1".parse().unwrap();
    let mut index = WarmIndex::new(IndexSettings::default());
    let dead = index.bind(&endpoint, Incarnation::new(1)).unwrap();
    let live = index.bind(&endpoint, Incarnation::new(2)).unwrap();
    index.record_sent(MonotonicTime::ZERO, dead, &chain);
    index.record_response(MonotonicTime::ZERO, dead, &chain, 0, 2);
    let mut matches = PrefixMatches::default();
    index.match_prefix(MonotonicTime::ZERO, &chain, &mut matches);
    assert_eq!(matches.blocks(live), 0);
}
