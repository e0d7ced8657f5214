use base::UnixMillis;
use fleet::{Declaration, Scope};
use member::Announcement;

/// Returns a predicate for the endpoints that the declaration drains at `now`.
pub(super) fn is_drained(
    declaration: &Declaration,
    now: UnixMillis,
) -> impl Fn(&Announcement) -> bool + '_ {
    let exceptions = &declaration.contents().exceptions;
    let none_drain = exceptions.iter().all(|exception| exception.set.drain.is_none());
    move |announcement| {
        if none_drain {
            return false;
        }
        let scope = Scope {
            endpoint: Some(announcement.endpoint.clone()),
            data_centre: Some(announcement.data_centre.clone()),
            ..Scope::default()
        };
        declaration.effective(&scope, now).drain
    }
}
