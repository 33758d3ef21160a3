//! The wire protocol between stepspur and the simulator: batches, records and settings, converted to and from
//! stepspur's types. It makes no decisions.
//!
//! [`Decoder`] decodes the bytes of a batch into events; [`Reply`] collects actions and encodes them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod frame;
mod settings;

pub use frame::{Batch, Decoder, HEADER_LEN, Record, Reply, body_len};
pub use settings::parse_settings;

/// A decoding error in the bytes received from the simulator.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The input ended inside a batch.
    #[error("batch cut short: {have} bytes of {want} came")]
    CutShort {
        /// Bytes received.
        have: usize,
        /// Bytes announced by the header.
        want: usize,
    },
    /// The length in the batch header is too small for the clock and the batch number.
    #[error("batch length {0} is too short for the clock and the number")]
    ShortLength(usize),
    /// A record extends beyond its batch, or a field beyond its record.
    #[error("batch {batch}, record {record} (code {code}): {field} reaches past the end")]
    Overrun {
        /// Number of the batch, as the simulator gave it.
        batch: u32,
        /// Index of the record in the batch, from 0.
        record: u32,
        /// Code of the record.
        code: u16,
        /// Name of the field in the protocol.
        field: &'static str,
    },
    /// Bytes follow the last field of a record.
    #[error("batch {batch}, record {record} (code {code}): {extra} bytes after the last field")]
    Trailing {
        /// Number of the batch, as the simulator gave it.
        batch: u32,
        /// Index of the record in the batch, from 0.
        record: u32,
        /// Code of the record.
        code: u16,
        /// Number of surplus bytes.
        extra: usize,
    },
    /// Bytes follow the last record of a batch.
    #[error("batch {batch}: {extra} bytes after its {records} records")]
    TrailingBatch {
        /// Number of the batch, as the simulator gave it.
        batch: u32,
        /// Number of records announced by the header.
        records: u32,
        /// Number of surplus bytes.
        extra: usize,
    },
    /// The protocol defines no record with this code.
    #[error("batch {batch}, record {record}: unknown code {code}")]
    UnknownCode {
        /// Number of the batch, as the simulator gave it.
        batch: u32,
        /// Index of the record in the batch, from 0.
        record: u32,
        /// Code of the record.
        code: u16,
    },
    /// The protocol does not define this value of a field.
    #[error("batch {batch}, record {record} (code {code}): {field} has the unknown value {value}")]
    UnknownValue {
        /// Number of the batch, as the simulator gave it.
        batch: u32,
        /// Index of the record in the batch, from 0.
        record: u32,
        /// Code of the record.
        code: u16,
        /// Name of the field in the protocol.
        field: &'static str,
        /// The undefined value.
        value: u32,
    },
    /// A record for an instance comes before any `target_instance` record.
    #[error("batch {batch}, record {record} (code {code}): no target_instance before it")]
    NoTarget {
        /// Number of the batch, as the simulator gave it.
        batch: u32,
        /// Index of the record in the batch, from 0.
        record: u32,
        /// Code of the record.
        code: u16,
    },
    /// A list event refers to a slot that holds no server list.
    #[error("batch {batch}, record {record}: backends_changed names sheet {slot}, which never came")]
    NoSheet {
        /// Number of the batch, as the simulator gave it.
        batch: u32,
        /// Index of the record in the batch, from 0.
        record: u32,
        /// Number of the slot.
        slot: u32,
    },
    /// The settings of an instance cannot be parsed.
    #[error("settings of instance {instance}: {source}")]
    Settings {
        /// Number of the instance.
        instance: u32,
        /// The parse error, with its position.
        source: serde_json::Error,
    },
}
