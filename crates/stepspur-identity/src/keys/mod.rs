//! Signing keys, trust anchors and the server certificate. Several keys and anchors exist at once, each with
//! a state of its rotation.
//!
//! A folder contains the manifest `identity.toml` and the files that it refers to. A set of keys is either
//! loaded and validated completely or rejected, so that the previous set stays in use if a reload fails.

mod error;
mod key_id;
mod key_set;
mod manifest;
mod private_file;
mod signer;

pub use error::{KeyError, KeyFault};
pub use key_id::{InvalidKeyId, KeyId};
pub use key_set::{KeySet, ServerCertificate};
pub use manifest::{
    AnchorEntry, KeyState, MANIFEST, Manifest, OperatorEntry, ServerEntry, SigningEntry, read_manifest,
    write_manifest,
};
pub use private_file::write_private;
pub use signer::Signer;
