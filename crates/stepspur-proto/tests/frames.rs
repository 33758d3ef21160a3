//! Round trips and limits of frames, decoding of arbitrary bytes, and the encoded frames that
//! `docs/protocol.md` shows.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use prost::Message;
use stepspur_proto::v1::*;
use stepspur_proto::{
    FrameError, Frames, FromConductor, FromProxy, decode_frame, encode_frame, from_conductor, from_proxy,
};
use tokio_util::codec::{Decoder, Encoder};

type Side<In, Out> = Frames<In, Out>;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn hello() -> FromProxy {
    let hello = Hello { version: 1, name: "p-7".into(), zone: "a".into(), fresh: true, ..Hello::default() };
    FromProxy::new(0, 0, from_proxy::Kind::Hello(hello))
}

fn order(lines: usize) -> FromConductor {
    let server = |k: usize| Server::from(std::net::SocketAddr::from(([127, 0, 0, 1], 9000 + k as u16)));
    let line = |k| Line { server: Some(server(k)), weight: 1.0 };
    let order = Order { lines: (0..lines).map(line).collect(), mark: Some(5), ..Order::default() };
    FromConductor::new(3, 17, from_conductor::Kind::Order(order))
}

#[test]
fn documented_frames_equal_the_encoded_ones() {
    let page = include_str!("../../../docs/protocol.md").replace(' ', "");
    let applied = FromProxy::new(3, 17, from_proxy::Kind::Applied(Applied { mark: 5, took_us: 250 }));
    let goodbye = FromConductor::go_away(3, 18, Reason::Replaced, "p-7 again");
    let expected = [
        encode_frame(&hello(), 99),
        encode_frame(&order(1), 99),
        encode_frame(&applied, 99),
        encode_frame(&goodbye, 99),
    ];
    for bytes in expected {
        let bytes = hex(&bytes.unwrap());
        assert!(page.contains(&bytes), "docs/protocol.md does not show {bytes}");
    }
}

/// A frame of exactly the maximum length is accepted. One that is a byte larger is rejected by the encoder
/// and, before any of its body is buffered, by the decoder: a peer must not be able to claim more memory.
#[test]
fn a_frame_of_the_maximum_length_is_accepted_and_a_larger_one_rejected() {
    let message = order(20);
    let size = message.encoded_len();
    let mut wire = BytesMut::from(&encode_frame(&message, size).unwrap()[..]);
    assert!(matches!(encode_frame(&message, size - 1), Err(FrameError::TooLarge { .. })));
    let mut too_small = Side::<FromConductor, FromProxy>::new(size - 1);
    assert!(matches!(too_small.decode(&mut wire.clone()), Err(FrameError::TooLarge { .. })));
    let mut large_enough = Side::<FromConductor, FromProxy>::new(size);
    assert_eq!(large_enough.decode(&mut wire).unwrap(), Some(message));
}

/// Fields and kinds of a later protocol version are skipped: the message is still decoded, with no kind.
#[test]
fn unknown_fields_and_kinds_are_skipped() {
    let mut body = hello().encode_to_vec();
    body.extend_from_slice(&[0xa2, 0x06, 0x02, 0x68, 0x69]); // field 100: "hi"
    assert_eq!(FromProxy::decode(&body[..]).unwrap(), hello());
    let unknown_kind = FromProxy::decode(&[0xa2, 0x06, 0x00][..]).unwrap();
    assert_eq!(unknown_kind.kind, None);
}

fn any_server() -> impl Strategy<Value = Option<Server>> {
    (prop::collection::vec(any::<u8>(), 0..18), any::<u32>())
        .prop_map(|(ip, port)| Some(Server { ip: Bytes::from(ip), port }))
}

fn any_message() -> impl Strategy<Value = FromConductor> {
    let line = (any_server(), any::<f32>().prop_filter("NaN is unequal to itself", |w| !w.is_nan()))
        .prop_map(|(server, weight)| Line { server, weight });
    let out = (any_server(), any::<bool>()).prop_map(|(server, out)| Withdrawal { server, out });
    let lists = (prop::collection::vec(line, 0..40), prop::collection::vec(out, 0..8));
    (lists, any::<Option<u32>>(), any::<(u64, u64, u64)>(), any::<bool>()).prop_map(
        |(lists, mark, n, whole)| {
            let (lines, withdrawals) = lists;
            let table = Table { id: n.2 as u32, lines: lines.clone(), levels: vec![], withdrawals: vec![] };
            let table = whole.then_some(table);
            let order = Order { table, lines, levels: vec![], withdrawals, mark, decided_us: n.2 };
            FromConductor::new(n.0, n.1, from_conductor::Kind::Order(order))
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// The receiver decodes the messages that were sent, however the bytes are split into reads.
    #[test]
    fn messages_round_trip_in_chunks(messages in prop::collection::vec(any_message(), 1..4), cut in 1usize..64) {
        let mut sender = Side::<FromProxy, FromConductor>::new(1 << 20);
        let mut wire = BytesMut::new();
        for message in &messages {
            sender.encode(message.clone(), &mut wire).unwrap();
        }
        let mut reader = Side::<FromConductor, FromProxy>::new(1 << 20);
        let (mut buffer, mut read) = (BytesMut::new(), Vec::new());
        for piece in wire.chunks(cut) {
            buffer.extend_from_slice(piece);
            while let Some(message) = reader.decode(&mut buffer).unwrap() {
                read.push(message);
            }
        }
        prop_assert_eq!(read, messages);
        prop_assert!(reader.decode_eof(&mut buffer).unwrap().is_none());
    }

    /// Arbitrary bytes from a peer yield a message, a wait for more bytes, or an error, and never a panic.
    #[test]
    fn decoding_is_total(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut reader = Side::<FromProxy, FromConductor>::new(4096);
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = reader.decode(&mut buffer) {}
        let _ = decode_frame::<FromProxy>(&bytes);
    }

    /// A stream that ends inside a frame is an error, not a silent end.
    #[test]
    fn a_truncated_frame_is_an_error(message in any_message(), kept_share in 0.0f64..1.0) {
        let whole = encode_frame(&message, 1 << 20).unwrap();
        let length = 1 + ((whole.len() - 2) as f64 * kept_share) as usize;
        let mut reader = Side::<FromConductor, FromProxy>::new(1 << 20);
        let end = reader.decode_eof(&mut BytesMut::from(&whole[..length]));
        let is_truncated = matches!(end, Err(FrameError::Truncated { .. }));
        prop_assert!(is_truncated);
    }

    #[test]
    fn addresses_round_trip(ip in any::<std::net::IpAddr>(), port in 1u16..) {
        let address = std::net::SocketAddr::new(ip.to_canonical(), port);
        prop_assert_eq!(std::net::SocketAddr::try_from(&Server::from(address)), Ok(address));
    }
}
