use super::*;

/// Without the rest a new proxy would take over a number for which orders may still wait.
#[test]
fn a_number_is_reused_only_after_its_rest() {
    let mut numbers = ProxyNumbers::new(2, 100);
    let (a, b) = (numbers.claim("a", 0).unwrap(), numbers.claim("b", 0).unwrap());
    assert_ne!(a, b);
    assert_eq!(numbers.claim("c", 0), Err(NoNumber { retry_after: 100 }));
    numbers.release(a, 50);
    assert_eq!(numbers.claim("c", 149), Err(NoNumber { retry_after: 1 }));
    assert_eq!(numbers.claim("a", 149), Ok(a), "its own name has it back at once");
    numbers.release(a, 150);
    assert_eq!(numbers.claim("c", 250), Ok(a));
    assert_eq!((numbers.name(a), numbers.known()), ("c", 2));
    assert_eq!(numbers.claim("a", 250), Err(NoNumber { retry_after: 100 }), "the old name is forgotten");
}

#[test]
fn addresses_of_both_families_have_ids() {
    let mut ids = ServerIds::default();
    for text in ["10.1.2.3:80", "[2001:db8::1]:80", "[2001:db8::1]:81"] {
        let address: SocketAddr = text.parse().unwrap();
        let id = ids.intern(address).unwrap();
        assert_eq!((ids.intern(address), ids.address(id)), (Some(id), Some(address)));
        assert_eq!(ids.readable(&format!("withdraw {id:?}: 5")), format!("withdraw {text}: 5"));
    }
    let mapped = ids.intern("[::ffff:10.1.2.3]:80".parse().unwrap());
    assert_eq!(mapped, ids.get("10.1.2.3:80".parse().unwrap()), "one server, one id");
    assert_eq!(ids.get("[2001:db8::9]:80".parse().unwrap()), None, "only lists make ids");
    for text in ["0.0.0.1:80", "10.1.2.3:0", "[2001:db8::1]:0"] {
        assert_eq!(ids.intern(text.parse().unwrap()), None);
    }
}
