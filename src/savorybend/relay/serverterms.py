"""The conditions in force of this daemon's backend server.

A backend server names them in its responses. Responses on different connections
may be read in another order than they were made, so a response only lifts a
condition if its request was sent after the condition was read.
"""

import math
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import backend
from savorybend.relay import conditions

# Invalid limits are logged at most this often.
_INVALID_LOG_INTERVAL_S = 10.0

_log = structlog.get_logger()


class Answered(typing.NamedTuple):
    """A response of the backend server.

    Attributes:
        instance: ID of the backend server that the request named.
        sent_s: When the request was sent, in seconds.
        conditions: What the response says of the backend server.
    """

    instance: str
    sent_s: float
    conditions: conditions.Conditions


class ServerTerms:
    """Tracks the limit of the backend server, and whether it leaves."""

    def __init__(self, server: backend.BackendServer, clock: timers.Clock):
        self._server = server
        self._clock = clock
        self._instance = ""
        self._limit: conditions.Limit = conditions.Unlimited()
        self._named_s = -math.inf
        self._leaving = False
        self._last_invalid_log_s = -math.inf

    @property
    def limit(self) -> conditions.Limited | conditions.Unlimited:
        """The limit in force."""
        return self._limit

    @property
    def leaving(self) -> bool:
        """Whether the backend server has said that it leaves."""
        return self._leaving

    def note_answer(self, answered: Answered) -> None:
        """Applies the conditions of a response."""
        if answered.instance != self._instance:
            return
        self._note_limit(answered)
        if answered.conditions.leaving and not self._leaving:
            self._leaving = True
            _log.info("backend_server_leaving", instance=self._instance)

    def on_server_change(self) -> None:
        """Forgets the conditions of an earlier backend server."""
        current = self._server.current
        instance = current.instance if current else ""
        if instance == self._instance:
            return
        self._instance = instance
        self._limit = conditions.Unlimited()
        self._named_s = -math.inf
        self._leaving = False

    def _note_limit(self, answered: Answered) -> None:
        limit = answered.conditions.limit
        if isinstance(limit, conditions.Invalid):
            self._log_invalid(limit)
            return
        stricter = conditions.stricter(self._limit, limit)
        if stricter != limit and answered.sent_s <= self._named_s:
            return
        if isinstance(limit, conditions.Limited):
            self._named_s = self._clock.now_s()
        if limit == self._limit:
            return
        self._limit = limit
        _log.info(
            "backend_server_limit_changed",
            instance=self._instance,
            rate_per_s=getattr(limit, "rate_per_s", "unlimited"),
        )

    def _log_invalid(self, limit: conditions.Invalid) -> None:
        now_s = self._clock.now_s()
        if now_s - self._last_invalid_log_s < _INVALID_LOG_INTERVAL_S:
            return
        self._last_invalid_log_s = now_s
        _log.warning(
            "backend_server_limit_invalid",
            instance=self._instance,
            value=repr(limit.value),
        )


def create_server_terms(
    server: backend.BackendServer, clock: timers.Clock
) -> ServerTerms:
    """Returns the conditions of a backend server that has named none."""
    return ServerTerms(server, clock)
