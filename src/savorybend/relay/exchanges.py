"""A request of a caller, and its answer."""

import collections.abc
import typing

from savorybend.relay import http1
from savorybend.relay import pacedwriter

_CLOSE = b"Connection: close\r\n"


class Connection(typing.Protocol):
    """The connection that a request came on."""

    @property
    def closing(self) -> bool:
        """Whether it is closed after its next answer."""

    def flush(self) -> None:
        """Writes the answers that are next in order."""


class Exchange:
    """A request of a caller, and its answer.

    Attributes:
        method: The HTTP method.
        target: Path and query, as sent.
        headers: Names in lower case, and values.
        body: The complete body; `bytes`, or a held buffer if it is large.
        lacks_room: Whether the body isn't read, since there is no room.
        on_disconnect: Called if the caller disconnects before the answer.
        on_shutdown: Called if the daemon ends before the answer; gives one.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "lacks_room",
        "on_disconnect",
        "on_shutdown",
        "_connection",
        "_keep",
        "_answer",
        "_large_body",
    )

    def __init__(self, connection: Connection):
        self._connection = connection
        self._answer: bytes | None = None
        self._large_body: pacedwriter.Data = b""
        self._keep = True
        self.method = b""
        self.target = b""
        self.headers: http1.Headers = []
        self.body: bytes | bytearray = b""
        self.lacks_room = False
        self.on_disconnect: collections.abc.Callable[[], None] | None = None
        self.on_shutdown: collections.abc.Callable[[], None] | None = None

    @property
    def answered(self) -> bool:
        """Whether the request has been answered."""
        return self._answer is not None

    @property
    def keep(self) -> bool:
        """Whether the connection stays open after the answer."""
        return self._keep

    @property
    def answer(self) -> bytes | None:
        """The answer, without a large body; None before it is given."""
        return self._answer

    @property
    def large_body(self) -> pacedwriter.Data:
        """The answer's body if it is large; it follows `answer`."""
        return self._large_body

    def reply(self, status: int, head: bytes, body: pacedwriter.Data) -> None:
        """Answers the request; a second answer is ignored.

        Args:
            status: The HTTP status.
            head: Header lines, without those of the framing.
            body: The complete body.
        """
        if self._answer is not None:
            return
        close = b"" if self._keep and not self._connection.closing else _CLOSE
        self._keep = not close
        self.on_disconnect = None
        self.on_shutdown = None
        # The request's body isn't needed any more, whoever refers to this.
        self.body = b""
        size = len(body)
        if size > pacedwriter.WHOLE_BYTES:
            self._large_body = body
            body = b""
        self._answer = b"%s%sContent-Length: %d\r\n%s\r\n%s" % (
            http1.status_line(status),
            head,
            size,
            close,
            body,
        )
        self._connection.flush()

    def close_after_reply(self) -> None:
        """Closes the connection after this answer."""
        self._keep = False


Handler = collections.abc.Callable[[Exchange], None]
