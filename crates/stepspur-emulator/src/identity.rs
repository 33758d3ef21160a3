//! Identities of a rehearsal: a certificate authority and a signing key, in a temporary folder that is
//! deleted with them.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use stepspur_conductor::config::Identity;
use stepspur_identity::keys::{
    AnchorEntry, KeyError, KeyId, KeyState, Manifest, ServerEntry, Signer, write_manifest,
};
use stepspur_identity::pki::{Authority, CertificateSubject};
use stepspur_identity::rights::Rights;
use stepspur_identity::tls::{self, ClientCertificates};
use stepspur_identity::token::{Claims, issue};
use tokio_rustls::rustls::ClientConfig;

/// The keys of a rehearsal. Tokens expire during it, so that proxies must renew them on their streams.
pub struct TestIdentity {
    /// Holds the manifest and certificates; deleted when dropped.
    folder: PathBuf,
    authority: Authority,
    signer: Signer,
}

/// Tenant of all proxies of a rehearsal.
const TENANT: &str = "rehearsal";
/// Lifetime of a token in seconds; most rehearsals last longer, so that they exercise renewal.
const TOKEN_LIFETIME_S: u64 = 20;

/// Seconds since the Unix epoch.
fn now() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}

impl TestIdentity {
    /// Creates new keys in a new folder.
    ///
    /// # Errors
    /// If the folder cannot be written or a key cannot be generated.
    pub fn new() -> Result<Self, KeyError> {
        let nanos = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos();
        let folder = std::env::temp_dir().join(format!("stepspur-keys-{}-{nanos}", std::process::id()));
        let write_error = |error: std::io::Error| KeyError::new(&folder, error);
        std::fs::create_dir_all(&folder).map_err(write_error)?;
        let (authority, _) = Authority::new("rehearsal")?;
        std::fs::write(folder.join("ca.pem"), authority.pem()).map_err(write_error)?;
        let server =
            authority.issue(&CertificateSubject::Server(vec![[127, 0, 0, 1].into()]), now() - 60, ONE_DAY)?;
        server.save(&folder, "server")?;
        let id = KeyId::try_from("day".to_owned()).map_err(|error| KeyError::new(Path::new("day"), error))?;
        let signer = Signer::new(id);
        let mut manifest = Manifest {
            issuer: "rehearsal".into(),
            audience: "rehearsal".into(),
            anchor: vec![AnchorEntry { file: "ca.pem".into(), state: KeyState::Active }],
            server: Some(ServerEntry { certificates: "server.pem".into(), key: "server.key".into() }),
            ..Manifest::default()
        };
        manifest.rotate(Some(&signer));
        write_manifest(&folder, &manifest)?;
        Ok(Self { folder, authority, signer })
    }

    /// The identity settings of a conductor, which require certificates and tokens.
    pub fn config(&self) -> Identity {
        Identity {
            folder: self.folder.clone(),
            tenant: TENANT.into(),
            certificates: ClientCertificates::Required,
            tokens_required: true,
            leeway: Duration::from_secs(1),
            longest_token_life: ONE_DAY,
            reload_every: Duration::from_secs(1),
            handshake_timeout: Duration::from_secs(5),
            handshakes_max: 512,
            handshakes_kept: 128,
            handshakes_of_source: 384,
            operators: None,
            audit: self.folder.join("audit.jsonl"),
        }
    }

    /// The TLS client settings of a proxy, with a certificate for `name` in `zone`.
    ///
    /// # Errors
    /// If `zone` or `name` cannot be part of a URI.
    pub fn client(&self, zone: &str, name: &str) -> Result<Arc<ClientConfig>, KeyError> {
        let uri = format!("stepspur://{TENANT}/proxy/{zone}/{name}");
        let certificate = self.authority.issue(&CertificateSubject::Caller(uri), now() - 60, ONE_DAY)?;
        tls::client_config(&[self.authority.anchor()?], Some(certificate.for_tls()?))
    }

    /// A token of a proxy, valid from one second ago for `TOKEN_LIFETIME_S` seconds.
    pub fn token(&self, zone: &str, name: &str) -> Vec<u8> {
        let claims = Claims {
            iss: "rehearsal".into(),
            aud: "rehearsal".into(),
            sub: name.into(),
            tenant: TENANT.into(),
            zone: Some(zone.into()),
            rights: Rights::PROXY,
            nbf: now() - 1,
            exp: now() + TOKEN_LIFETIME_S,
        };
        issue(&self.signer, &claims).into_bytes()
    }
}

/// Lifetime of certificates, and the longest token lifetime that conductors accept.
const ONE_DAY: Duration = Duration::from_secs(86_400);

impl Drop for TestIdentity {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
