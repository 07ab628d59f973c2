"""Parsing of the HTTP answers that test clients receive."""

import contextlib
import json

from tests.waiting import WAIT_TIMEOUT


class Answer:
    """An HTTP answer; `whole` tells whether its body is complete."""

    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    @property
    def document(self):
        return json.loads(self.body)


def read_answer(connection):
    connection.settimeout(WAIT_TIMEOUT)
    data = b""
    with contextlib.suppress(OSError):
        while part := connection.recv(65536):
            data += part
    return parse_answer(data)


def parse_answer(data):
    """Parse the bytes of an answer; the status is 0 while the head is incomplete."""
    head, end, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    if not end:
        return Answer(0, {}, b"", False)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    if headers.get("transfer-encoding") == "chunked":
        body, whole = _dechunk(body)
    else:
        whole = len(body) == int(headers.get("content-length", -1))
    return Answer(int(lines[0].split()[1]), headers, body, whole)


def _dechunk(data):
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16) if size else -1
        if length == 0:
            return body, True
        if length < 0 or len(data) < length + 2:
            break
        body += data[:length]
        data = data[length + 2 :]
    return body, False
