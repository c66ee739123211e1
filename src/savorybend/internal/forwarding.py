"""Forwards calls to peers over the transport and collects the answers."""

import asyncio
import functools
import hashlib
import itertools
import typing

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import errors
from savorybend.internal import outcomes
from savorybend.internal import peers
from savorybend.internal import timers
from savorybend.internal.wire import calls as wire


class _PendingCall:
    """A call that was forwarded to a peer and isn't answered in full."""

    __slots__ = ("answer", "body", "call", "digest", "expiry", "length")
    __slots__ += ("peer", "upload", "window")

    def __init__(self, peer: str, call: calls.Call, answer: asyncio.Future):
        self.peer = peer
        self.call = call
        self.answer = answer
        self.expiry: timers.Subscription | None = None
        self.upload: asyncio.Task | None = None
        self.window: bodies.SendWindow | None = None
        self.body: bodies.PipedBody | None = None
        self.digest: typing.Any = None
        self.length = 0

    def fail(self, error: Exception) -> None:
        """Fails the answer, or its body where the answer has begun."""
        if self.body is not None:
            self.body.fail(error)
        if not self.answer.done():
            self.answer.set_exception(error)

    def end(self) -> None:
        """Cancels the deadline timer and the body upload of the call."""
        if self.expiry is not None:
            self.expiry.cancel()
        if self.upload is not None:
            self.upload.cancel()


class Forwarder:
    """Forwards calls to peers and collects the answers."""

    def __init__(
        self, transport: peers.Transport, timer_service: timers.TimerService
    ):
        self._transport = transport
        self._timers = timer_service
        self._clock = timer_service.clock
        self._loop = asyncio.get_running_loop()
        self._streams = itertools.count(1)
        self._pending: dict[int, _PendingCall] = {}
        transport.subscribe(wire.AnswerStart, self._on_start)
        transport.subscribe(wire.AnswerChunk, self._on_chunk)
        transport.subscribe(wire.CallCredit, self._on_credit)
        transport.subscribe_breaks(self._on_break)

    def target(self, peer: str) -> calls.Target:
        """Returns a target that forwards calls to the daemon `peer`."""
        return _PeerTarget(self, peer)

    async def execute(
        self, peer: str, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the answer of the daemon `peer`.

        Where the peer gives none, the outcome is `not-run` if the call was not
        sent, and `unknown` if it was sent.
        """
        try:
            return await self.send(peer, call, body)
        except errors.PeerUnreachableError as error:
            return calls.create_not_run_answer(
                outcomes.refuse(outcomes.NO_BACKEND_SERVER, str(error)),
                call.request_id,
                self._transport.name,
            )

    async def send(
        self, peer: str, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the answer of the daemon `peer`.

        The outcome is `unknown` if the connection is lost, or the deadline
        passes, after the call was sent.

        Raises:
            errors.PeerUnreachableError: The call was not sent.
        """
        stream = next(self._streams)
        pending = _PendingCall(peer, call, self._loop.create_future())
        self._start(stream, peer, call, body)
        self._pending[stream] = pending
        left_s = call.deadline_s - self._clock.now_s()
        pending.expiry = self._timers.after(
            left_s, functools.partial(self._expire, stream)
        )
        if body.whole is None:
            pending.window = bodies.SendWindow()
            pending.upload = asyncio.create_task(
                self._send_body(stream, pending, body)
            )
        try:
            return await pending.answer
        except errors.AnswerLostError:
            self._forget(stream)
            return self._unknown(call, outcomes.ANSWER_LOST)
        except asyncio.CancelledError:
            self._cancel(stream)
            raise

    def _expire(self, stream: int) -> None:
        pending = self._cancel(stream)
        if pending is None:
            return
        if pending.answer.done():
            pending.fail(
                errors.AnswerLostError(
                    "the deadline passed before the end of the answer: give "
                    "the request a longer timeout"
                )
            )
            return
        pending.answer.set_result(
            self._unknown(pending.call, outcomes.TOO_LATE)
        )

    def _start(
        self, stream: int, peer: str, call: calls.Call, body: bodies.Body
    ) -> None:
        head = wire.CallHead(
            call.request_id,
            call.client_account,
            call.route,
            call.service,
            call.priority,
            call.idempotent,
            call.method,
            call.target,
            call.headers,
            call.deadline_s - self._clock.now_s(),
            call.retries,
            call.depth,
            call.key_id,
            call.repeatable,
        )
        data = body.whole
        whole = data is not None
        message = wire.CallStart(stream, head, data or b"", whole)
        self._transport.send(peer, message)

    async def _send_body(
        self, stream: int, pending: _PendingCall, body: bodies.Body
    ) -> None:
        try:
            await pending.window.take(0)
            while data := await body.read():
                for part in bodies.split(data):
                    await pending.window.take(len(part))
                    message = wire.CallChunk(stream, part, False)
                    self._transport.send(pending.peer, message)
            self._transport.send(
                pending.peer, wire.CallChunk(stream, b"", True)
            )
        except (errors.SavorybendError, OSError) as error:
            pending.upload = None
            self._cancel(stream)
            pending.fail(errors.AnswerLostError(f"body not sent: {error}"))

    def _on_start(self, peer: str, message: wire.AnswerStart) -> None:
        pending = self._find(peer, message.stream)
        if pending is None or pending.answer.done():
            return
        head = message.head
        outcome = outcomes.Outcome(head.outcome)
        if message.last:
            body: bodies.Body = bodies.WholeBody(message.data)
            self._forget(message.stream)
        else:
            body = self._open_body(message.stream, pending)
        pending.answer.set_result(
            calls.Answer(
                head.status,
                head.headers,
                outcome,
                head.reason,
                head.retry_after_s,
                head.decided_by,
                head.retries_spent,
                head.effects,
                head.threshold,
                body,
            )
        )

    def _open_body(
        self, stream: int, pending: _PendingCall
    ) -> bodies.PipedBody:
        def grant(size: int) -> None:
            try:
                self._transport.send(
                    pending.peer, wire.AnswerCredit(stream, size)
                )
            except errors.PeerUnreachableError as error:
                pending.fail(errors.AnswerLostError(str(error)))

        pending.digest = hashlib.blake2b()
        pending.body = bodies.PipedBody(
            grant, functools.partial(self._cancel, stream)
        )
        return pending.body

    def _on_chunk(self, peer: str, message: wire.AnswerChunk) -> None:
        pending = self._find(peer, message.stream)
        if pending is None or pending.body is None:
            return
        pending.digest.update(message.data)
        pending.length += len(message.data)
        if not message.last:
            pending.body.feed(message.data, False)
            return
        self._forget(message.stream)
        whole = (
            not message.failed
            and pending.length == message.length
            and pending.digest.digest() == message.digest
        )
        if whole:
            pending.body.feed(message.data, True)
        else:
            pending.body.fail(
                errors.AnswerLostError(
                    "the answer broke off: ask about the request by its ID"
                )
            )

    def _on_credit(self, peer: str, message: wire.CallCredit) -> None:
        pending = self._find(peer, message.stream)
        if pending is not None and pending.window is not None:
            pending.window.grant(message.size)

    def _on_break(self, peer: str) -> None:
        lost = errors.AnswerLostError(
            f"the connection to daemon {peer!r} is lost: ask about the "
            "request by its ID"
        )
        for stream, pending in list(self._pending.items()):
            if pending.peer == peer:
                self._forget(stream)
                pending.fail(lost)

    def _find(self, peer: str, stream: int) -> _PendingCall | None:
        pending = self._pending.get(stream)
        # Ignores messages about a call that was forwarded to another peer.
        if pending is None or pending.peer != peer:
            return None
        return pending

    def _cancel(self, stream: int) -> _PendingCall | None:
        pending = self._forget(stream)
        if pending is None:
            return None
        try:
            self._transport.send(pending.peer, wire.CallCancel(stream))
        except errors.PeerUnreachableError:
            # The peer cancels the call when it sees the connection break.
            return pending
        return pending

    def _forget(self, stream: int) -> _PendingCall | None:
        pending = self._pending.pop(stream, None)
        if pending is not None:
            pending.end()
        return pending

    def _unknown(
        self, call: calls.Call, reason: outcomes.Reason
    ) -> calls.Answer:
        return calls.create_unknown_answer(
            reason, call.request_id, self._transport.name
        )


class _PeerTarget(typing.NamedTuple):
    """A peer as the target of calls."""

    forwarder: Forwarder
    name: str

    async def execute(
        self, call: calls.Call, body: bodies.Body
    ) -> calls.Answer:
        """Returns the peer's answer."""
        return await self.forwarder.execute(self.name, call, body)


def create_forwarder(
    transport: peers.Transport, timer_service: timers.TimerService
) -> Forwarder:
    """Returns a forwarder over `transport`."""
    return Forwarder(transport, timer_service)
