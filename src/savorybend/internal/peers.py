"""Sends messages to daemons and hands on those that arrive.

Messages of calls go over a link, which keeps them until the peer has them
and sends them again over a new connection when the one in use goes silent.
All other messages are sent once: their senders repeat what still matters.
"""

import collections.abc
import typing

from savorybend.internal import connections
from savorybend.internal import errors
from savorybend.internal import linkmonitor
from savorybend.internal import links
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import metrics
from savorybend.internal import peerkeys
from savorybend.internal import timers
from savorybend.internal.wire import calls
from savorybend.internal.wire import codec
from savorybend.internal.wire import links as wire

_TICK_S = links.RECEIPT_AFTER_S
# A connection costs 30 KB at each end, a new one half a millisecond.
_SWEEP_S = 60.0

_KEPT_KINDS = frozenset(typing.get_args(calls.Message))

Handler = collections.abc.Callable[[str, typing.Any], None]
BreakListener = collections.abc.Callable[[str], None]

_log = logs.get()


class Transport:
    """The messages that one daemon exchanges with the others."""

    def __init__(
        self, directory: members.Directory, timer_service: timers.TimerService
    ):
        self._directory = directory
        self._timers = timer_service
        self._handlers: dict[type, Handler] = {}
        self._break_listeners: list[BreakListener] = []
        self._links: dict[str, links.Link] = {}
        # Peers whose links wait for a receipt or owe one.
        self._active: set[str] = set()
        self._ticking = False
        self._connections: connections.Connections | None = None
        directory.subscribe(self._on_change)
        timer_service.every(_SWEEP_S, self._sweep)

    @property
    def name(self) -> str:
        """The name of this daemon."""
        return self._directory.own.name

    @property
    def waiting(self) -> int:
        """Messages that peers haven't received yet."""
        return sum(self._links[peer].waiting for peer in self._active)

    def use(self, opened: connections.Connections) -> None:
        """Sends over these connections from now on."""
        self._connections = opened

    def bind(self, address: str) -> None:
        """Takes connections at `IP:PORT`."""
        self._connections.bind(address)

    def subscribe(self, kind: type, handler: Handler) -> None:
        """Calls `handler(peer, message)` for each message of a kind."""
        self._handlers[kind] = handler

    def subscribe_breaks(self, listener: BreakListener) -> None:
        """Calls `listener(peer)` when messages of calls are lost for good."""
        self._break_listeners.append(listener)

    def send(self, peer: str, message: codec.Message) -> None:
        """Sends a message to the daemon called `peer`.

        Raises:
            errors.PeerUnreachableError: The message was not sent and won't
                be: the daemon is unknown, or its connection takes no more.
        """
        if type(message) in _KEPT_KINDS:
            self._send_kept(peer, message)
        else:
            self._connections.send(peer, codec.encode(message))
        metrics.SENT.inc()

    def renew(self, peer: str) -> None:
        """Goes over to a new connection, in case the one in use is silent.

        Where messages of calls wait, their link sees to it.
        """
        link = self._link(peer)
        if link is None or link.waiting:
            return
        try:
            self._connections.reopen(peer)
            # The peer goes over to the connection that it is asked on.
            self._connections.send(peer, link.sync())
        except errors.PeerUnreachableError as error:
            _log.info("peer_unreachable", peer=peer, error=str(error))

    def close(self) -> None:
        """Closes every connection."""
        self._connections.close()

    def receive(self, peer: str, data: bytes, way: connections.Way) -> None:
        """Takes a message that arrived over a connection."""
        metrics.RECEIVED.inc()
        metrics.RECEIVED_BYTES.inc(len(data))
        try:
            message = codec.decode(data)
        except errors.InvalidMessageError as error:
            self._refuse(peer, "garbled", error)
            return
        match message:
            case wire.Numbered():
                self._on_numbered(peer, message, way)
            case wire.Receipt():
                self._on_receipt(peer, message)
            case wire.Sync():
                self._on_sync(peer, message, way)
            case _:
                self._hand_on(peer, message)

    def _send_kept(self, peer: str, message: calls.Message) -> None:
        link = self._link(peer)
        if link is None or not self._directory.get(peer):
            raise errors.PeerUnreachableError(
                f"daemon {peer!r} is not known: choose another"
            )
        if link.full and isinstance(message, calls.CallStart):
            raise errors.PeerUnreachableError(
                f"daemon {peer!r} has not received {links.KEPT_BYTES} bytes "
                "yet: choose another"
            )
        data = link.add(message)
        self._watch(peer)
        try:
            self._connections.send(peer, data)
        except errors.PeerUnreachableError:
            # The link has it, and sends it again when the peer asks.
            return

    def _link(self, peer: str) -> links.Link | None:
        link = self._links.get(peer)
        if link is not None:
            return link
        record = self._directory.get(peer)
        if not record:
            return None
        link = links.create_link(record.public_key)
        self._links[peer] = link
        return link

    def _on_numbered(
        self, peer: str, message: wire.Numbered, way: connections.Way
    ) -> None:
        link = self._link(peer)
        if link is None:
            return
        link.settle(message.received)
        arrival = link.arrived(message.number)
        self._watch(peer)
        match arrival:
            case links.Next():
                self._hand_on(peer, message.message)
            case links.Early():
                asked = link.ask_resend()
                if asked is not None:
                    self._connections.answer(peer, asked, way)
            case links.Repeated():
                pass

    def _on_receipt(self, peer: str, message: wire.Receipt) -> None:
        link = self._link(peer)
        if link is None:
            return
        link.settle(message.received)
        link.watch.answered(self._timers.clock.now_s())
        if message.resend:
            self._resend(peer, link, message.received)

    def _on_sync(
        self, peer: str, message: wire.Sync, way: connections.Way
    ) -> None:
        link = self._link(peer)
        if link is None:
            return
        # The peer asks over the connection that it has gone over to; the
        # other one may be silent without this end having noticed.
        self._connections.adopt(peer, way)
        if link.skip_to(message.first):
            self._broken(peer)
        resend = not link.has_all(message.last)
        self._connections.answer(peer, link.receipt(resend), way)

    def _resend(self, peer: str, link: links.Link, received: int) -> None:
        try:
            if link.lost_after(received):
                # The peer must learn that it waits for some in vain.
                self._connections.send(peer, link.sync())
            for data in link.waiting_data():
                self._connections.send(peer, data)
                metrics.RESENT.inc()
        except errors.PeerUnreachableError as error:
            _log.info("resend_stopped", peer=peer, error=str(error))

    def _watch(self, peer: str) -> None:
        self._active.add(peer)
        if not self._ticking:
            self._ticking = True
            self._timers.after(_TICK_S, self._tick)

    def _tick(self) -> None:
        now_s = self._timers.clock.now_s()
        for peer in list(self._active):
            link = self._links[peer]
            self._check(peer, link, now_s)
            if not link.waiting and not link.owes_receipt:
                self._active.discard(peer)
        self._ticking = bool(self._active)
        if self._ticking:
            self._timers.after(_TICK_S, self._tick)

    def _check(self, peer: str, link: links.Link, now_s: float) -> None:
        try:
            if link.owes_receipt:
                self._connections.send(peer, link.receipt())
            match link.watch.decide(now_s, link.oldest):
                case linkmonitor.Probe():
                    self._connections.send(peer, link.sync())
                case linkmonitor.Reopen():
                    self._reopen(peer, link)
                case linkmonitor.GiveUp():
                    self._abandon(peer, link)
                case linkmonitor.Wait():
                    pass
        except errors.PeerUnreachableError as error:
            _log.info("peer_unreachable", peer=peer, error=str(error))

    def _reopen(self, peer: str, link: links.Link) -> None:
        _log.warning("connection_silent", peer=peer, waiting=link.waiting)
        metrics.SILENT_CONNECTIONS.inc()
        self._connections.reopen(peer)
        self._connections.send(peer, link.sync())

    def _abandon(self, peer: str, link: links.Link) -> None:
        _log.warning("link_abandoned", peer=peer, waiting=link.waiting)
        metrics.ABANDONED.inc()
        link.abandon()
        self._broken(peer)

    def _broken(self, peer: str) -> None:
        for listener in self._break_listeners:
            listener(peer)

    def _on_change(self, change: members.Change) -> None:
        name = change.record.name
        link = self._links.get(name)
        match change:
            case members.MemberRemoved():
                self._connections.drop(name)
                if link is not None:
                    # The counters stay, in case the peer was only frozen.
                    link.abandon()
            case members.MemberUpdated(record=record):
                self._connections.drop_unless(name, record.public_key)
                if link is None or link.key == record.public_key:
                    return
                del self._links[name]
                self._active.discard(name)
        if link is not None:
            self._broken(name)

    def _sweep(self) -> None:
        self._connections.sweep(self._active)

    def _hand_on(self, peer: str, message: codec.Message) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(peer, message)
        except Exception as error:  # noqa: BLE001
            # One peer's nonsense must not stop what the others send.
            self._refuse(peer, "mishandled", error)

    def _refuse(self, peer: str, cause: str, error: Exception) -> None:
        metrics.peer_refusals(cause).inc()
        _log.warning(
            "message_refused", peer=peer, cause=cause, error=str(error)
        )


def create_transport(
    directory: members.Directory,
    keys: peerkeys.KeyPair,
    timer_service: timers.TimerService,
) -> Transport:
    """Returns a transport for the daemon that owns `directory`."""
    transport = Transport(directory, timer_service)
    transport.use(
        connections.create_connections(directory, keys, transport.receive)
    )
    return transport
