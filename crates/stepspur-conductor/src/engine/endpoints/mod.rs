//! The known servers, merged from the updates of the endpoint list and operators' overrides.
//!
//! - `known`, `store`: one known server, and the store of all of them.
//! - `merge`: applies updates of the list; `draft` collects the changes by one update.
//! - `overrides`: operators' overrides of servers' states.
//! - `expiry`: deletes servers that were removed long ago.

mod draft;
mod expiry;
mod known;
mod merge;
mod overrides;
mod store;

pub(crate) use store::EndpointStore;
