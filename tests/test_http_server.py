"""The node's HTTP server at the level of sockets."""

import socket
import unittest
from unittest import mock

from postvalve import wsgi_handler as server


class HandlerTest(unittest.TestCase):
    def handler(self, connection):
        with mock.patch.object(server.WSGIHandler, "__init__", return_value=None):
            owner = mock.Mock(idle_timeout=7.0)
            handler = server.NoDelayHandler(connection, ("127.0.0.1", 1), owner)
        handler.socket = connection
        handler.response_length = 0
        handler.code = 200
        return handler

    def test_tokens_do_not_wait_for_acknowledgements(self):
        connection = mock.Mock()
        self.handler(connection)
        connection.setsockopt.assert_called_with(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def test_silent_clients_are_ended(self):
        connection = mock.Mock()
        self.handler(connection)
        connection.settimeout.assert_called_with(7.0)

    def test_partial_sends_are_continued(self):
        connection = mock.Mock()
        sent = []

        def send(data):
            sent.append(bytes(data[:3]))
            return len(sent[-1])

        connection.send.side_effect = send
        handler = self.handler(connection)
        handler._sendall(bytearray(b"0123456789"))
        self.assertEqual(b"".join(sent), b"0123456789")
        self.assertEqual(handler.response_length, 10)

    def test_a_client_that_does_not_read_ends_the_answer(self):
        connection = mock.Mock()
        connection.send.side_effect = TimeoutError("timed out")
        handler = self.handler(connection)
        with self.assertRaises(TimeoutError):
            handler._sendall(b"x")
        self.assertEqual(handler.code, -200)


if __name__ == "__main__":
    unittest.main()
