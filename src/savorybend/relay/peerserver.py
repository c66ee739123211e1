"""Connections opened by other daemons, and the calls received on them."""

import collections
import typing

from savorybend.relay import bytebudget
from savorybend.relay import calls
from savorybend.relay import framedecoder
from savorybend.relay import frames
from savorybend.relay import linkinterfaces
from savorybend.relay import outcomes
from savorybend.relay import streams

# How long outcomes are retained for a sender whose connection was lost.
_OUTCOME_RETENTION_S = 6.0


class CallRunner(typing.Protocol):
    """Executes calls on this daemon's backend server."""

    def submit(
        self, call: calls.Call, callback: linkinterfaces.OnOutcome
    ) -> typing.Any:
        """Executes a call; returns a handle with `cancel`."""


class _AcceptedCall:
    """A call received from a peer."""

    __slots__ = ("handle", "outcome", "stream", "retained_until_s")

    def __init__(self, stream: streams.Stream):
        self.handle: typing.Any = None
        self.outcome: outcomes.Outcome | None = None
        self.stream = stream
        self.retained_until_s = 0.0


class PeerServer:
    """Serves the connections opened by peers, and the calls on them."""

    def __init__(self, parts: linkinterfaces.Dependencies, server: CallRunner):
        self._parts = parts
        self._server = server
        self._streams: dict[str, streams.Stream] = {}
        self._boots: dict[str, int] = {}
        self._calls: dict[tuple[str, int], _AcceptedCall] = {}
        # With the call, since an earlier start may have had the same number.
        self._finished: collections.deque[
            tuple[tuple[str, int], _AcceptedCall]
        ] = collections.deque()
        # By name and boot number of the sender.
        self._last_numbers: dict[tuple[str, int], int] = {}

    @property
    def busy(self) -> int:
        """Number of calls of peers that are under way."""
        return sum(1 for one in self._calls.values() if one.outcome is None)

    @property
    def writing(self) -> int:
        """Number of connections with messages that wait to be written."""
        return sum(one.writing for one in self._streams.values())

    def create(self) -> streams.Stream:
        """Returns the protocol for a new connection."""
        return streams.Stream(
            self._on_message,
            self._on_end,
            self._parts.traffic,
            streams.Reserve(
                self._parts.budget, bytebudget.Use.REQUESTS, refuses=True
            ),
        )

    def announce(self) -> None:
        """Sends the current statement, version and load to connected peers."""
        for stream in self._streams.values():
            if not stream.closed:
                self._send_pong(stream)

    def push(self, message: frames.Message) -> None:
        """Sends a message to the peers that follow this daemon's records."""
        for stream in list(self._streams.values()):
            if stream.follows and not stream.closed:
                stream.send(message)

    def sweep(self) -> None:
        """Deletes outcomes whose retention time is over."""
        now_s = self._parts.clock.now_s()
        while self._finished:
            key, accepted = self._finished[0]
            if self._calls.get(key) is accepted:
                if accepted.retained_until_s > now_s:
                    break
                del self._calls[key]
            self._finished.popleft()

    def close(self) -> None:
        """Closes all connections after pending writes."""
        for stream in list(self._streams.values()):
            stream.close()

    def _on_message(self, stream: streams.Stream, message: typing.Any) -> None:
        match message:
            case frames.Run():
                self._on_run(stream, message)
            case framedecoder.Dropped(tag=frames.RUN_TAG, number=number):
                self._on_dropped(stream, number)
            case frames.Cancel(number=number):
                self._on_cancel(stream, number)
            case frames.Ping(received=received):
                self._on_acknowledged(stream, received)
                self._send_pong(stream)
            case frames.Hello():
                self._on_hello(stream, message)
            case frames.Resume(numbers=numbers):
                self._on_resume(stream, numbers)
            case frames.Follow():
                stream.follows = True
                self._parts.events.on_follow(message, stream.send)
            case _:
                self._parts.events.on_control_message(
                    stream.send, stream.peer, message
                )

    def _on_hello(self, stream: streams.Stream, message: frames.Hello) -> None:
        name = message.statement.daemon
        # Before the connection is known: a change is announced on all others.
        self._parts.events.on_hello(message)
        old = self._streams.get(name)
        stream.peer = name
        own = self._parts.own
        stream.remote = message.statement.data_centre != (
            own.statement.data_centre
        )
        self._streams[name] = stream
        if old is not None:
            # Data in flight on the old connection must not be read, since the
            # sender is about to be told that it never arrived.
            old.abort()
        self._note_boot(name, message.statement.boot)
        known = self._parts.events.terms_of(name)
        stream.send(frames.Hello(own.statement, own.version, own.feed, known))
        stream.told = own.statement
        # A daemon without a feed is of a version that needs each statement.
        stream.told_once = message.feed is not None
        self._parts.events.on_connect(stream.send)
        self._parts.events.on_statement(message.statement, name)

    def _send_pong(self, stream: streams.Stream) -> None:
        own = self._parts.own
        statement: frames.Statement | None = own.statement
        if stream.told_once and statement is stream.told:
            statement = None
        else:
            stream.told = statement
        stream.send(frames.Pong(statement, own.version, own.load, own.feed))

    def _note_boot(self, name: str, boot: int) -> None:
        known = self._boots.get(name)
        self._boots[name] = boot
        if known in (None, boot):
            return
        self._abandon(name)
        # Late Hellos of earlier starts may precede another one of the newest
        # start, whose calls have arrived all the same.
        starts = [one for of, one in self._last_numbers if of == name]
        kept = {boot, max(starts, default=boot)}
        for start in starts:
            if start not in kept:
                del self._last_numbers[name, start]

    def _abandon(self, name: str) -> None:
        """Cancels and removes the calls of an earlier start of a peer."""
        for key in list(self._calls):
            if key[0] == name:
                self._forget(key)

    def _forget(self, key: tuple[str, int]) -> None:
        """Removes a call; cancels it if it is under way."""
        accepted = self._calls.pop(key, None)
        if accepted is None:
            return
        # The list of finished calls may have it for longer.
        accepted.outcome = None
        if accepted.handle is not None:
            accepted.handle.cancel()

    def _on_run(self, stream: streams.Stream, run: frames.Run) -> None:
        if self._streams.get(stream.peer) is not stream:
            return
        call = calls.Call()
        call.request_id = run.request_id
        call.method = run.method
        call.target = run.target
        call.host = run.host
        call.head = run.head
        call.body = run.body
        if len(run.body) <= bytebudget.COUNTED_BYTES:
            # Not a view, which would keep all that arrived with it.
            call.body = bytes(run.body)
        call.service = run.service
        call.route = run.route
        call.idempotent = run.idempotent
        call.priority = run.priority
        call.client_account = run.client_account
        call.deadline_s = self._parts.clock.now_s() + run.left_s
        call.target_latency_s = run.patience_s
        key = (stream.peer, run.number)
        self._last_numbers[stream.peer, self._boots[stream.peer]] = run.number
        accepted = _AcceptedCall(stream)
        self._calls[key] = accepted

        def on_outcome(outcome: outcomes.Outcome) -> None:
            self._finish(key, accepted, outcome)

        handle = self._server.submit(call, on_outcome)
        if accepted.outcome is None:
            accepted.handle = handle

    def _on_dropped(self, stream: streams.Stream, number: int) -> None:
        """Refuses a call that was dropped for want of room."""
        if self._streams.get(stream.peer) is not stream:
            return
        key = (stream.peer, number)
        self._last_numbers[stream.peer, self._boots[stream.peer]] = number
        accepted = _AcceptedCall(stream)
        self._calls[key] = accepted
        self._finish(key, accepted, outcomes.NotRun(outcomes.MEMORY))

    def _finish(
        self,
        key: tuple[str, int],
        accepted: _AcceptedCall,
        outcome: outcomes.Outcome,
    ) -> None:
        accepted.outcome = outcome
        accepted.handle = None
        if self._calls.get(key) is not accepted:
            # It was cancelled, or an earlier start of the peer sent it; that
            # peer's numbers begin anew.
            return
        accepted.retained_until_s = (
            self._parts.clock.now_s() + _OUTCOME_RETENTION_S
        )
        self._finished.append((key, accepted))
        self._send(key, accepted)

    def _send(self, key: tuple[str, int], accepted: _AcceptedCall) -> None:
        if not accepted.stream.closed:
            done = frames.Done(key[1], accepted.outcome, self._parts.own.load)
            accepted.stream.send(done)
            accepted.stream.answered.append(key)

    def _on_acknowledged(self, stream: streams.Stream, received: int) -> None:
        while stream.acknowledged < received and stream.answered:
            self._forget(stream.answered.popleft())
            stream.acknowledged += 1

    def _on_cancel(self, stream: streams.Stream, number: int) -> None:
        self._forget((stream.peer, number))

    def _on_resume(self, stream: streams.Stream, numbers: list[int]) -> None:
        for number in numbers:
            accepted = self._calls.get((stream.peer, number))
            if accepted is None:
                self._send_unknown(stream, number)
                continue
            accepted.stream = stream
            if accepted.outcome is not None:
                self._send((stream.peer, number), accepted)

    def _send_unknown(self, stream: streams.Stream, number: int) -> None:
        outcome: outcomes.Outcome = outcomes.Lost(outcomes.DAEMON_LOST)
        start = (stream.peer, self._boots.get(stream.peer, 0))
        if number > self._last_numbers.get(start, 0):
            # The call never arrived, and can't arrive any more.
            outcome = outcomes.NotRun(outcomes.UNREACHABLE)
        stream.send(frames.Done(number, outcome, self._parts.own.load))
        stream.answered.append((stream.peer, number))

    def _on_end(self, stream: streams.Stream) -> None:
        if self._streams.get(stream.peer) is stream:
            del self._streams[stream.peer]
