"""Connections to other daemons, and the calls sent on them.

The daemon that dials sends calls; the other one answers on the same
connection. After a connection is lost, the sender requests the outcomes of its
calls on a new one, so that an answer that was already complete isn't lost.
"""

import asyncio
import typing

import structlog

from savorybend.relay import bytebudget
from savorybend.relay import calls
from savorybend.relay import framedecoder
from savorybend.relay import frames
from savorybend.relay import linkinterfaces
from savorybend.relay import outcomes
from savorybend.relay import streams

_CONNECT_TIMEOUT_S = 0.6
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0
# A silent connection is pinged after this long, any other after the maximum.
_PING_INTERVAL_S = 0.4
_MAX_PING_INTERVAL_S = 0.8
# A connection can stop delivering for good while new ones work. A ping that is
# unanswered for this long is taken as a sign of that.
_PING_TIMEOUT_S = 1.0
_IDLE_TIMEOUT_S = 5.0
# For this long after a failure, calls fail without another attempt.
_FAIL_FAST_S = 0.3
# A host or port that isn't one is refused with errors other than `OSError`.
_DIAL_ERRORS = (OSError, TimeoutError, ValueError, OverflowError)

_NO_BOOTS = (0, 0)

_log = structlog.get_logger()


class _PendingCall:
    """A call submitted to a peer that has no outcome yet."""

    __slots__ = ("number", "call", "callback", "written")

    def __init__(
        self, number: int, call: calls.Call, callback: linkinterfaces.OnOutcome
    ):
        self.number = number
        self.call = call
        self.callback = callback
        self.written = False


class CallHandle(typing.NamedTuple):
    """Identifies a call submitted to a peer, to cancel it."""

    link: "Link"
    number: int

    def cancel(self) -> None:
        """Cancels the call, whose outcome is no longer awaited."""
        self.link.cancel(self.number)


class Link:
    """The connection to one peer, opened on demand."""

    def __init__(
        self,
        statement: frames.Statement,
        parts: linkinterfaces.Dependencies,
        numbers: typing.Any,
    ):
        self._statement = statement
        self._parts = parts
        self._numbers = numbers
        self._sent: dict[int, _PendingCall] = {}
        self._stream: streams.Stream | None = None
        self._dialing = False
        self._handshake_done = False
        # Boot numbers of the peer and of this daemon at the last handshake.
        self._boots = _NO_BOOTS
        self._own_boot = 0
        self._received = 0
        self._backoff_s = _MIN_BACKOFF_S
        self._last_received_s = 0.0
        self._last_ping_s = 0.0
        self._progress = (0, 0)
        self._last_progress_s = 0.0
        self._last_used_s = parts.clock.now_s()
        # None unless the last attempt to reach the peer failed.
        self._last_failure_s: float | None = None
        self._persistent = False
        self._following = False
        self._queued: list[frames.Message] = []

    @property
    def daemon(self) -> str:
        """The peer's name."""
        return self._statement.daemon

    @property
    def remote(self) -> bool:
        """Whether the peer is in another data centre."""
        own = self._parts.own.statement
        return self._statement.data_centre != own.data_centre

    @property
    def connected(self) -> bool:
        """Whether the handshake is complete, so that calls can be sent."""
        return self._handshake_done

    @property
    def following(self) -> bool:
        """Whether the records were requested on this connection."""
        return self._following

    @property
    def failing(self) -> bool:
        """Whether the last attempt to reach the peer failed."""
        return self._last_failure_s is not None

    @property
    def ping_wait_s(self) -> float:
        """How long the last ping has been unanswered, in seconds."""
        if (
            not self._handshake_done
            or self._last_ping_s <= self._last_received_s
        ):
            return 0.0
        since_s = max(self._last_ping_s, self._last_progress_s)
        return self._parts.clock.now_s() - since_s

    def set_persistent(self, wanted: bool) -> None:
        """Sets whether the connection stays open while unused."""
        self._persistent = wanted
        if wanted:
            self._dial()

    def follow(self, position: frames.Position | None) -> None:
        """Requests the records since a position, and all later ones."""
        if self._handshake_done:
            self._following = True
            self._stream.send(frames.Follow(position))

    def update(self, statement: frames.Statement) -> None:
        """Applies the peer's newest statement."""
        old, self._statement = self._statement, statement
        if (old.host, old.port) != (statement.host, statement.port):
            self._drop()
        if statement.boot != old.boot:
            self._last_failure_s = None

    def submit(
        self, call: calls.Call, callback: linkinterfaces.OnOutcome
    ) -> CallHandle:
        """Submits a call to the peer; the callback receives its outcome."""
        number = next(self._numbers)
        if self._just_failed():
            # Waiting for another attempt would only delay the call. One is
            # under way, or is made by the first call after `_FAIL_FAST_S`.
            callback(outcomes.NotRun(outcomes.UNREACHABLE))
            return CallHandle(self, number)
        sent = _PendingCall(number, call, callback)
        self._sent[number] = sent
        self._last_used_s = self._parts.clock.now_s()
        if self._handshake_done:
            self._write(sent)
        else:
            self._dial()
        return CallHandle(self, number)

    def cancel(self, number: int) -> None:
        """Cancels a call whose outcome is no longer awaited."""
        sent = self._sent.pop(number, None)
        if sent is not None and sent.written and self._handshake_done:
            self._stream.send(frames.Cancel(number))

    def send_if_connected(self, message: frames.Message) -> None:
        """Sends a message that isn't about calls if the peer is connected."""
        if self._handshake_done:
            self._stream.send(message)

    def send_when_connected(self, message: frames.Message) -> None:
        """Sends a message now, or as soon as the peer is connected."""
        if self._handshake_done:
            self._stream.send(message)
        else:
            # Only the newest message of each type is still valid by then.
            kept = [
                one for one in self._queued if type(one) is not type(message)
            ]
            self._queued = [*kept, message]
            self._dial()

    def tick(self) -> None:
        """Sends pings, drops unresponsive connections, closes unused ones."""
        now_s = self._parts.clock.now_s()
        if self._stream is None:
            if self._persistent:
                self._dial()
            return
        self._note_progress(now_s)
        if self._last_ping_s > self._last_received_s:
            since_s = max(self._last_ping_s, self._last_progress_s)
            if now_s - since_s > _PING_TIMEOUT_S:
                _log.warning(
                    "peer_silent", peer=self.daemon, in_flight=len(self._sent)
                )
                self._last_failure_s = now_s
                self._drop()
            return
        busy = self._persistent or self._sent
        if not busy:
            if now_s - self._last_used_s > _IDLE_TIMEOUT_S:
                self._stream.close()
            return
        if self._is_ping_due(now_s):
            self._ping()

    def _note_progress(self, now_s: float) -> None:
        """Notes whether a ping or pong may be behind a large message."""
        progress = self._stream.progress
        # While it waits for room it is this daemon that doesn't read.
        if progress != self._progress or self._stream.waiting:
            self._progress = progress
            self._last_progress_s = now_s

    def _is_ping_due(self, now_s: float) -> bool:
        silent_s = now_s - max(self._last_ping_s, self._last_received_s)
        if silent_s >= _PING_INTERVAL_S:
            return True
        # Other messages show that the connection works, but not what a pong
        # tells.
        return now_s - self._last_ping_s >= _MAX_PING_INTERVAL_S

    def close(self) -> None:
        """Closes the connection."""
        self._persistent = False
        if self._stream is not None:
            self._stream.close()

    def _just_failed(self) -> bool:
        if self._handshake_done or self._last_failure_s is None:
            return False
        return self._parts.clock.now_s() - self._last_failure_s < _FAIL_FAST_S

    def _ping(self) -> None:
        self._last_ping_s = self._parts.clock.now_s()
        ping = frames.Ping(self._parts.own.version, self._received)
        self._stream.send(ping)

    def _dial(self) -> None:
        if self._dialing or self._stream is not None:
            return
        self._dialing = True
        self._parts.start(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        address = (self._statement.host, self._statement.port)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, stream = await loop.create_connection(
                    lambda: streams.Stream(
                        self._on_message,
                        self._on_end,
                        self._parts.traffic,
                        streams.Reserve(
                            self._parts.budget,
                            bytebudget.Use.ANSWERS,
                            refuses=False,
                        ),
                    ),
                    *address,
                )
        except _DIAL_ERRORS as error:
            self._dialing = False
            self._note_failure(error)
            return
        self._dialing = False
        self._stream = stream
        stream.peer = self.daemon
        self._received = 0
        own = self._parts.own
        stream.remote = self.remote
        known = self._parts.events.terms_of(self.daemon)
        # Increases within a start if the store knows a higher one.
        self._own_boot = own.statement.boot
        stream.send(frames.Hello(own.statement, own.version, own.feed, known))
        self._last_received_s = self._parts.clock.now_s()
        self._last_ping_s = self._last_received_s + 1e-6

    def _note_failure(self, error: Exception) -> None:
        if self._last_failure_s is None:
            _log.warning(
                "peer_lost",
                peer=self.daemon,
                error=repr(error),
                in_flight=len(self._sent),
            )
        self._last_failure_s = self._parts.clock.now_s()
        refused = isinstance(error, ConnectionRefusedError)
        for sent in list(self._sent.values()):
            if not sent.written:
                self._settle(sent, outcomes.NotRun(outcomes.UNREACHABLE))
            elif refused or sent.call.idempotent:
                # The process that had the call is gone, or waiting for it is
                # pointless, since the call may run again elsewhere.
                self._settle(sent, outcomes.Lost(outcomes.DAEMON_LOST))
        if self._sent or self._persistent:
            self._parts.timers.after(self._backoff_s, self._dial)
            self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)

    def _on_message(self, stream: streams.Stream, message: typing.Any) -> None:
        if stream is not self._stream:
            return
        self._last_received_s = self._parts.clock.now_s()
        match message:
            case frames.Done(number=number, outcome=outcome, load=load):
                self._received += 1
                self._parts.events.on_load(self.daemon, load)
                sent = self._sent.get(number)
                if sent is not None and sent.written:
                    self._settle(sent, outcome)
                if _is_large(outcome):
                    # The peer holds it until it is acknowledged.
                    self._ping()
            case framedecoder.Dropped(tag=frames.DONE_TAG, number=number):
                self._received += 1
                sent = self._sent.get(number)
                if sent is not None and sent.written:
                    self._settle(sent, outcomes.Lost(outcomes.MEMORY))
            case frames.Pong(statement=statement, version=version, load=load):
                if statement is not None:
                    self._parts.events.on_statement(statement, self.daemon)
                self._parts.events.on_load(self.daemon, load)
                self._parts.events.on_version(self, version)
                self._parts.events.on_feed(self, message.feed)
            case frames.Hello():
                self._on_hello(message)
            case _:
                self._parts.events.on_control_message(
                    stream.send, self.daemon, message
                )

    def _on_hello(self, message: frames.Hello) -> None:
        if self._last_failure_s is not None:
            _log.info("peer_regained", peer=self.daemon)
        self._last_failure_s = None
        self._backoff_s = _MIN_BACKOFF_S
        self._handshake_done = True
        self._parts.events.on_hello(message)
        self._parts.events.on_statement(message.statement, self.daemon)
        self._parts.events.on_version(self, message.version)
        self._parts.events.on_feed(self, message.feed)
        self._parts.events.on_connect(self._stream.send)
        self._resume(message.statement.boot)
        for other in self._queued:
            self._stream.send(other)
        self._queued.clear()

    def _resume(self, boot: int) -> None:
        boots = (boot, self._own_boot)
        # The peer takes another boot number of this daemon for a restart too.
        restarted = self._boots not in (_NO_BOOTS, boots)
        self._boots = boots
        written = [sent for sent in self._sent.values() if sent.written]
        unwritten = [sent for sent in self._sent.values() if not sent.written]
        if restarted:
            for sent in written:
                self._settle(sent, outcomes.Lost(outcomes.DAEMON_LOST))
        elif written:
            # This must precede any new call: the peer takes an unknown number
            # below the last one it received for a call that it has forgotten.
            asked = [sent.number for sent in written]
            self._stream.send(frames.Resume(asked))
        for sent in unwritten:
            self._write(sent)

    def _write(self, sent: _PendingCall) -> None:
        call = sent.call
        sent.written = True
        self._stream.send(
            frames.Run(
                sent.number,
                call.request_id,
                call.method,
                call.target,
                call.host,
                call.head,
                call.body,
                call.service,
                call.route,
                call.idempotent,
                call.priority,
                call.client_account,
                call.deadline_s - self._parts.clock.now_s(),
                call.target_latency_s,
            )
        )

    def _settle(self, sent: _PendingCall, outcome: outcomes.Outcome) -> None:
        if self._sent.pop(sent.number, None) is not None:
            sent.callback(outcome)

    def _drop(self) -> None:
        if self._stream is not None:
            self._stream.abort()
            self._on_end(self._stream)

    def _on_end(self, stream: streams.Stream) -> None:
        if stream is not self._stream:
            return
        was_connected = self._handshake_done
        self._stream = None
        self._following = False
        self._handshake_done = False
        if not was_connected:
            self._note_failure(ConnectionResetError("closed before Hello"))
        elif self._sent or self._persistent:
            self._dial()


def _is_large(outcome: outcomes.Outcome) -> bool:
    match outcome:
        case outcomes.Ran(body=body):
            return len(body) > bytebudget.SMALL_BYTES
    return False
