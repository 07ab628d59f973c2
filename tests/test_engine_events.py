"""Tests that any bytes from engines and peers are parsed or raise the documented exception."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from postvalve.exceptions import AttemptError, Verdict
from postvalve.messages.framing import (
    HEADER,
    FrameError,
    PackedReport,
    decode_body,
    decode_datagram,
    decode_header,
    encode_frame,
)
from postvalve.messages.records_codec import parse_record
from postvalve.node.batch.completion import join_events
from postvalve.services.engine import DONE_EVENT

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["choices", "delta", "content", "id", "x"]), inner)
    ),
    max_leaves=12,
)


class EngineEventsTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300)
    @given(st.lists(st.binary(max_size=30) | JSON.map(lambda value: json.dumps(value).encode())))
    def test_any_events(self, bodies):
        events = [b"data: " + body + b"\n\n" for body in bodies]
        try:
            self.assertIsInstance(join_events([*events, DONE_EVENT]), bytes)
        except AttemptError as error:
            self.assertIs(error.verdict, Verdict.MAY_HAVE_RUN)

    def test_a_stream_without_its_final_event_is_a_failure(self):
        with self.assertRaises(AttemptError):
            join_events([b"data: {}\n\n"])


class PeerBytesTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=500)
    @given(st.binary(max_size=60))
    def test_any_datagram_and_any_record(self, data):
        for parse in (decode_datagram, parse_record):
            try:
                parse(data)
            except FrameError:
                continue

    @settings(derandomize=True, max_examples=300)
    @given(st.integers(0, 21), st.binary(max_size=40))
    def test_any_body_of_a_known_kind(self, kind, body):
        header = len(body).to_bytes(4, "big") + bytes([kind]) + bytes(8)
        try:
            decode_datagram(header + body)
        except FrameError:
            return

    @given(st.binary(max_size=40))
    def test_a_packed_report_survives_a_round_trip(self, data):
        frame = encode_frame(PackedReport(data), 0)
        self.assertEqual(decode_datagram(frame), PackedReport(data))
        for invalid in (frame[:-1], frame + b"x"):
            with self.assertRaises(FrameError):
                decode_datagram(invalid)

    def test_a_packed_report_is_rejected_outside_a_datagram(self):
        frame = encode_frame(PackedReport(b"r"), 0)
        with self.assertRaises(FrameError):
            decode_body(decode_header(frame[: HEADER.size]), frame[HEADER.size :])


if __name__ == "__main__":
    unittest.main()
