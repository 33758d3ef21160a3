use super::*;

/// Guards against two ids for one server, against ids of addresses that no server can have, and against ids
/// that do not map back to their address.
#[test]
fn addresses_of_both_families_have_ids() {
    let mut ids = ServerIds::default();
    for text in ["10.1.2.3:80", "[2001:db8::1]:80", "[2001:db8::1]:81"] {
        let address: SocketAddr = text.parse().unwrap();
        let id = ids.intern(address).unwrap();
        assert_eq!((ids.intern(address), ids.address(id)), (Some(id), Some(address)));
        let readable = ids.with_readable_ids(&format!("withdraw {id:?}: 5"));
        assert_eq!(readable, format!("withdraw {text}: 5"));
    }
    let mapped = ids.intern("[::ffff:10.1.2.3]:80".parse().unwrap());
    assert_eq!(mapped, ids.get("10.1.2.3:80".parse().unwrap()), "one server, one id");
    assert_eq!(ids.get("[2001:db8::9]:80".parse().unwrap()), None, "a lookup assigns no id");
    for text in ["0.0.0.1:80", "10.1.2.3:0", "[2001:db8::1]:0"] {
        assert_eq!(ids.intern(text.parse().unwrap()), None);
    }
}
