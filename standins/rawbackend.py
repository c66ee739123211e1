"""Stand-in for a server that writes chosen bytes to each request."""

import asyncio
import collections.abc
import contextlib
import socket
import struct
import typing


class Exchange(typing.NamedTuple):
    """A request that arrived, and the connection to answer it on.

    Attributes:
        number: Its number among all requests, from 1.
        position: Its number on its connection, from 1.
        method: Its method.
        request_id: Its Savorybend-Request-Id; empty for none.
        writer: Writes to the connection.
    """

    number: int
    position: int
    method: str
    request_id: str
    writer: asyncio.StreamWriter

    async def write(self, *segments: bytes) -> None:
        """Writes segments that the other end receives one by one."""
        for segment in segments:
            self.writer.write(segment)
            # Long enough for a reader on the same machine to take it.
            await asyncio.sleep(0.01)

    def end(self) -> None:
        """Closes the connection in good order."""
        self.writer.close()

    def reset(self) -> None:
        """Resets the connection."""
        connection = self.writer.get_extra_info("socket")
        # Without a time to linger, closing resets the connection.
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.writer.transport.abort()


Answer = collections.abc.Callable[[Exchange], collections.abc.Awaitable[None]]


class RawServer:
    """Gives each request to a function that answers it.

    Attributes:
        address: Where it listens, as `IP:PORT`.
        requests: Number of requests that arrived.
        connections: Number of connections that were opened.
    """

    def __init__(self, answer: Answer):
        self._answer = answer
        self._writers: list[asyncio.StreamWriter] = []
        self.address = ""
        self.requests = 0
        self.connections = 0

    @contextlib.asynccontextmanager
    async def serve(self):
        """Listens while the context is open."""
        server = await asyncio.start_server(self._converse, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        try:
            yield self
        finally:
            server.close()
            for writer in self._writers:
                writer.transport.abort()
            await server.wait_closed()

    async def _converse(self, reader, writer):
        self._writers.append(writer)
        self.connections += 1
        position = 0
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while not writer.is_closing():
                method, headers = await _read_request(reader)
                position += 1
                self.requests += 1
                await self._answer(
                    Exchange(
                        self.requests,
                        position,
                        method,
                        headers.get("savorybend-request-id", ""),
                        writer,
                    )
                )
                if headers.get("connection", "") == "close":
                    writer.close()


async def _read_request(reader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", "0")))
    return first.split(" ")[0], headers


def create_response(
    status: int, body: bytes, headers: tuple[tuple[str, str], ...] = ()
) -> bytes:
    """Returns a response with the length of its body."""
    lines = [f"HTTP/1.1 {status} Some Reason"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def create_raw_server(answer: Answer) -> RawServer:
    """Returns a server; `answer` writes the response to each request."""
    return RawServer(answer)
