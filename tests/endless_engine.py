"""An engine whose answers never end, in a thread of its own."""

import contextlib
import socket
import threading
import time

BLOCK = 64 * 1024
MAX_SENT = 48 * 1024 * 1024
"""Bytes after which the engine stops by itself."""
TRICKLE_PAUSE = 0.2
"""Seconds between two bytes of a trickle."""
MAX_SECONDS = 20.0
"""Seconds after which it does."""
STREAM = "Content-Type: text/event-stream\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"


def _chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


KINDS = {
    "head": ("", b"X-Filler: " + b"x" * 8_000 + b"\r\n"),
    "status line": (None, b"x" * BLOCK),
    "interim answers": (None, b"HTTP/1.1 103 -\r\nLink: x\r\n\r\n" * 1_000),
    "event": (STREAM + "\r\n", b"x" * BLOCK),
    "event in chunks": (STREAM + CHUNKED + "\r\n", _chunk(b"x" * BLOCK)),
    "comments": (STREAM + "\r\n", b": " + b"x" * 8_000 + b"\n"),
    "body": ("Content-Type: text/plain\r\n\r\n", b"x" * BLOCK),
    "size of a chunk": (STREAM + CHUNKED + "\r\n", b"0" * BLOCK),
    "extension of a chunk": (STREAM + CHUNKED + "\r\n5;x=", b"x" * BLOCK),
    "trailer": (STREAM + CHUNKED + "\r\n0\r\n", b"X-Filler: " + b"x" * 8_000 + b"\r\n"),
}
"""What comes after the status line and Request-Id of an answer, and then without end. Without the
first part, nothing comes before."""


class EndlessEngine:
    """Answers each request without end until its connection is closed, or `MAX_SENT`."""

    def __init__(self, kind):
        self._prefix, self._filler = KINDS[kind]
        self.is_trickle = False
        """Whether it sends a byte at a time, with pauses."""
        self.sent = []
        """Bytes sent as each answer."""
        self._server = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def port(self):
        return self._server.getsockname()[1]

    def stop(self):
        self._server.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._server.accept()
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        with contextlib.suppress(OSError), conn:
            head = b""
            while b"\r\n\r\n" not in head:
                part = conn.recv(65_536)
                if not part:
                    return
                head += part
            lines = head.decode().split("\r\n")
            if lines[0].startswith("GET "):
                # It tells nothing of its runs.
                conn.sendall(b"HTTP/1.1 404 -\r\nContent-Length: 0\r\n\r\n")
                return
            request_id = next(line for line in lines if line.lower().startswith("request-id:"))
            self._answer(conn, request_id)

    def _answer(self, conn, request_id):
        number, deadline = len(self.sent), time.monotonic() + MAX_SECONDS
        self.sent.append(0)
        if self._prefix is not None:
            conn.sendall(f"HTTP/1.1 200 OK\r\n{request_id}\r\n{self._prefix}".encode())
        while self.sent[number] < MAX_SENT and time.monotonic() < deadline:
            self.sent[number] += conn.send(self._filler[:1] if self.is_trickle else self._filler)
            time.sleep(TRICKLE_PAUSE if self.is_trickle else 0.0)
