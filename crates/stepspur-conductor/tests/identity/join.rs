//! Tests of joining by certificates and tokens, and of grants that end during a stream.

use std::time::Duration;

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, SanType};
use stepspur_identity::keys::{AnchorEntry, KeyState, write_manifest};
use stepspur_identity::pki::{Authority, CertificateSubject};
use stepspur_identity::rights::{Right, Rights};
use stepspur_identity::tls;
use stepspur_proto::{from_proxy, v1};
use tokio::time::{Instant, sleep};
use tokio_rustls::rustls::pki_types::PrivateKeyDer;

use crate::support::{Join, Keys, Proxy, lifetime, not_allowed, now};

/// A proxy joins the engine of its own tenant. All rejections have the same reason, text and delay, so that
/// they do not reveal which credentials are nearly valid.
#[tokio::test]
async fn join_admits_only_valid_credentials_and_rejects_all_others_alike() {
    let keys = Keys::new("callers");
    let conductor = keys.start(keys.config()).await;
    let address = conductor.address();
    let valid_token = |tenant: &str, name: &str| keys.token(tenant, name, Rights::PROXY, 600);
    let uri = Some("stepspur://north/proxy/a/p");
    let none = None::<&str>;
    let empty = Vec::new;
    let no_tables: Rights = [Right::Join, Right::Report].into_iter().collect();
    let cases = [
        ("only a certificate", uri, "p", "a", empty(), Join::Admitted(6)),
        ("only a token", none, "p", "a", valid_token("north", "p"), Join::Admitted(6)),
        ("certificate and token", uri, "p", "a", valid_token("north", "p"), Join::Admitted(6)),
        ("the same name of another tenant", none, "p", "a", valid_token("south", "p"), Join::Admitted(4)),
        ("no credentials", none, "p", "a", empty(), not_allowed()),
        ("the name of another proxy", uri, "q", "a", empty(), not_allowed()),
        ("a certificate for another zone", uri, "p", "b", empty(), not_allowed()),
        ("an unknown tenant", none, "p", "a", valid_token("west", "p"), not_allowed()),
        ("a token of another tenant", uri, "p", "a", valid_token("south", "p"), not_allowed()),
        ("no right to read tables", none, "p", "a", keys.token("north", "p", no_tables, 600), not_allowed()),
        (
            "no right to join",
            none,
            "p",
            "a",
            keys.token("north", "p", [Right::ReadTables].into_iter().collect(), 600),
            not_allowed(),
        ),
        (
            "an operator's certificate",
            Some("stepspur://north/operator/ann"),
            "ann",
            "a",
            empty(),
            not_allowed(),
        ),
        ("an invalid token", none, "p", "a", b"e30.e30.e30".to_vec(), not_allowed()),
        ("a certificate without a caller", Some("https://elsewhere/"), "p", "a", empty(), Join::Closed),
    ];
    for (what, uri, name, zone, token, expected) in cases {
        let started_at = Instant::now();
        let (outcome, _proxy) = Proxy::join(address, keys.client(uri), name, zone, token).await;
        let rejected = outcome == not_allowed();
        assert_eq!(outcome, expected, "{what}");
        assert!(
            !rejected || started_at.elapsed() >= Duration::from_millis(100),
            "{what}: rejected before the fixed delay"
        );
    }
    conductor.stop().await;
}

/// A certificate of an unknown authority, and an expired one, are rejected during the TLS handshake.
#[tokio::test]
async fn join_with_untrusted_or_expired_certificate_ends_at_handshake() {
    let keys = Keys::new("untrusted");
    let conductor = keys.start(keys.config()).await;
    let address = conductor.address();
    let (other, _) = Authority::new("other").unwrap();
    let own = other
        .issue(&CertificateSubject::Caller("stepspur://north/proxy/a/p".into()), now() - 60, lifetime())
        .unwrap();
    let untrusted =
        tls::client_config(&[keys.authority.anchor().unwrap()], Some(own.for_tls().unwrap())).unwrap();
    assert_eq!(Proxy::join(address, untrusted, "p", "a", Vec::new()).await.0, Join::Closed);
    let expired = keys
        .authority
        .issue(&CertificateSubject::Caller("stepspur://north/proxy/a/p".into()), now() - 7200, lifetime())
        .unwrap();
    let expired_client =
        tls::client_config(&[keys.authority.anchor().unwrap()], Some(expired.for_tls().unwrap())).unwrap();
    assert_eq!(Proxy::join(address, expired_client, "p", "a", Vec::new()).await.0, Join::Closed);
    conductor.stop().await;
}

/// The expiry of a grant is announced, and a token of the same caller renews the grant within the stream.
/// Otherwise the stream ends, and a token of a different caller ends it at once.
#[tokio::test]
async fn grant_ends_its_stream_unless_its_caller_renews_it() {
    let keys = Keys::new("ends");
    let conductor = keys.start(keys.config()).await;
    let address = conductor.address();
    let token = |name: &str, seconds| keys.token("north", name, Rights::PROXY, seconds);
    let client = || keys.client(None);
    let (_, proxy) = Proxy::join(address, client(), "renews", "a", token("renews", 3)).await;
    let mut renews = proxy.unwrap();
    let (_, proxy) = Proxy::join(address, client(), "ends", "a", token("ends", 3)).await;
    let mut ends = proxy.unwrap();
    let (_, proxy) = Proxy::join(address, client(), "cheats", "a", token("cheats", 3)).await;
    let mut cheats = proxy.unwrap();
    while !renews.expiring {
        assert!(renews.next().await.is_some());
    }
    renews.send(from_proxy::Kind::Renew(v1::Renew { credentials: token("renews", 600).into() })).await;
    cheats.send(from_proxy::Kind::Renew(v1::Renew { credentials: token("another", 600).into() })).await;
    assert_eq!(cheats.go_away().await, Some(v1::Reason::NotAllowed));
    let started_at = Instant::now();
    assert_eq!(ends.go_away().await, Some(v1::Reason::Expired));
    assert!(started_at.elapsed() < Duration::from_secs(4));
    sleep(Duration::from_millis(700)).await;
    renews.ping(7).await;
    // A token that allows only reading tables and joining does not allow reports.
    let quiet: Rights = [Right::ReadTables, Right::Join].into_iter().collect();
    let (outcome, proxy) =
        Proxy::join(address, client(), "quiet", "a", keys.token("north", "quiet", quiet, 600)).await;
    assert_eq!(outcome, Join::Admitted(6));
    let mut quiet = proxy.unwrap();
    quiet.send(from_proxy::Kind::Report(v1::Report { period_us: 1, ..Default::default() })).await;
    assert_eq!(quiet.go_away().await, Some(v1::Reason::NotAllowed));
    conductor.stop().await;
    let audit = keys.audit_log();
    for line in ["\"who\":\"quiet\"", "\"what\":\"report\"", "\"who\":\"cheats\"", "\"what\":\"renew\""] {
        assert!(audit.contains(line), "{line}: {audit}");
    }
}

/// A table that is still queued in the channel when the grant ends must not be sent.
#[tokio::test]
async fn grant_that_ends_before_table_is_sent_ends_stream_without_the_table() {
    let keys = Keys::new("middle");
    let mut settings = keys.config();
    settings.channel.lines_per_s = 1.0;
    let conductor = keys.start(settings).await;
    let token = keys.token("north", "p", Rights::PROXY, 2);
    let (outcome, _) = Proxy::join(conductor.address(), keys.client(None), "p", "a", token).await;
    assert!(matches!(outcome, Join::Rejected(v1::Reason::Expired, _)), "{outcome:?}");
    conductor.stop().await;
}

/// An intermediate certificate must be valid and must be that of an authority. Otherwise any holder of a leaf
/// certificate could issue certificates for other callers.
#[tokio::test]
async fn join_with_invalid_intermediate_certificate_ends_at_handshake() {
    let keys = Keys::new("chain");
    let root_key = KeyPair::generate().unwrap();
    let intermediate_key = KeyPair::generate().unwrap();
    let leaf_key = KeyPair::generate().unwrap();
    let authority = |name: &str| {
        let mut params = CertificateParams::default();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params
    };
    let root = authority("root");
    let root_pem = root.self_signed(&root_key).unwrap().pem();
    std::fs::write(keys.folder.join("root.pem"), root_pem).unwrap();
    let mut manifest = keys.manifest.clone();
    manifest.anchor.push(AnchorEntry { file: "root.pem".into(), state: KeyState::Active });
    write_manifest(&keys.folder, &manifest).unwrap();
    let conductor = keys.start(keys.config()).await;
    let root = Issuer::new(root, root_key);
    let mut leaf = CertificateParams::default();
    leaf.subject_alt_names = vec![SanType::URI("stepspur://north/proxy/a/p".try_into().unwrap())];
    for (what, end_year, is_ca, expected) in [
        ("good", 2100, IsCa::Ca(BasicConstraints::Unconstrained), Join::Admitted(6)),
        ("expired", 2001, IsCa::Ca(BasicConstraints::Unconstrained), Join::Closed),
        ("not an authority", 2100, IsCa::NoCa, Join::Closed),
    ] {
        let mut params = authority("intermediate");
        params.is_ca = is_ca;
        params.not_after = rcgen::date_time_ymd(end_year, 1, 1);
        let intermediate = params.signed_by(&intermediate_key, &root).unwrap();
        let issuer = Issuer::from_params(&params, &intermediate_key);
        let own = leaf.signed_by(&leaf_key, &issuer).unwrap();
        let chain = vec![own.der().clone(), intermediate.der().clone()];
        let key = PrivateKeyDer::try_from(leaf_key.serialize_der()).unwrap();
        let client = tls::client_config(&[keys.authority.anchor().unwrap()], Some((chain, key))).unwrap();
        assert_eq!(
            Proxy::join(conductor.address(), client, "p", "a", Vec::new()).await.0,
            expected,
            "{what}"
        );
    }
    conductor.stop().await;
}
