use super::*;

/// Guards against an id that is reused too early: without the delay, a new proxy would get the id of another
/// while messages to that one are still in the channel.
#[test]
fn id_is_reused_only_after_the_delay() {
    let mut ids = ProxyIds::new(2, 100);
    let a = ids.claim("a", 0).unwrap();
    let b = ids.claim("b", 0).unwrap();
    assert_ne!(a, b);
    assert_eq!(ids.claim("c", 0), Err(IdsExhausted { retry_after: 100 }));
    ids.release(a, 50);
    assert_eq!(ids.claim("c", 149), Err(IdsExhausted { retry_after: 1 }));
    assert_eq!(ids.claim("a", 149), Ok(a), "the same name gets its id back at once");
    ids.release(a, 150);
    assert_eq!(ids.claim("c", 250), Ok(a));
    assert_eq!((ids.name(a), ids.known()), (Some("c"), 2));
    assert_eq!(ids.claim("a", 250), Err(IdsExhausted { retry_after: 100 }), "the old name is forgotten");
}
