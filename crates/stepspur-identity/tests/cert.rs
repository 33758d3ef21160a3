//! Tests of reading callers from client certificates.

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair, SanType, SerialNumber};
use stepspur_identity::cert::{self, CertError, Role};

fn certificate_with_uris(uris: &[&str]) -> Vec<u8> {
    let ca = KeyPair::generate().unwrap();
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let issuer = Issuer::from_params(&params, &ca);
    let mut leaf = CertificateParams::default();
    leaf.serial_number = Some(SerialNumber::from(vec![0x0a, 0x1b]));
    leaf.subject_alt_names = uris.iter().map(|uri| SanType::URI((*uri).try_into().unwrap())).collect();
    let key = KeyPair::generate().unwrap();
    leaf.signed_by(&key, &issuer).unwrap().der().to_vec()
}

/// A certificate with an ambiguous or malformed URI must not identify a caller: it could be taken for one of
/// another tenant, role or name.
#[test]
fn parse_caller_accepts_exactly_one_uri_of_the_stated_form() {
    let proxy = Role::Proxy { zone: "a".into(), name: "p-1".into() };
    let known =
        cert::parse_caller(&certificate_with_uris(&["https://elsewhere/", "stepspur://north/proxy/a/p-1"]))
            .unwrap();
    assert_eq!((known.tenant.as_str(), &known.role, &known.serial[..]), ("north", &proxy, &[0x0a, 0x1b][..]));
    let operator = cert::parse_caller(&certificate_with_uris(&["stepspur://north/operator/ann"])).unwrap();
    assert_eq!(operator.role, Role::Operator { name: "ann".into() });
    for uris in [
        &["stepspur://north/proxy/a"][..],
        &["stepspur://north/proxy/a/p-1/x"],
        &["stepspur:///proxy/a/p-1"],
        &["stepspur://north/proxy/a/p%2d1"],
        &["stepspur://north/king/ann"],
        &["stepspur://north/operator/ann", "stepspur://south/operator/ann"],
        &["https://elsewhere/"],
        &[],
    ] {
        assert_eq!(cert::parse_caller(&certificate_with_uris(uris)), Err(CertError::CallerUri), "{uris:?}");
    }
    assert_eq!(cert::parse_caller(b"no certificate"), Err(CertError::Malformed));
}
