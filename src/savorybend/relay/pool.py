"""Connections to this daemon's backend server."""

import asyncio
import collections.abc
import enum
import errno
import itertools
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import answerlog
from savorybend.relay import backgroundtasks
from savorybend.relay import bytebudget
from savorybend.relay import calls
from savorybend.relay import conditions
from savorybend.relay import http1
from savorybend.relay import outcomes
from savorybend.relay import responselimits
from savorybend.relay import responseparser
from savorybend.relay import serverterms
from savorybend.relay import upstream

_CONNECT_TIMEOUT_S = 0.5
# Part of the backend server's idle timeout after which this side closes first.
# If both sides can close, a request sent at the moment when the server does may
# or may not have run.
_IDLE_FRACTION = 0.5
_MIN_IDLE_S = 0.5
_DEFAULT_IDLE_S = 4.0
# Errors of this process, which say nothing about the backend server.
_LOCAL_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

# Fraction of the room for responses that the body of one may use, so that two
# of the largest can be delivered to slow callers at once.
_MAX_BODY_FRACTION = 0.5

_log = structlog.get_logger()


class Codec(typing.Protocol):
    """Encodes requests to a backend server and decodes its responses."""

    def encode_head(
        self, call: calls.Call, instance: str, left_s: float
    ) -> bytes:
        """Returns the head of a request, with the empty line."""

    def match(self, request_id: str, headers: http1.Headers) -> upstream.Match:
        """Returns how the headers of a response fit a request."""

    def request_id(self, headers: http1.Headers) -> str | None:
        """Returns the request ID of a response; None if it bears none."""

    def decode(
        self, request_id: str, response: responseparser.Response
    ) -> outcomes.Outcome:
        """Returns the outcome that a response stands for."""

    def conditions(self, headers: http1.Headers) -> conditions.Conditions:
        """Returns what a response says of the backend server."""

    def idle_timeout_s(self, headers: http1.Headers) -> float | None:
        """Returns the announced idle timeout in seconds; None if absent."""


class _Failure(enum.Enum):
    """Why there is no connection to the backend server."""

    LOCAL = "this process can't open one"
    REMOTE = "the backend server takes none"


class Dispatch:
    """A request sent to the backend server, which can be aborted."""

    __slots__ = ("connection", "dialing", "finished")

    def __init__(self):
        self.connection: upstream.ServerConnection | None = None
        self.dialing: asyncio.Task | None = None
        self.finished = False

    def abort(self) -> None:
        """Aborts the request; its callback isn't called."""
        self.finished = True
        if self.connection is not None:
            self.connection.abort()


OnDone = collections.abc.Callable[[outcomes.Outcome], None]
OnAnswer = collections.abc.Callable[[serverterms.Answered], None]


class Pool:
    """A pool of connections to the backend server, reused while fresh."""

    def __init__(
        self,
        address: str,
        codec: Codec,
        clock: timers.Clock,
        start: backgroundtasks.Start,
        budget: bytebudget.Budget,
        on_answer: OnAnswer,
    ):
        room_bytes = budget.limit_bytes(bytebudget.Use.RESPONSES)
        self._limits = responselimits.Limits(
            body_bytes=int(room_bytes * _MAX_BODY_FRACTION)
        )
        self._budget = budget
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._codec = codec
        self._clock = clock
        self._start = start
        self._on_answer = on_answer
        self._answer_log = answerlog.create_answer_log()
        self._connection_numbers = itertools.count(1)
        self._requests_sent = 0
        self._idle: list[upstream.ServerConnection] = []
        self._open: set[upstream.ServerConnection] = set()
        self._idle_limit_s = _DEFAULT_IDLE_S
        self._last_answer_s = clock.now_s()

    @property
    def requests_sent(self) -> int:
        """Number of requests sent since this daemon started."""
        return self._requests_sent

    @property
    def unusable_answers(self) -> collections.abc.Mapping[str, int]:
        """Number of unusable answers by cause since this daemon started."""
        return self._answer_log.counts

    @property
    def last_answer_s(self) -> float:
        """When the backend server last answered."""
        return self._last_answer_s

    def dispatch(
        self, call: calls.Call, instance: str, callback: OnDone
    ) -> Dispatch:
        """Sends a call to the backend server; returns its dispatch."""
        dispatch = Dispatch()
        connection = self._take_idle(call.request_id)
        if connection is not None:
            self._send(connection, dispatch, call, instance, callback)
            return dispatch
        self._start(self._dial(dispatch, call, instance, callback))
        return dispatch

    async def probe(self) -> bool:
        """Returns whether the backend server accepts a connection.

        An error of this process counts as accepted.
        """
        connection = await self._connect()
        if isinstance(connection, upstream.ServerConnection):
            self._on_idle(connection)
            return True
        return connection is _Failure.LOCAL

    def sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        now_s = self._clock.now_s()
        fresh = []
        for connection in self._idle:
            if not connection.usable:
                continue
            if now_s - connection.idle_since_s > self._idle_limit_s:
                connection.close()
            else:
                fresh.append(connection)
        self._idle = fresh

    def close_idle(self) -> None:
        """Closes every idle connection, since they may be dead."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _take_idle(self, request_id: str) -> upstream.ServerConnection | None:
        """Returns an idle connection for a request; None without one."""
        if not request_id:
            # Nothing but the connection ties an answer to it.
            return None
        now_s = self._clock.now_s()
        passed_over: list[upstream.ServerConnection] = []
        found: upstream.ServerConnection | None = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if not connection.usable:
                continue
            if now_s - connection.idle_since_s > self._idle_limit_s:
                connection.close()
            elif connection.carried(request_id):
                # A late copy of the first answer would answer this request.
                passed_over.append(connection)
            else:
                found = connection
        self._idle.extend(reversed(passed_over))
        return found

    async def _connect(self) -> "upstream.ServerConnection | _Failure":
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: upstream.ServerConnection(
                        self._on_idle,
                        self._on_end,
                        self._limits,
                        self._budget,
                        next(self._connection_numbers),
                        self,
                    ),
                    *self._address,
                )
        except (OSError, TimeoutError) as error:
            _log.warning("backend_server_not_reached", error=repr(error))
            local = error.errno in _LOCAL_ERRNOS
            return _Failure.LOCAL if local else _Failure.REMOTE
        self._open.add(connection)
        return connection

    async def _dial(
        self,
        dispatch: Dispatch,
        call: calls.Call,
        instance: str,
        callback: OnDone,
    ) -> None:
        connection = await self._connect()
        connected = isinstance(connection, upstream.ServerConnection)
        if dispatch.finished:
            if connected:
                self._on_idle(connection)
            return
        if not connected:
            dispatch.finished = True
            reason = outcomes.NO_BACKEND_SERVER
            if connection is _Failure.LOCAL:
                reason = outcomes.OVERLOADED
            callback(outcomes.NotRun(reason))
            return
        self._send(connection, dispatch, call, instance, callback)

    def _send(
        self,
        connection: upstream.ServerConnection,
        dispatch: Dispatch,
        call: calls.Call,
        instance: str,
        callback: OnDone,
    ) -> None:
        dispatch.connection = connection

        def on_result(result: upstream.Result) -> None:
            dispatch.connection = None
            if dispatch.finished:
                return
            dispatch.finished = True
            outcome = self._outcome(call, sent_s, result)
            self._log_answer(connection.place, call.request_id, outcome, result)
            callback(outcome)

        expected = upstream.PendingRequest(
            lambda headers: self._codec.match(call.request_id, headers),
            on_result,
            call.request_id,
        )
        sent_s = self._clock.now_s()
        left_s = call.deadline_s - sent_s
        self._requests_sent += 1
        connection.send(
            self._codec.encode_head(call, instance, left_s),
            expected,
            call.body,
        )

    def _outcome(
        self,
        call: calls.Call,
        sent_s: float,
        result: upstream.Result,
    ) -> outcomes.Outcome:
        match result:
            case responseparser.Response():
                self._last_answer_s = self._clock.now_s()
                idle_timeout_s = self._codec.idle_timeout_s(result.headers)
                if idle_timeout_s is not None:
                    limit_s = idle_timeout_s * _IDLE_FRACTION
                    self._idle_limit_s = max(_MIN_IDLE_S, limit_s)
                outcome = self._codec.decode(call.request_id, result)
                if not _is_of_another(outcome):
                    named = self._codec.conditions(result.headers)
                    self._on_answer(serverterms.Answered(sent_s, named))
                return outcome
            case upstream.NoResponse(garbled=True):
                return outcomes.Lost(outcomes.GARBLED)
        return outcomes.Lost(outcomes.BACKEND_SERVER_LOST)

    def on_surplus(
        self,
        connection: upstream.ServerConnection,
        request_id: str,
        cause: str,
        response: responseparser.Response,
    ) -> None:
        """Records a response that no request waits for."""
        answered_id = self._codec.request_id(response.headers) or ""
        self._answer_log.note_surplus(
            connection.place,
            request_id,
            answerlog.Surplus(cause, response.status, answered_id),
        )

    def _log_answer(
        self,
        place: answerlog.Place,
        request_id: str,
        outcome: outcomes.Outcome,
        result: upstream.Result,
    ) -> None:
        match result:
            case upstream.NoResponse(reason=reason, garbled=True):
                self._answer_log.note_garbled(place, request_id, reason)
            case responseparser.Response(status=status):
                if isinstance(outcome, outcomes.Lost):
                    self._answer_log.note_garbled(
                        place, request_id, "success without proof"
                    )
                else:
                    self._answer_log.note_answer(place, request_id, status)

    def _on_idle(self, connection: upstream.ServerConnection) -> None:
        connection.idle_since_s = self._clock.now_s()
        self._idle.append(connection)

    def _on_end(self, connection: upstream.ServerConnection) -> None:
        self._open.discard(connection)


def _is_of_another(outcome: outcomes.Outcome) -> bool:
    """Returns whether another backend server than the named one answered."""
    match outcome:
        case outcomes.NotRun(reason=outcomes.NOT_THE_INSTANCE):
            return True
    return False
