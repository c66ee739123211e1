"""Receives calls from peers over the transport and sends the answers back."""

import asyncio
import functools
import hashlib

from savorybend.internal import bodies
from savorybend.internal import calls
from savorybend.internal import errors
from savorybend.internal import peers
from savorybend.internal import timers
from savorybend.internal.wire import calls as wire

# Time after the deadline for the target to answer a late call itself.
_LATE_ANSWER_GRACE_S = 1.0

_StreamKey = tuple[str, int]


class _IncomingCall:
    """A call that a peer forwarded to this daemon."""

    def __init__(self, body: bodies.Body):
        self.body = body
        self.window = bodies.SendWindow()
        self.task: asyncio.Task | None = None
        self.expiry: timers.Subscription | None = None

    def end(self) -> None:
        """Cancels the deadline timer."""
        if self.expiry is not None:
            self.expiry.cancel()


class Receiver:
    """Executes the calls of peers on a target of this daemon."""

    def __init__(
        self,
        transport: peers.Transport,
        timer_service: timers.TimerService,
        target: calls.Target,
    ):
        self._transport = transport
        self._timers = timer_service
        self._clock = timer_service.clock
        self._target = target
        self._incoming: dict[_StreamKey, _IncomingCall] = {}
        transport.subscribe(wire.CallStart, self._on_start)
        transport.subscribe(wire.CallChunk, self._on_chunk)
        transport.subscribe(wire.CallCancel, self._on_cancel)
        transport.subscribe(wire.AnswerCredit, self._on_credit)
        transport.subscribe_breaks(self._on_break)

    @property
    def in_flight(self) -> int:
        """Number of calls of peers that are not answered in full."""
        return len(self._incoming)

    def _on_start(self, peer: str, message: wire.CallStart) -> None:
        key = (peer, message.stream)
        if key in self._incoming:
            return
        body: bodies.Body
        if message.last:
            body = bodies.WholeBody(message.data)
        else:
            body = bodies.PipedBody(lambda size: self._grant(key, size))
        incoming = _IncomingCall(body)
        self._incoming[key] = incoming
        incoming.expiry = self._timers.after(
            message.head.timeout_s + _LATE_ANSWER_GRACE_S,
            functools.partial(self._expire, key),
        )
        incoming.task = asyncio.create_task(
            self._run(key, incoming, message.head)
        )

    def _on_chunk(self, peer: str, message: wire.CallChunk) -> None:
        incoming = self._incoming.get((peer, message.stream))
        if incoming and isinstance(incoming.body, bodies.PipedBody):
            incoming.body.feed(message.data, message.last)

    def _on_credit(self, peer: str, message: wire.AnswerCredit) -> None:
        incoming = self._incoming.get((peer, message.stream))
        if incoming is not None:
            incoming.window.grant(message.size)

    def _on_cancel(self, peer: str, message: wire.CallCancel) -> None:
        self._cancel((peer, message.stream))

    def _on_break(self, peer: str) -> None:
        for key in list(self._incoming):
            if key[0] == peer:
                self._cancel(key)

    def _cancel(self, key: _StreamKey) -> None:
        incoming = self._incoming.pop(key, None)
        if incoming is not None and incoming.task is not None:
            incoming.task.cancel()

    def _expire(self, key: _StreamKey) -> None:
        # The target ends a late call itself. This cancels an answer whose body
        # is still being sent, since its reader has stopped reading.
        self._cancel(key)

    def _grant(self, key: _StreamKey, size: int) -> None:
        peer, stream = key
        try:
            self._transport.send(peer, wire.CallCredit(stream, size))
        except errors.PeerUnreachableError:
            self._cancel(key)

    async def _run(
        self, key: _StreamKey, incoming: _IncomingCall, head: wire.CallHead
    ) -> None:
        try:
            answer = await self._target.execute(
                self._decode_call(head), incoming.body
            )
            await self._reply(key, incoming, answer)
        except errors.PeerUnreachableError:
            # The peer is unreachable; it looks the answer up by request ID
            # when it is back.
            return
        finally:
            incoming.end()
            # A restarted peer may have begun another call with this stream
            # number.
            if self._incoming.get(key) is incoming:
                del self._incoming[key]

    def _decode_call(self, head: wire.CallHead) -> calls.Call:
        return calls.Call(
            head.request_id,
            head.client_account,
            head.route,
            head.service,
            head.priority,
            head.idempotent,
            head.method,
            head.target,
            head.headers,
            self._clock.now_s() + head.timeout_s,
            head.retries,
            head.depth,
            head.key_id,
            head.repeatable,
        )

    async def _reply(
        self, key: _StreamKey, incoming: _IncomingCall, answer: calls.Answer
    ) -> None:
        peer, stream = key
        head = wire.AnswerHead(
            answer.status,
            answer.headers,
            answer.outcome.value,
            answer.reason,
            answer.retry_after_s,
            answer.decided_by,
            answer.retries_spent,
            answer.effects,
            answer.threshold,
        )
        data = answer.body.whole
        whole = data is not None
        message = wire.AnswerStart(stream, head, data or b"", whole)
        self._transport.send(peer, message)
        if whole:
            return
        try:
            await self._send_body(key, incoming.window, answer.body)
        except BaseException:
            # Frees the backend server's slot, which is held until the body
            # ends.
            answer.body.abandon()
            raise

    async def _send_body(
        self, key: _StreamKey, window: bodies.SendWindow, body: bodies.Body
    ) -> None:
        peer, stream = key
        digest = hashlib.blake2b()
        length = 0
        failed = False
        try:
            while data := await body.read():
                for part in bodies.split(data):
                    await window.take(len(part))
                    digest.update(part)
                    length += len(part)
                    chunk = wire.AnswerChunk(stream, part, False)
                    self._transport.send(peer, chunk)
        except errors.AnswerLostError:
            failed = True
        end = wire.AnswerChunk(
            stream, b"", True, length, digest.digest(), failed
        )
        self._transport.send(peer, end)


def create_receiver(
    transport: peers.Transport,
    timer_service: timers.TimerService,
    target: calls.Target,
) -> Receiver:
    """Returns a receiver that executes calls on `target`."""
    return Receiver(transport, timer_service, target)
