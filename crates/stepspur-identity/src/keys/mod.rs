//! Signing keys, trust anchors and the server's certificate: several of a kind at once, each with a state.
//!
//! A folder contains `identity.toml`, the manifest that lists everything, and the files that it refers to. A
//! set is loaded and checked completely or rejected, so that a reload can fall back on the set before.

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
