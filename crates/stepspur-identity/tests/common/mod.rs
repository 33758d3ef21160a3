//! Folders of keys, and claims of tokens, that the tests share.

use std::path::PathBuf;

use stepspur_identity::keys::{KeyId, KeySet, Manifest, Signer, write_manifest};
use stepspur_identity::rights::Rights;
use stepspur_identity::token::Claims;

/// A second in microseconds.
pub(crate) const SECOND: u64 = 1_000_000;
/// The present time in all tests, in microseconds since 1970.
pub(crate) const NOW: u64 = 1_800_000_000 * SECOND;

/// A temporary folder that is removed when dropped.
pub(crate) struct Folder(pub(crate) PathBuf);

impl Folder {
    pub(crate) fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("stepspur-identity-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    pub(crate) fn write(&self, manifest: &Manifest) {
        write_manifest(&self.0, manifest).unwrap();
    }

    pub(crate) fn load(&self) -> KeySet {
        KeySet::load(&self.0).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Creates a key id.
pub(crate) fn id(name: &str) -> KeyId {
    KeyId::try_from(name.to_owned()).unwrap()
}

/// A manifest without keys.
pub(crate) fn manifest() -> Manifest {
    Manifest { issuer: "issuer".into(), audience: "conductors".into(), ..Manifest::default() }
}

/// Creates a folder of keys with the active signing key `k1`.
pub(crate) fn one_key(test: &str) -> (Folder, Manifest, Signer) {
    let folder = Folder::new(test);
    let mut manifest = manifest();
    let signer = Signer::new(id("k1"));
    manifest.rotate(Some(&signer));
    folder.write(&manifest);
    (folder, manifest, signer)
}

/// The claims of the proxy `p-1` of the tenant `north` in zone `a`, valid from 10 seconds before [`NOW`] to
/// 600 seconds after it.
pub(crate) fn claims() -> Claims {
    Claims {
        iss: "issuer".into(),
        aud: "conductors".into(),
        sub: "p-1".into(),
        tenant: "north".into(),
        zone: Some("a".into()),
        rights: Rights::PROXY,
        nbf: NOW / SECOND - 10,
        exp: NOW / SECOND + 600,
    }
}
