//! A bolero fuzz target for frames from an untrusted peer. In CI it is a plain test over random inputs;
//! `cargo bolero test -p stepspur-proto fuzz_frames` runs it guided by coverage.

use bytes::BytesMut;
use stepspur_proto::{Frames, FromConductor, FromProxy};
use tokio_util::codec::Decoder;

#[test]
fn fuzz_frames() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let mut reader = Frames::<FromProxy, FromConductor>::new(4096);
        let mut buffer = BytesMut::from(bytes);
        while let Ok(Some(_)) = reader.decode(&mut buffer) {}
        assert!(
            buffer.capacity() <= bytes.len() + 8192,
            "the decoder reserves memory within the limit, not for the length that a frame claims"
        );
    });
}
