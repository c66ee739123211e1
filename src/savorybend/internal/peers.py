"""Sends messages to other daemons and dispatches those received.

Messages that belong to calls go over a link, which keeps each one until the
peer acknowledges it and resends it over a new connection when the current one
goes silent. All other messages are sent once; their senders retry if needed.
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
# Idle connections are closed: one costs 30 KB at each end, and opening a new
# one takes half a millisecond.
_SWEEP_S = 60.0

_KEPT_KINDS = frozenset(typing.get_args(calls.Message))

Handler = collections.abc.Callable[[str, typing.Any], None]
BreakListener = collections.abc.Callable[[str], None]

_log = logs.get()


class Transport:
    """Exchanges messages between this daemon and the others."""

    def __init__(
        self, directory: members.Directory, timer_service: timers.TimerService
    ):
        self._directory = directory
        self._timers = timer_service
        self._handlers: dict[type, Handler] = {}
        self._break_listeners: list[BreakListener] = []
        self._links: dict[str, links.Link] = {}
        # Peers whose links have a receipt to receive or to send.
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
        """The number of messages that peers haven't acknowledged."""
        return sum(self._links[peer].waiting for peer in self._active)

    def set_connections(self, opened: connections.Connections) -> None:
        """Sets the connections that messages are sent over."""
        self._connections = opened

    def bind(self, address: str) -> None:
        """Accepts connections at `IP:PORT`."""
        self._connections.bind(address)

    def subscribe(self, kind: type, handler: Handler) -> None:
        """Calls `handler(peer, message)` for each message of type `kind`."""
        self._handlers[kind] = handler

    def subscribe_breaks(self, listener: BreakListener) -> None:
        """Calls `listener(peer)` when call messages are permanently lost."""
        self._break_listeners.append(listener)

    def send(self, peer: str, message: codec.Message) -> None:
        """Sends a message to the daemon called `peer`.

        Raises:
            errors.PeerUnreachableError: The message was not sent and won't
                be: the daemon is unknown, or its send queue is full.
        """
        if type(message) in _KEPT_KINDS:
            self._send_kept(peer, message)
        else:
            self._connections.send(peer, codec.encode(message))
        metrics.SENT.inc()

    def renew(self, peer: str) -> None:
        """Replaces the connection to a peer, which may have gone silent.

        Does nothing while call messages are unacknowledged, since their link
        then detects a silent connection itself.
        """
        link = self._link(peer)
        if link is None or link.waiting:
            return
        try:
            self._connections.reopen(peer)
            # The peer switches to the connection that the sync arrives on.
            self._connections.send(peer, link.sync())
        except errors.PeerUnreachableError as error:
            _log.info("peer_unreachable", peer=peer, error=str(error))

    def close(self) -> None:
        """Closes every connection."""
        self._connections.close()

    def receive(
        self, peer: str, data: bytes, routing_id: connections.RoutingId
    ) -> None:
        """Handles a message that was received over a connection."""
        metrics.RECEIVED.inc()
        metrics.RECEIVED_BYTES.inc(len(data))
        try:
            message = codec.decode(data)
        except errors.InvalidMessageError as error:
            self._refuse(peer, "garbled", error)
            return
        match message:
            case wire.Numbered():
                self._on_numbered(peer, message, routing_id)
            case wire.Receipt():
                self._on_receipt(peer, message)
            case wire.Sync():
                self._on_sync(peer, message, routing_id)
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
                f"daemon {peer!r} has not received "
                f"{links.MAX_UNACKNOWLEDGED_BYTES} bytes yet: choose another"
            )
        data = link.add(message)
        self._watch(peer)
        try:
            self._connections.send(peer, data)
        except errors.PeerUnreachableError:
            # The link keeps the message and resends it on request.
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
        self,
        peer: str,
        message: wire.Numbered,
        routing_id: connections.RoutingId,
    ) -> None:
        link = self._link(peer)
        if link is None:
            return
        link.acknowledge(message.received)
        arrival = link.record_arrival(message.number)
        self._watch(peer)
        match arrival:
            case links.InOrder():
                self._hand_on(peer, message.message)
            case links.OutOfOrder():
                asked = link.ask_resend()
                if asked is not None:
                    self._connections.answer(peer, asked, routing_id)
            case links.Duplicate():
                pass

    def _on_receipt(self, peer: str, message: wire.Receipt) -> None:
        link = self._link(peer)
        if link is None:
            return
        link.acknowledge(message.received)
        link.watch.answered(self._timers.clock.now_s())
        if message.resend:
            self._resend(peer, link, message.received)

    def _on_sync(
        self, peer: str, message: wire.Sync, routing_id: connections.RoutingId
    ) -> None:
        link = self._link(peer)
        if link is None:
            return
        # The peer sends a sync over the connection that it switched to. The
        # previous one may be silent without this end having detected it.
        self._connections.select_connection(peer, routing_id)
        if link.skip_to(message.first):
            self._broken(peer)
        resend = not link.has_all(message.last)
        self._connections.answer(peer, link.receipt(resend), routing_id)

    def _resend(self, peer: str, link: links.Link, received: int) -> None:
        try:
            if link.lost_after(received):
                # Tells the peer that some messages it waits for are lost.
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
        metrics.ABANDONED_LINKS.inc()
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
                    # The counters are kept, since the peer may only be paused.
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
        self._connections.close_idle(self._active)

    def _hand_on(self, peer: str, message: codec.Message) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(peer, message)
        except Exception as error:  # noqa: BLE001
            # An invalid message from one peer must not stop the handling
            # of messages from other peers.
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
    """Returns the transport of the daemon that owns `directory`."""
    transport = Transport(directory, timer_service)
    transport.set_connections(
        connections.create_connections(directory, keys, transport.receive)
    )
    return transport
