use base::TokenCount;
use member::{Announcement, EndpointKind, Engine, Load, ServedModel, TICK_INTERVAL};
use rand_pcg::{Pcg64, rand_core::SeedableRng};

use crate::net::{Net, service};

/// An announcement longer than a message stayed first in the queue and kept back all later ones.
#[test]
fn announcement_longer_than_a_message_does_not_delay_others() {
    let mut net = Net::settled(8, 11);
    let mut rng = Pcg64::seed_from_u64(11);
    let router = &mut net.routers[0];
    router.announce(net.now, service(1, 1, 1)).unwrap();
    router.announce(net.now, oversized()).unwrap();
    let sent: Vec<_> = (0..5)
        .flat_map(|tick| router.tick(net.now + TICK_INTERVAL * tick, &mut rng))
        .flat_map(|outgoing| outgoing.message.endpoints)
        .map(|update| update.announcement.endpoint.to_string())
        .collect();
    assert!(sent.contains(&"service-1".to_owned()), "sent: {sent:?}");
}

/// Returns the announcement of an engine with very many models.
fn oversized() -> Announcement {
    let models = (0..200).map(|number| ServedModel {
        model: format!("model-{number}").parse().unwrap(),
        weights: "1".parse().unwrap(),
        adapters: Vec::new(),
    });
    let engine = Engine {
        service: None,
        models: models.collect(),
        checks_fencing: false,
        block_tokens: TokenCount::new(16),
        load: Load::default(),
    };
    Announcement { kind: EndpointKind::Engine(engine), ..service(2, 1, 1) }
}
