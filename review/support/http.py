"""HTTP/1.1 for the stand-ins: reading of messages, and requests of a client."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer."""

    first_line: str
    headers: list[tuple[str, str]]
    body: bytes = b""
    complete: bool = True
    """Whether the body was read to its end."""

    def header(self, name: str) -> str | None:
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)

    def values(self, name: str) -> list[str]:
        """Return all values of a header."""
        return [value for key, value in self.headers if key.lower() == name.lower()]

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader, *, is_answer: bool = False) -> Message | None:
    """Read one message; None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = raw.decode("latin-1")[:-4].split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    message = Message(first_line, headers)
    length = message.header("Content-Length")
    try:
        if (message.header("Transfer-Encoding") or "").lower() == "chunked":
            message.body = await _read_chunks(reader)
        elif length is not None:
            message.body = await reader.readexactly(int(length))
        elif is_answer:
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.complete = False
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return bytes(body)


def pack_request(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Encode a request."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def pack_answer(status: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Encode an answer with a length."""
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


@dataclass
class Call:
    """One client attempt and what came back."""

    answer: Message | None = None
    """None if there was no answer."""
    seconds: float = 0.0
    error: str = ""
    notes: list[str] = field(default_factory=list)

    @property
    def outcome(self) -> str:
        """The outcome in a few words."""
        if self.answer is None:
            return self.error or "no answer"
        whole = "" if self.answer.complete else ", cut"
        return f"{self.answer.status}{whole}"


async def call(
    port: int,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout: float = 8.0,
) -> Call:
    """Make one call on a new connection, as a client does."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    made = Call()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(pack_request(method, target, headers, body))
            await writer.drain()
            made.answer = await read_message(reader, is_answer=True)
    except TimeoutError:
        made.error = "no answer in time"
    except OSError as exc:
        made.error = f"no connection ({type(exc).__name__})"
    finally:
        if writer is not None:
            writer.close()
    made.seconds = loop.time() - started
    return made
