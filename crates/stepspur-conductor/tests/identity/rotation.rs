//! Tests of changing keys and certificates while streams are open.

use std::net::SocketAddr;
use std::time::Duration;

use stepspur_identity::cert;
use stepspur_identity::keys::{KeyId, KeyState, Signer};
use stepspur_identity::pki::{Authority, CertificateSubject};
use stepspur_identity::rights::Rights;
use stepspur_identity::tls;
use stepspur_proto::{from_conductor, from_proxy, v1};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::support::{Join, Keys, Proxy, STEP_TIMEOUT, lifetime, not_allowed, now};

/// The number of streams with steady traffic.
const STREAMS: usize = 200;

/// The result of a stream with steady traffic.
struct TrafficResult {
    /// The number of pings that got a response.
    answered_pings: u64,
    /// The reason of the go-away message; none if the stream ended without one.
    reason: Option<v1::Reason>,
}

/// Joins proxies, each of which sends a ping every 20 ms until its stream ends.
async fn start_traffic(keys: &Keys, address: SocketAddr) -> Vec<JoinHandle<TrafficResult>> {
    let mut proxies = Vec::new();
    for k in 0..STREAMS {
        let name = format!("p{k}");
        let token = keys.token("north", &name, Rights::PROXY, 600);
        let (outcome, proxy) = Proxy::join(address, keys.client(None), &name, "a", token).await;
        assert_eq!(outcome, Join::Admitted(6));
        proxies.push(proxy.unwrap());
    }
    proxies.into_iter().map(|proxy| tokio::spawn(ping_until_end(proxy))).collect()
}

/// Sends a ping every 20 ms after the response to the previous one, until the stream ends.
async fn ping_until_end(mut proxy: Proxy) -> TrafficResult {
    let mut answered_pings = 0u64;
    loop {
        proxy.send(from_proxy::Kind::Ping(v1::Ping { token: answered_pings })).await;
        loop {
            match proxy.next().await {
                Some(from_conductor::Kind::Pong(_)) => break,
                Some(from_conductor::Kind::Goodbye(go_away)) => {
                    return TrafficResult { answered_pings, reason: Some(go_away.reason()) };
                }
                Some(_) => {}
                None => return TrafficResult { answered_pings, reason: None },
            }
        }
        answered_pings += 1;
        sleep(Duration::from_millis(20)).await;
    }
}

/// Truncates the manifest for several reload intervals, and then removes it.
async fn break_manifest(keys: &Keys) {
    let manifest = keys.folder.join("identity.toml");
    let text = std::fs::read_to_string(&manifest).unwrap();
    std::fs::write(&manifest, &text[..text.len() / 2]).unwrap();
    sleep(Duration::from_millis(200)).await;
    std::fs::remove_file(&manifest).unwrap();
    sleep(Duration::from_millis(200)).await;
}

/// The server certificate, the authority and the signing key are rotated under steady traffic. The rotation
/// must end no stream, callers with old and new credentials must be able to join throughout, and a truncated
/// manifest must not replace the keys in use. A revocation ends the streams of the revoked key.
#[tokio::test(flavor = "multi_thread")]
async fn rotation_under_traffic_ends_no_stream_and_revocation_ends_them() {
    let mut keys = Keys::new("rotation");
    let conductor = keys.start(keys.config()).await;
    let address = conductor.address();
    let traffic = start_traffic(&keys, address).await;
    let old_client = keys.client(Some("stepspur://north/proxy/a/old"));
    // A new authority and server certificate; the old authority retires.
    let (authority, _) = Authority::new("second").unwrap();
    let first = std::mem::replace(&mut keys.authority, authority);
    keys.manifest.anchor[0].state = KeyState::Retiring;
    keys.trust("ca-2");
    break_manifest(&keys).await;
    let (outcome, _proxy) = Proxy::join(address, old_client, "old", "a", Vec::new()).await;
    assert_eq!(outcome, Join::Admitted(6), "the old set stays in use");
    // A new signing key: next, then active.
    let new_signer = Signer::new(KeyId::try_from("k2".to_owned()).unwrap());
    keys.manifest.rotate(Some(&new_signer));
    keys.write();
    let new_client = keys.client(Some("stepspur://north/proxy/a/new"));
    let joined = async {
        while Proxy::join(address, new_client.clone(), "new", "a", Vec::new()).await.0 != Join::Admitted(6) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(STEP_TIMEOUT, joined).await.expect("the new authority is trusted");
    let old_token = keys.token("north", "t-old", Rights::PROXY, 600);
    keys.signer = new_signer;
    keys.manifest.rotate(None);
    keys.write();
    sleep(Duration::from_millis(300)).await;
    let new_token = keys.token("north", "t-new", Rights::PROXY, 600);
    for (name, token) in [("t-old", old_token.clone()), ("t-new", new_token)] {
        let (outcome, _) = Proxy::join(address, keys.client(None), name, "a", token).await;
        assert_eq!(outcome, Join::Admitted(6), "{name}");
    }
    // A client of the retiring authority that trusts the new one; its certificate is still valid.
    let uri = "stepspur://north/proxy/a/old";
    let own = first
        .issue(&CertificateSubject::Caller(uri.into()), now() - 60, lifetime())
        .unwrap()
        .for_tls()
        .unwrap();
    let retiring = tls::client_config(&[keys.authority.anchor().unwrap()], Some(own)).unwrap();
    assert_eq!(Proxy::join(address, retiring.clone(), "old", "a", Vec::new()).await.0, Join::Admitted(6));
    assert!(traffic.iter().all(|stream| !stream.is_finished()), "a stream was lost by the rotation");
    revoke_first(&mut keys, traffic).await;
    for _ in 0..5 {
        let by_token = Proxy::join(address, keys.client(None), "t-old", "a", old_token.clone()).await.0;
        assert_eq!(by_token, not_allowed());
        assert_eq!(Proxy::join(address, retiring.clone(), "old", "a", Vec::new()).await.0, Join::Closed);
    }
    assert_eq!(Proxy::join(address, new_client, "new", "a", Vec::new()).await.0, Join::Admitted(6));
    conductor.stop().await;
}

/// Revokes the first key and the first authority, and checks that the streams that depend on them end within
/// three seconds.
async fn revoke_first(keys: &mut Keys, traffic: Vec<JoinHandle<TrafficResult>>) {
    let revoked_at = Instant::now();
    keys.manifest.signing[0].state = KeyState::Revoked;
    keys.manifest.anchor[0].state = KeyState::Revoked;
    keys.write();
    for stream in traffic {
        let TrafficResult { answered_pings, reason } = timeout(STEP_TIMEOUT, stream).await.unwrap().unwrap();
        assert!(answered_pings > 10 && reason == Some(v1::Reason::NotAllowed), "{answered_pings} {reason:?}");
    }
    assert!(revoked_at.elapsed() < Duration::from_secs(3), "{:?}", revoked_at.elapsed());
}

/// Revoking the serial number of a certificate ends only the streams of this certificate, and it cannot be
/// used to join again.
#[tokio::test]
async fn revoked_serial_ends_its_stream_and_rejects_its_joins() {
    let mut keys = Keys::new("serial");
    let conductor = keys.start(keys.config()).await;
    let address = conductor.address();
    let client = |name: &str| {
        let uri = format!("stepspur://north/proxy/a/{name}");
        let own = keys
            .authority
            .issue(&CertificateSubject::Caller(uri), now() - 60, lifetime())
            .unwrap()
            .for_tls()
            .unwrap();
        let serial = cert::parse_caller(&own.0[0]).unwrap().serial;
        (tls::client_config(&[keys.authority.anchor().unwrap()], Some(own)).unwrap(), serial)
    };
    let (bad, serial) = client("bad");
    let (good, _) = client("good");
    let (_, stream) = Proxy::join(address, bad.clone(), "bad", "a", Vec::new()).await;
    let mut stream = stream.unwrap();
    let (_, other) = Proxy::join(address, good, "good", "a", Vec::new()).await;
    let mut other = other.unwrap();
    keys.manifest.revoked_serials = vec![serial.iter().map(|b| format!("{b:02x}")).collect()];
    keys.write();
    assert_eq!(stream.go_away().await, Some(v1::Reason::NotAllowed));
    for _ in 0..3 {
        // A resumed TLS session is rejected as well, since it belongs to the revoked certificate.
        assert_eq!(Proxy::join(address, bad.clone(), "bad", "a", Vec::new()).await.0, not_allowed());
    }
    other.ping(3).await;
    conductor.stop().await;
}
