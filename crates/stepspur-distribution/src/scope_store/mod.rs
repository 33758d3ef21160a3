//! Stores of a subscriber: persistent copies of its documents and their version.

mod error;
mod interface;
mod memory;
mod redb_file;
mod redb_store;
mod redb_tables;

pub use error::{DiskOperation, StoreError};
pub use interface::{ScopeStore, ScopeUpdate, StoredScope};
pub use memory::MemoryStore;
pub use redb_file::MAX_FILE_BYTES;
pub use redb_store::RedbStore;
pub use redb_tables::FORMAT_VERSION;

#[cfg(test)]
mod tests;
