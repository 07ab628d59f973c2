"""Small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import contextlib
from dataclasses import dataclass, field
from urllib.parse import parse_qsl


@dataclass
class Call:
    """One request as read from a connection."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self):
        """The parameters of the query."""
        return dict(parse_qsl(self.target.partition("?")[2]))


@dataclass
class Answer:
    """An answer; status 0 if the connection ended before its end, or none came in time."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader):
    """Return the first line and the headers, with names in lower case; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers):
    """Read a body with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readline()).strip() or b"0", 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


async def serve(handle, address, port):
    """Start a server; `handle(call, reader, writer)` returns whether the connection goes on."""

    async def connected(reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                call = Call(method, target, head[1], await read_body(reader, head[1]))
                if not await handle(call, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    return await asyncio.start_server(connected, address, port, limit=2**24, backlog=512)


def head_bytes(status, headers, reason="-"):
    """Build the head of an answer."""
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_bytes(status, body=b"", headers=()):
    """Build a whole answer with a length."""
    return head_bytes(status, [*headers, ("Content-Length", len(body))]) + body


async def request(address, method, target, headers, body=b"", timeout=5.0):
    """Send a request on a connection of its own; returns an `Answer`."""
    try:
        async with asyncio.timeout(timeout):
            return await _request(address, method, target, headers, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer()


async def _request(address, method, target, headers, body):
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(host, int(port), limit=2**24)
    try:
        lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        head = await read_head(reader)
        if head is None:
            return Answer()
        return Answer(int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1]))
    finally:
        writer.close()
