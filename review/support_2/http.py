"""HTTP/1.1 as the stand-ins speak it, with the standard library only."""

import asyncio
import typing


class Message(typing.NamedTuple):
    """A request or a response.

    Attributes:
        start: The words of its first line.
        headers: Values by name in lower case.
        body: The complete body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes


async def read_message(
    reader: asyncio.StreamReader,
) -> Message | None:
    """Returns the next message; None at the connection's end before it.

    Raises:
        asyncio.IncompleteReadError: The connection ended within it.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(first.split(" "), headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(parts)


def encode_response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def encode_request(
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> bytes:
    """Returns a request; with a length if it has a body."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    lines += ["", ""]
    return "\r\n".join(lines).encode() + body


async def ask(
    host: str,
    port: int,
    request: bytes,
    timeout_s: float,
) -> Message | None:
    """Sends a request on a connection of its own; returns the response.

    Returns None if the connection ends, or the time is over, before it.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(request)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()
