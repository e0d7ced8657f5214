//! Network partitions of a site, made by its proxies.

use crate::{Fault, site::Site};

/// Holds all bytes between a router and its peers; its endpoints and callers can still reach it.
pub fn isolate_router(site: &Site, router: usize) {
    site.peer_proxies[router].set(Fault::partition());
    let ip = site.daemons[router].spec().listen.ip();
    for proxy in &site.peer_proxies {
        proxy.set_for(ip, Fault::partition());
    }
}

/// Holds all bytes between a data centre's routers and engines and those of the others.
///
/// Announcements still arrive, since engines send them directly: a router keeps engines in its
/// membership that it can't reach.
pub fn isolate_data_centre(site: &Site, data_centre: &str) {
    for (router, daemon) in site.daemons.iter().enumerate() {
        let inside = daemon.spec().data_centre == data_centre;
        if inside {
            isolate_router(site, router);
        }
        for (engine, engine_data_centre) in site.engines.iter().zip(&site.spec.engines) {
            if (*engine_data_centre == data_centre) != inside {
                engine.proxy.set_for(daemon.spec().listen.ip(), Fault::partition());
            }
        }
    }
}

/// Removes all partitions.
pub fn heal(site: &Site) {
    site.peer_proxies.iter().for_each(crate::Proxy::heal);
    site.engines.iter().for_each(|engine| engine.proxy.heal());
}
