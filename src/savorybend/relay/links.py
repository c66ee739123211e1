"""Connections to other daemons, and the calls that they were given.

The daemon that dials is the one that sends calls; the other one answers on
the same connection. After a connection is lost the sender asks on a new one
what became of its calls, so an answer that was ready isn't lost with it.
"""

import asyncio
import collections.abc
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import calls
from savorybend.relay import frames
from savorybend.relay import outcomes
from savorybend.relay import streams

_CONNECT_TIMEOUT_S = 0.6
_FIRST_BACKOFF_S = 0.1
_LONGEST_BACKOFF_S = 1.0
_PING_EVERY_S = 0.4
# A connection can go silent for good while new ones work; no answer to a
# ping for so long means that.
_SILENT_S = 1.0
_IDLE_S = 5.0
# So long after a failure the next one is taken for certain.
_FAILED_FRESH_S = 0.3

_log = structlog.get_logger()


OnOutcome = collections.abc.Callable[[outcomes.Outcome], None]


class Own(typing.Protocol):
    """What this daemon says of itself."""

    @property
    def statement(self) -> frames.Statement:
        """Its newest statement."""

    @property
    def version(self) -> int:
        """Its configuration's version; 0 for none."""

    @property
    def load(self) -> outcomes.Load:
        """How busy its backend server is."""


class Events(typing.Protocol):
    """What the links tell the rest of the daemon."""

    def on_statement(self, statement: frames.Statement, source: str) -> None:
        """A daemon said something of itself, or another one repeated it."""

    def on_version(self, link: "Link", version: int) -> None:
        """A peer has a configuration of this version."""

    def on_load(self, daemon: str, load: outcomes.Load) -> None:
        """A peer told how busy its backend server is."""

    def on_other(
        self, reply: collections.abc.Callable, daemon: str, message: typing.Any
    ) -> None:
        """A message came that isn't about calls."""


class _Sent:
    """A call that a peer was given."""

    __slots__ = ("number", "call", "callback", "written")

    def __init__(self, number: int, call: calls.Call, callback: OnOutcome):
        self.number = number
        self.call = call
        self.callback = callback
        self.written = False


class Handle(typing.NamedTuple):
    """A call given to a peer, to take it back by."""

    link: "Link"
    number: int

    def cancel(self) -> None:
        """Says that nobody waits for the call any more."""
        self.link.cancel(self.number)


class Link:
    """The connection to one peer, dialed when it is wanted."""

    def __init__(
        self, statement: frames.Statement, parts: "Parts", numbers: typing.Any
    ):
        self._statement = statement
        self._parts = parts
        self._numbers = numbers
        self._sent: dict[int, _Sent] = {}
        self._stream: streams.Stream | None = None
        self._dialing = False
        self._greeted = False
        self._peer_boot = 0
        self._received = 0
        self._backoff_s = _FIRST_BACKOFF_S
        self._heard_s = 0.0
        self._pinged_s = 0.0
        self._used_s = parts.clock.now_s()
        self._failed_s: float | None = None
        self._wanted = False
        self._others: list[frames.Message] = []

    @property
    def daemon(self) -> str:
        """The peer's name."""
        return self._statement.daemon

    @property
    def up(self) -> bool:
        """Whether calls can be sent at once."""
        return self._greeted

    @property
    def failing(self) -> bool:
        """Whether the peer couldn't be reached when last tried."""
        return self._failed_s is not None

    @property
    def silent_s(self) -> float:
        """How long a ping has been waiting for its answer, in seconds."""
        if not self._greeted or self._pinged_s <= self._heard_s:
            return 0.0
        return self._parts.clock.now_s() - self._pinged_s

    def keep(self, wanted: bool) -> None:
        """Says whether the connection is to stand also while unused."""
        self._wanted = wanted
        if wanted:
            self._dial()

    def update(self, statement: frames.Statement) -> None:
        """Takes the peer's newest statement."""
        old, self._statement = self._statement, statement
        if (old.host, old.port) != (statement.host, statement.port):
            self._drop()
        if statement.boot != old.boot:
            self._failed_s = None

    def submit(self, call: calls.Call, callback: OnOutcome) -> Handle:
        """Gives the peer a call; the callback gets what became of it."""
        number = next(self._numbers)
        if self._just_failed():
            # Waiting for another try would hold the call for nothing; the try
            # is under way, or is made by the first call after a while.
            callback(outcomes.NotRun(outcomes.UNREACHABLE))
            return Handle(self, number)
        sent = _Sent(number, call, callback)
        self._sent[number] = sent
        self._used_s = self._parts.clock.now_s()
        if self._greeted:
            self._write(sent)
        else:
            self._dial()
        return Handle(self, number)

    def cancel(self, number: int) -> None:
        """Says that nobody waits for a call any more."""
        sent = self._sent.pop(number, None)
        if sent is not None and sent.written and self._greeted:
            self._stream.send(frames.Cancel(number))

    def tell(self, message: frames.Message) -> None:
        """Sends a message that isn't about calls, if the peer is reached."""
        if self._greeted:
            self._stream.send(message)

    def tell_when_up(self, message: frames.Message) -> None:
        """Sends a message now, or as soon as the peer is reached."""
        if self._greeted:
            self._stream.send(message)
        else:
            # Only the newest of a kind is still true when the peer is reached.
            kept = [
                one for one in self._others if type(one) is not type(message)
            ]
            self._others = [*kept, message]
            self._dial()

    def tick(self) -> None:
        """Pings, gives silent connections up, closes unused ones."""
        now_s = self._parts.clock.now_s()
        if self._stream is None:
            if self._wanted:
                self._dial()
            return
        if self._pinged_s > self._heard_s:
            if now_s - self._pinged_s > _SILENT_S:
                _log.warning(
                    "peer_silent", peer=self.daemon, in_flight=len(self._sent)
                )
                self._failed_s = now_s
                self._drop()
            return
        busy = self._wanted or self._sent
        if not busy:
            if now_s - self._used_s > _IDLE_S:
                self._stream.close()
            return
        if now_s - self._pinged_s >= _PING_EVERY_S:
            self._ping()

    def close(self) -> None:
        """Ends the connection."""
        self._wanted = False
        if self._stream is not None:
            self._stream.close()

    def _just_failed(self) -> bool:
        if self._greeted or self._failed_s is None:
            return False
        return self._parts.clock.now_s() - self._failed_s < _FAILED_FRESH_S

    def _ping(self) -> None:
        self._pinged_s = self._parts.clock.now_s()
        ping = frames.Ping(self._parts.own.version, self._received)
        self._stream.send(ping)

    def _dial(self) -> None:
        if self._dialing or self._stream is not None:
            return
        self._dialing = True
        task = asyncio.get_running_loop().create_task(self._connect())
        self._parts.tasks.add(task)
        task.add_done_callback(self._parts.tasks.discard)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        address = (self._statement.host, self._statement.port)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, stream = await loop.create_connection(
                    lambda: streams.Stream(self._on_message, self._on_end),
                    *address,
                )
        except (OSError, TimeoutError) as error:
            self._dialing = False
            self._note_failure(error)
            return
        self._dialing = False
        self._stream = stream
        stream.peer = self.daemon
        self._received = 0
        own = self._parts.own
        stream.send(frames.Hello(own.statement, own.version))
        self._heard_s = self._parts.clock.now_s()
        self._pinged_s = self._heard_s + 1e-6

    def _note_failure(self, error: Exception) -> None:
        if self._failed_s is None:
            _log.warning(
                "peer_lost",
                peer=self.daemon,
                error=repr(error),
                in_flight=len(self._sent),
            )
        self._failed_s = self._parts.clock.now_s()
        refused = isinstance(error, ConnectionRefusedError)
        for sent in list(self._sent.values()):
            if not sent.written:
                self._settle(sent, outcomes.NotRun(outcomes.UNREACHABLE))
            elif refused or sent.call.idempotent:
                # The process that had it is gone, or is waited for in vain.
                self._settle(sent, outcomes.Lost(outcomes.DAEMON_LOST))
        if self._sent or self._wanted:
            self._parts.timers.after(self._backoff_s, self._dial)
            self._backoff_s = min(2 * self._backoff_s, _LONGEST_BACKOFF_S)

    def _on_message(self, stream: streams.Stream, message: typing.Any) -> None:
        if stream is not self._stream:
            return
        self._heard_s = self._parts.clock.now_s()
        match message:
            case frames.Done(number=number, outcome=outcome, load=load):
                self._received += 1
                self._parts.events.on_load(self.daemon, load)
                sent = self._sent.get(number)
                if sent is not None:
                    self._settle(sent, outcome)
            case frames.Pong(statement=statement, version=version, load=load):
                self._parts.events.on_statement(statement, self.daemon)
                self._parts.events.on_load(self.daemon, load)
                self._parts.events.on_version(self, version)
            case frames.Hello():
                self._on_hello(message)
            case _:
                self._parts.events.on_other(stream.send, self.daemon, message)

    def _on_hello(self, message: frames.Hello) -> None:
        if self._failed_s is not None:
            _log.info("peer_regained", peer=self.daemon)
        self._failed_s = None
        self._backoff_s = _FIRST_BACKOFF_S
        self._greeted = True
        self._parts.events.on_statement(message.statement, self.daemon)
        self._parts.events.on_version(self, message.version)
        self._resume(message.statement.boot)
        for other in self._others:
            self._stream.send(other)
        self._others.clear()

    def _resume(self, boot: int) -> None:
        restarted = self._peer_boot not in (0, boot)
        self._peer_boot = boot
        written = [sent for sent in self._sent.values() if sent.written]
        unwritten = [sent for sent in self._sent.values() if not sent.written]
        if restarted:
            for sent in written:
                self._settle(sent, outcomes.Lost(outcomes.DAEMON_LOST))
        elif written:
            # Before any new call: the peer takes a lower number than the
            # last one it saw, and doesn't know, for one that it forgot.
            asked = [sent.number for sent in written]
            self._stream.send(frames.Resume(asked))
        for sent in unwritten:
            self._write(sent)

    def _write(self, sent: _Sent) -> None:
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

    def _settle(self, sent: _Sent, outcome: outcomes.Outcome) -> None:
        if self._sent.pop(sent.number, None) is not None:
            sent.callback(outcome)

    def _drop(self) -> None:
        if self._stream is not None:
            self._stream.abort()
            self._on_end(self._stream)

    def _on_end(self, stream: streams.Stream) -> None:
        if stream is not self._stream:
            return
        greeted = self._greeted
        self._stream = None
        self._greeted = False
        if not greeted:
            self._note_failure(ConnectionResetError("no greeting"))
        elif self._sent or self._wanted:
            self._dial()


class Parts(typing.NamedTuple):
    """What links are made of."""

    own: Own
    events: Events
    clock: timers.Clock
    timers: timers.TimerService
    tasks: set
