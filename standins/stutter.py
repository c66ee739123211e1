"""Stand-in for a faulty backend server, which writes what a plan says.

Its connections are raw, so that it can write any bytes at any moment. The query
of a request says what the true answer is: `answer=500`, or `answer=shed`.
"""

import asyncio
import collections.abc
import contextlib
import enum
import itertools
import socket
import struct
import typing

from standins import worker

_HEAD_END = b"\r\n\r\n"
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_MISDIRECTED = 421
_SHED = 503
_proofs = itertools.count(1)


class End(enum.Enum):
    """How a connection ends."""

    CLOSE = "close"
    RESET = "reset"


class Answer(typing.NamedTuple):
    """An answer to one request.

    Attributes:
        request_id: ID of the request; empty to leave it out.
        status: The HTTP status.
        proof: Differs for each request that ran.
        body: The complete body.
        executed: Whether the request ran.
    """

    request_id: str
    status: int
    proof: str
    body: bytes
    executed: bool = True

    @property
    def head(self):
        """The bytes of the head."""
        return self._head(b"Content-Length: %d\r\n" % len(self.body))

    @property
    def data(self):
        """The bytes of the answer, whose length is in the head."""
        return self.head + self.body

    @property
    def chunked(self):
        """The bytes of the answer in two chunks."""
        half = len(self.body) // 2
        parts = [self.body[:half], self.body[half:], b""]
        chunks = [b"%x\r\n%s\r\n" % (len(one), one) for one in parts]
        return self._head(b"Transfer-Encoding: chunked\r\n") + b"".join(chunks)

    @property
    def endless(self):
        """The bytes of the answer if it ends with the connection."""
        return self._head(b"") + self.body

    def _head(self, framing):
        lines = [b"HTTP/1.1 %d Some Reason" % self.status, b"Server: reads 1"]
        if self.request_id:
            lines.append(b"Request-Id: " + self.request_id.encode())
        if self.executed:
            lines.append(b"Response-Signature: " + self.proof.encode())
        else:
            lines.append(b"Not-Executed: 1")
        return b"\r\n".join(lines) + b"\r\n" + framing + b"\r\n"


class Request(typing.NamedTuple):
    """A request that arrived.

    Attributes:
        request_id: Its ID.
        target: Path and query.
        earlier: The true answers to earlier requests on its connection.
    """

    request_id: str
    target: str
    earlier: list[Answer]


# Bytes are written, a number is a time to wait in seconds.
Step = bytes | float | End
Plan = collections.abc.Callable[[Request, Answer], list[Step]]


def sound(request: Request, answer: Answer) -> list[Step]:
    """Answers as a sound backend server does."""
    return [answer.data]


class StutteringWorker(worker.Worker):
    """A backend server that writes what its plan says.

    Attributes:
        plan: Returns the steps for a request and its true answer.
        answers: The true answers so far, in the order of the requests.
    """

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.plan = sound
        self.answers = []
        self._server = None
        self._serving = set()

    async def start(self):
        """Begins to listen, and to announce itself."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), reuse_address=True
        )
        self._announcing = asyncio.create_task(self._announce_often())

    async def stop(self):
        """Ends at once, as a crash does."""
        self._announcing.cancel()
        self._server.close()
        for task in list(self._serving):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._serving.add(task)
        earlier = []
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._serve_request(reader, writer, earlier):
                    pass
        except asyncio.CancelledError:
            # The task is the stream's, which would log it.
            pass
        finally:
            self._serving.discard(task)
            writer.close()

    async def _serve_request(self, reader, writer, earlier):
        """Serves a request; returns whether the connection goes on."""
        head = (await reader.readuntil(_HEAD_END)).decode("latin-1")
        first, *lines = head.split("\r\n")
        target = first.split()[1]
        pairs = [line.partition(": ") for line in lines]
        fields = {name.lower(): value for name, _, value in pairs}
        await reader.readexactly(int(fields["content-length"]))
        request_id = fields.get("request-id", "")
        answer = self._answer(request_id, target, fields["target-instance"])
        self.answers.append(answer)
        request = Request(request_id, target, list(earlier))
        earlier.append(answer)
        for step in self.plan(request, answer):
            match step:
                case bytes():
                    writer.write(step)
                    await writer.drain()
                case float():
                    await asyncio.sleep(step)
                case End():
                    _end(writer, step)
                    return False
        return True

    def _answer(self, request_id, target, instance):
        if instance != self.instance:
            return Answer(request_id, _MISDIRECTED, "", b"", False)
        _, _, wanted = target.partition("answer=")
        if wanted == "shed":
            return Answer(request_id, _SHED, "", b"busy", False)
        self.ran.append(request_id)
        proof = f"p{next(_proofs)}"
        body = f"{self.instance} {target} {proof}".encode()
        return Answer(request_id, int(wanted or 200), proof, body)


def _end(writer, how):
    if how is End.RESET:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        writer.transport.abort()
    else:
        writer.close()
