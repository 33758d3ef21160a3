//! Frames, records and settings of the simulator wire, to and from stepspur's types. No decisions.
//!
//! [`Decoder`] turns the bytes of a batch into events; [`Reply`] collects actions and becomes bytes.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod frame;
mod settings;

pub use frame::{Batch, Decoder, HEADER_LEN, Record, Reply, body_len};
pub use settings::parse_settings;

/// What can be wrong with the bytes that came in.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The input ended inside a frame.
    #[error("batch cut short: {have} bytes of {want} came")]
    CutShort {
        /// Bytes that came.
        have: usize,
        /// Bytes announced.
        want: usize,
    },
    /// The frame's own length cannot hold its header.
    #[error("batch length {0} is too short for the clock and the number")]
    ShortLength(usize),
    /// A record or field reaches past the end of what holds it.
    #[error("batch {batch}, record {record} (code {code}): {field} reaches past the end")]
    Overrun {
        /// Number of the batch.
        batch: u32,
        /// Place of the record, from 0.
        record: u32,
        /// Its code.
        code: u16,
        /// The field.
        field: &'static str,
    },
    /// A record holds more bytes than its fields.
    #[error("batch {batch}, record {record} (code {code}): {extra} bytes after the last field")]
    Trailing {
        /// Number of the batch.
        batch: u32,
        /// Place of the record, from 0.
        record: u32,
        /// Its code.
        code: u16,
        /// Bytes left over.
        extra: usize,
    },
    /// Bytes follow the announced records.
    #[error("batch {batch}: {extra} bytes after its {records} records")]
    TrailingBatch {
        /// Number of the batch.
        batch: u32,
        /// Records announced.
        records: u32,
        /// Bytes left over.
        extra: usize,
    },
    /// The wire has no record of this code.
    #[error("batch {batch}, record {record}: unknown code {code}")]
    UnknownCode {
        /// Number of the batch.
        batch: u32,
        /// Place of the record, from 0.
        record: u32,
        /// Its code.
        code: u16,
    },
    /// A field holds a value that the wire does not know.
    #[error("batch {batch}, record {record} (code {code}): {field} has the unknown value {value}")]
    UnknownValue {
        /// Number of the batch.
        batch: u32,
        /// Place of the record, from 0.
        record: u32,
        /// Its code.
        code: u16,
        /// The field.
        field: &'static str,
        /// The value.
        value: u32,
    },
    /// An event came before any `target_instance`.
    #[error("batch {batch}, record {record} (code {code}): no target_instance before it")]
    NoTarget {
        /// Number of the batch.
        batch: u32,
        /// Place of the record, from 0.
        record: u32,
        /// Its code.
        code: u16,
    },
    /// A list event points at a list that was never sent.
    #[error("batch {batch}, record {record}: backends_changed names sheet {slot}, which never came")]
    NoSheet {
        /// Number of the batch.
        batch: u32,
        /// Place of the record, from 0.
        record: u32,
        /// The slot.
        slot: u32,
    },
    /// The settings are not what the wire says.
    #[error("settings of instance {instance}: {source}")]
    Settings {
        /// The instance.
        instance: u32,
        /// What is wrong and where.
        source: serde_json::Error,
    },
}
