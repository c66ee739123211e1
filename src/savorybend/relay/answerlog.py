"""Logs and counts what is wrong with the backend server's answers.

An answer is tied to its request by its request ID and by its place: the
connection, and how many requests that connection carried. Together with the
lines here, a wrong answer can be traced to what came before it on its
connection.
"""

import collections
import collections.abc
import typing

import structlog

# Causes of answers that can't be used.
OF_ANOTHER_REQUEST = "of-another-request"
WITHOUT_REQUEST = "without-request"

_MAX_CAUSES = 50
_OTHER = "other"

_log = structlog.get_logger()


class Place(typing.NamedTuple):
    """A place on a connection to the backend server.

    Attributes:
        connection: Number of the connection, in the order of their opening.
        request: Number of requests that were sent on it so far.
        surplus: Number of answers on it so far that no request waited for.
    """

    connection: int
    request: int
    surplus: int


class Surplus(typing.NamedTuple):
    """An answer, or a part of one, that no request waits for.

    Attributes:
        cause: `OF_ANOTHER_REQUEST` or `WITHOUT_REQUEST`.
        status: Its HTTP status; 0 if it isn't known.
        request_id: The request ID that it bears; empty if it bears none.
    """

    cause: str
    status: int
    request_id: str


class AnswerLog:
    """Logs and counts unusable answers, and answers that follow them."""

    def __init__(self):
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> collections.abc.Mapping[str, int]:
        """Number of unusable answers by cause."""
        return self._counts

    def note_surplus(
        self, place: Place, request_id: str, surplus: Surplus
    ) -> None:
        """Records an answer that no request waits for.

        Args:
            place: Where it arrived.
            request_id: The request that waited there; empty if none did.
            surplus: The answer.
        """
        self._count(surplus.cause)
        _log.info(
            "answer_passed_over",
            request_id=request_id,
            cause=surplus.cause,
            answered_id=surplus.request_id,
            status=surplus.status,
            connection=place.connection,
            position=place.request,
        )

    def note_garbled(self, place: Place, request_id: str, cause: str) -> None:
        """Records a request whose answer can't be used."""
        self._count(cause)
        _log.info(
            "answer_garbled",
            request_id=request_id,
            cause=cause,
            connection=place.connection,
            position=place.request,
            surplus=place.surplus,
        )

    def note_answer(self, place: Place, request_id: str, status: int) -> None:
        """Records an answer that follows a surplus one on its connection."""
        if not place.surplus:
            return
        _log.info(
            "answer_after_surplus",
            request_id=request_id,
            status=status,
            connection=place.connection,
            position=place.request,
            surplus=place.surplus,
        )

    def _count(self, cause: str) -> None:
        # Some causes contain the text of an error.
        if cause not in self._counts and len(self._counts) >= _MAX_CAUSES:
            cause = _OTHER
        self._counts[cause] += 1


def create_answer_log() -> AnswerLog:
    """Returns a log with all counts at zero."""
    return AnswerLog()
