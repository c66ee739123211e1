"""The conditions in force of this daemon's backend server.

A backend server names them in its responses. Responses on different connections
may be read in another order than they were made, so a response only lifts a
condition if its request was sent after the condition was read.
"""

import collections.abc
import math
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import backend
from savorybend.relay import conditions
from savorybend.relay import outcomes

# Invalid limits are logged at most this often.
_INVALID_LOG_INTERVAL_S = 10.0

_log = structlog.get_logger()


class Answered(typing.NamedTuple):
    """A response of the backend server.

    Attributes:
        sent_s: When the request was sent, in seconds.
        conditions: What the response says of the backend server.
    """

    sent_s: float
    conditions: conditions.Conditions


class Parts(typing.NamedTuple):
    """Dependencies of `ServerTerms`.

    Attributes:
        server: State of the backend server.
        clock: The clock.
        set_rate: Called with the requests per second that may be sent to it;
            infinite for any number.
    """

    server: backend.BackendServer
    clock: timers.Clock
    set_rate: collections.abc.Callable[[float], None]


class ServerTerms:
    """Tracks the limit of the backend server, and whether it leaves."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._identity: tuple[str, int] | None = None
        self._limit: conditions.Limit = conditions.Unlimited()
        self._named_s = -math.inf
        self._leaving = False
        self._since_s = -math.inf
        # Whether the backend server itself has answered this daemon.
        self._answered = False
        self._told: outcomes.Terms | None = None
        self._last_invalid_log_s = -math.inf

    @property
    def limit(self) -> conditions.Limited | conditions.Unlimited:
        """The limit in force."""
        return self._limit

    @property
    def leaving(self) -> bool:
        """Whether the backend server has said that it leaves."""
        return self._leaving

    @property
    def terms(self) -> outcomes.Terms | None:
        """The conditions in force, for other daemons; None without any."""
        if self._identity is None:
            return None
        match self._limit:
            case conditions.Limited(rate_per_s=rate_per_s):
                return outcomes.Terms(
                    *self._identity, rate_per_s, self._leaving
                )
        if self._leaving:
            return outcomes.Terms(*self._identity, leaving=True)
        return None

    def note_answer(self, answered: Answered) -> None:
        """Applies the conditions of a response."""
        if answered.sent_s < self._since_s:
            return
        self._answered = True
        self._note_limit(answered)
        if answered.conditions.leaving and not self._leaving:
            self._leaving = True
            self._parts.server.depart(self._identity, "said so in an answer")

    def on_server_change(self) -> None:
        """Forgets the conditions of an earlier backend server."""
        identity = self._parts.server.identity
        if identity == self._identity:
            return
        self._identity = identity
        self._since_s = self._parts.clock.now_s()
        self._set_limit(conditions.Unlimited())
        self._named_s = -math.inf
        self._leaving = False
        self._answered = False
        self._apply_told()

    def note_told(self, source: str, terms: outcomes.Terms) -> None:
        """Applies what another daemon knows from before this one's start.

        Args:
            source: The other daemon's name.
            terms: What it knows.
        """
        told = self._told
        if told == terms or (told and told.born_ms > terms.born_ms):
            return
        self._told = terms
        _log.info(
            "backend_server_terms_told",
            instance=terms.instance,
            rate_per_s=terms.rate_per_s,
            leaving=terms.leaving,
            source=source,
        )
        if terms.leaving:
            identity = (terms.instance, terms.born_ms)
            self._parts.server.depart(identity, f"told by {source}")
        self._apply_told()

    def _apply_told(self) -> None:
        told = self._told
        if told is None or self._answered:
            return
        if (told.instance, told.born_ms) != self._identity:
            return
        self._leaving = self._leaving or told.leaving
        if told.rate_per_s is not None:
            limit = conditions.Limited(told.rate_per_s)
            self._named_s = self._parts.clock.now_s()
            self._set_limit(conditions.stricter(self._limit, limit))

    @property
    def _instance(self) -> str:
        return self._identity[0] if self._identity else ""

    def _note_limit(self, answered: Answered) -> None:
        limit = answered.conditions.limit
        if isinstance(limit, conditions.Invalid):
            self._log_invalid(limit)
            return
        stricter = conditions.stricter(self._limit, limit)
        if stricter != limit and answered.sent_s <= self._named_s:
            return
        if isinstance(limit, conditions.Limited):
            self._named_s = self._parts.clock.now_s()
        if limit == self._limit:
            return
        self._set_limit(limit)
        _log.info(
            "backend_server_limit_changed",
            instance=self._instance,
            rate_per_s=getattr(limit, "rate_per_s", "unlimited"),
        )

    def _set_limit(
        self, limit: conditions.Limited | conditions.Unlimited
    ) -> None:
        self._limit = limit
        match limit:
            case conditions.Limited(rate_per_s=rate_per_s):
                self._parts.set_rate(rate_per_s)
            case conditions.Unlimited():
                self._parts.set_rate(math.inf)

    def _log_invalid(self, limit: conditions.Invalid) -> None:
        now_s = self._parts.clock.now_s()
        if now_s - self._last_invalid_log_s < _INVALID_LOG_INTERVAL_S:
            return
        self._last_invalid_log_s = now_s
        _log.warning(
            "backend_server_limit_invalid",
            instance=self._instance,
            value=repr(limit.value),
        )


def create_server_terms(parts: Parts) -> ServerTerms:
    """Returns the conditions of a backend server that has named none."""
    return ServerTerms(parts)
