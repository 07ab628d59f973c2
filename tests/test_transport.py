"""Tests of datagrams between nodes: order, batched reads, and errors of the handler."""

import unittest

from postvalve.events import Event
from postvalve.node.transport import NetworkTransport
from tests.gateway_support import RecordingEventLog
from tests.ports import free_port
from tests.waiting import wait_until


class DatagramTest(unittest.TestCase):
    def setUp(self):
        self.log = RecordingEventLog()
        self.received = []
        self.address = f"127.0.0.1:{free_port()}"
        self.receiver = NetworkTransport(self.address, self.log)
        self.receiver.serve(lambda message: message, self.handle_datagram)
        self.addCleanup(self.receiver.stop)
        self.sender = NetworkTransport(f"127.0.0.1:{free_port()}", RecordingEventLog())
        self.sender.serve(lambda message: message, lambda data, sender: None)
        self.addCleanup(self.sender.stop)

    def handle_datagram(self, data, sender):
        if data == b"bad":
            raise ValueError("error raised by the handler")
        self.received.append(data)

    def send(self, *payloads):
        for data in payloads:
            self.sender.send(self.address, data)

    def test_datagrams_arrive_in_order(self):
        sent = [str(number).encode() for number in range(50)]
        self.send(*sent)
        wait_until(lambda: len(self.received) == len(sent))
        self.assertEqual(self.received, sent)
        self.send(b"later")
        wait_until(lambda: b"later" in self.received)

    def test_a_handler_error_does_not_end_the_receive_loop(self):
        self.send(b"one", b"bad", b"two")
        wait_until(lambda: self.received == [b"one", b"two"])
        logged = [event for event, _ in self.log.written]
        self.assertEqual(logged, [Event.PEER_MESSAGE_INVALID])

    def test_datagrams_gather_for_the_given_time(self):
        calls = []
        self.receiver.gather_time = lambda: calls.append(len(self.received)) or 0.3
        self.send(b"one")
        wait_until(lambda: calls)
        self.send(b"two", b"three")
        wait_until(lambda: len(calls) == 2)
        self.assertEqual(calls, [1, 3])

    def test_a_large_datagram_is_received_completely(self):
        self.send(b"x" * 60_000)
        wait_until(lambda: self.received == [b"x" * 60_000])

    def test_a_stopped_transport_sends_nothing(self):
        self.sender.stop()
        self.send(b"one")
        self.assertEqual(self.received, [])


if __name__ == "__main__":
    unittest.main()
