"""Connections between daemons: ZeroMQ, encrypted, opened on demand.

Each daemon binds one ROUTER socket. The first message to a peer opens a DEALER
socket to it, and the peer replies over the same connection, so that a pair has
one connection. Sockets are read from event loop reader callbacks, since futures
cost more than the messages themselves.
"""

import asyncio
import collections.abc

import zmq
import zmq.auth.asyncio
import zmq.utils.monitor

from savorybend.internal import errors
from savorybend.internal import members
from savorybend.internal import metrics
from savorybend.internal import peerkeys
from savorybend.internal.wire import codec

# Messages read from a socket before the event loop runs other callbacks.
_DRAIN_BATCH = 64
# Plain integers, since combining members of the library's enumerations costs
# as much as the socket operation itself.
_NO_WAIT = int(zmq.NOBLOCK)
_MORE = int(zmq.SNDMORE | zmq.NOBLOCK)
_READABLE = int(zmq.POLLIN)
# Connections without a completed handshake are closed, so that a flood of them
# can't exhaust the file descriptors that members need.
_HANDSHAKE_MS = 2000
_RECONNECT_MS = 50
_RECONNECT_MOST_MS = 1000
# The kernel closes connections to VMs that vanished, at no cost to the loop.
_KEEPALIVE_IDLE_S = 60
_KEEPALIVE_INTERVAL_S = 10
_KEEPALIVE_COUNT = 3
_QUEUED_MESSAGES = 10_000
# Minimum time between attempts to reopen a connection that accepts no data.
_REOPEN_S = 0.05
# An oversized message is refused and counted. One beyond this limit closes its
# connection before it is read into memory.
_CUT_BEYOND_BYTES = 2 * codec.MAX_MESSAGE_BYTES
_ZAP_DOMAIN = "savorybend"
# The ROUTER generates routing IDs with this prefix for peers that set none.
_NAMED_BY_ROUTER = b"\0"
_FAILED_HANDSHAKES = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
)

# Called with the peer's name, the message's bytes and the routing ID of the
# connection that it was received on.
Receive = collections.abc.Callable[[str, bytes, "RoutingId"], None]
# The ROUTER's routing ID of a connection, or None for the connection that this
# daemon opened itself.
RoutingId = bytes | None


class _Path:
    """The connections to and from one peer.

    Attributes:
        key: The peer's public key.
        dealer: The socket that this daemon opened, or None.
        route: The routing ID of the connection that the peer opened, or
            None.
        inward: Whether messages are sent over `route`, not the dealer.
        used: Whether anything was sent since the last `close_idle`.
        opened_s: When the dealer was opened, in seconds of the loop's clock.
    """

    __slots__ = ("dealer", "inward", "key", "opened_s", "route", "used")

    def __init__(self, key: str):
        self.key = key
        self.dealer: zmq.Socket | None = None
        self.route: RoutingId = None
        self.inward = False
        self.used = True
        self.opened_s = float("-inf")


class Connections:
    """Opens, uses and closes the connections of one daemon."""

    def __init__(
        self,
        directory: members.Directory,
        keys: peerkeys.KeyPair,
        receive: Receive,
    ):
        self._directory = directory
        self._keys = keys
        self._receive = receive
        self._loop = asyncio.get_running_loop()
        self._context = zmq.Context()
        self._paths: dict[str, _Path] = {}
        self._peers: dict[bytes, str] = {}
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            self._context
        )
        self._router = self._create_socket(zmq.ROUTER)
        self._monitor: zmq.Socket | None = None

    def bind(self, address: str) -> None:
        """Accepts connections at `IP:PORT`."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            _ZAP_DOMAIN, peerkeys.KeyAuthenticator(self._directory)
        )
        router = self._router
        router.curve_server = True
        router.zap_domain = _ZAP_DOMAIN.encode()
        router.set(zmq.ROUTER_MANDATORY, 1)
        self._monitor = router.get_monitor_socket(_FAILED_HANDSHAKES)
        self._loop.add_reader(self._monitor.fd, self._drain_monitor)
        # The descriptor becomes readable only after a first read.
        self._loop.call_soon(self._drain_monitor)
        router.bind(f"tcp://{address}")
        self._loop.add_reader(router.fd, self._drain_router)

    def send(self, peer: str, data: bytes) -> None:
        """Sends a message to the daemon called `peer`.

        Raises:
            errors.PeerUnreachableError: The daemon is unknown, or its
                send queue is full.
        """
        path = self._paths.get(peer)
        if path is not None and path.inward:
            try:
                self._send_inward(path.route, data)
                path.used = True
                return
            except zmq.ZMQError:
                # The peer closed its connection; opens one from this end.
                self._forget_route(path)
        if path is None or path.dealer is None:
            path = self._open(peer)
        path.used = True
        self._send_outward(peer, path, data)

    def answer(self, peer: str, data: bytes, routing_id: RoutingId) -> None:
        """Replies over the connection that a message was received on.

        If that connection is closed by now, the reply is dropped and the peer
        repeats its request.
        """
        path = self._paths.get(peer)
        try:
            if routing_id is not None:
                self._send_inward(routing_id, data)
            elif path is not None and path.dealer is not None:
                path.dealer.send(data, _NO_WAIT)
        except zmq.ZMQError:
            return

    def select_connection(self, peer: str, routing_id: RoutingId) -> None:
        """Sends over the connection that the peer switched to."""
        path = self._paths.get(peer)
        if path is not None:
            path.inward = routing_id is not None and routing_id == path.route

    def reopen(self, peer: str) -> None:
        """Drops the connections to a peer and opens a new one.

        Raises:
            errors.PeerUnreachableError: The daemon is unknown.
        """
        self.drop(peer)
        self._open(peer)

    def drop(self, peer: str) -> None:
        """Closes the connection to a peer and discards the one from it."""
        path = self._paths.pop(peer, None)
        if path is None:
            return
        self._forget_route(path)
        if path.dealer is not None:
            self._close(path.dealer)
        metrics.PEER_CONNECTIONS.set(len(self._paths))

    def drop_unless(self, peer: str, key: str) -> None:
        """Closes the connections to a peer unless its key is still `key`."""
        path = self._paths.get(peer)
        if path is not None and path.key != key:
            self.drop(peer)

    def close_idle(self, busy: collections.abc.Container[str]) -> None:
        """Closes the connections not used since the previous call.

        Args:
            busy: Peers whose connections stay open.
        """
        for peer, path in list(self._paths.items()):
            if path.used or peer in busy:
                path.used = False
            else:
                self.drop(peer)

    def close(self) -> None:
        """Closes every connection."""
        for peer in list(self._paths):
            self.drop(peer)
        for socket in (self._router, self._monitor):
            if socket is not None:
                self._loop.remove_reader(socket.fd)
        self._authenticator.stop()
        self._router.disable_monitor()
        self._router.close(linger=0)
        if self._monitor is not None:
            self._monitor.close(linger=0)
        self._context.term()

    def _send_inward(self, route: RoutingId, data: bytes) -> None:
        self._router.send(route, _MORE)
        self._router.send(data, _NO_WAIT)
        metrics.SENT_BYTES.inc(len(data))
        self._reschedule(self._router, self._drain_router)

    def _send_outward(self, peer: str, path: _Path, data: bytes) -> None:
        try:
            path.dealer.send(data, _NO_WAIT)
        except zmq.ZMQError as error:
            if self._loop.time() - path.opened_s < _REOPEN_S:
                raise errors.PeerUnreachableError(
                    f"daemon {peer!r} accepts no data ({error}): choose another"
                ) from error
            # The library never retries a connection whose key the peer has
            # refused. A peer refuses it until it learns of this daemon's
            # restart, so the socket is replaced.
            self._close(path.dealer)
            path.dealer = None
            self._open(peer).dealer.send(data, _NO_WAIT)
        metrics.SENT_BYTES.inc(len(data))
        self._reschedule(path.dealer, self._drain_dealer, peer, path.dealer)

    def _reschedule(self, socket: zmq.Socket, drain, *args) -> None:
        # The descriptor is edge-triggered, and a send may consume an edge, so
        # pending input is checked here. `getsockopt` by number takes two
        # thirds of the time of the attribute.
        if socket.getsockopt(zmq.EVENTS) & _READABLE:
            self._loop.call_soon(drain, *args)

    def _create_socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.sndhwm = _QUEUED_MESSAGES
        socket.set(zmq.MAXMSGSIZE, _CUT_BEYOND_BYTES)
        socket.set(zmq.HANDSHAKE_IVL, _HANDSHAKE_MS)
        socket.set(zmq.RECONNECT_IVL, _RECONNECT_MS)
        socket.set(zmq.RECONNECT_IVL_MAX, _RECONNECT_MOST_MS)
        socket.set(zmq.TCP_KEEPALIVE, 1)
        socket.set(zmq.TCP_KEEPALIVE_IDLE, _KEEPALIVE_IDLE_S)
        socket.set(zmq.TCP_KEEPALIVE_INTVL, _KEEPALIVE_INTERVAL_S)
        socket.set(zmq.TCP_KEEPALIVE_CNT, _KEEPALIVE_COUNT)
        socket.curve_secretkey = self._keys.secret.encode()
        socket.curve_publickey = self._keys.public.encode()
        return socket

    def _open(self, peer: str) -> _Path:
        record = self._directory.get(peer)
        if not record:
            raise errors.PeerUnreachableError(
                f"daemon {peer!r} is not known: choose another"
            )
        # The socket sets no routing ID: the peer identifies it by its key, so
        # that no daemon can impersonate another.
        socket = self._create_socket(zmq.DEALER)
        try:
            socket.curve_serverkey = record.public_key.encode()
            socket.connect(f"tcp://{record.peer_address}")
        except (zmq.ZMQError, ValueError) as error:
            socket.close(linger=0)
            raise errors.PeerUnreachableError(
                f"daemon {peer!r} has an address or key that can't be used "
                f"({error}): choose another"
            ) from error
        path = self._paths.setdefault(peer, _Path(record.public_key))
        self._loop.add_reader(socket.fd, self._drain_dealer, peer, socket)
        path.dealer = socket
        path.opened_s = self._loop.time()
        metrics.PEER_CONNECTIONS.set(len(self._paths))
        return path

    def _close(self, socket: zmq.Socket) -> None:
        self._loop.remove_reader(socket.fd)
        socket.close(linger=0)

    def _forget_route(self, path: _Path) -> None:
        if path.route is not None:
            self._peers.pop(path.route, None)
        path.route = None
        path.inward = False

    def _drain_router(self) -> None:
        router = self._router
        # Reads a batch before work on any of it starts: after a pause of this
        # VM, cancellations are queued behind the calls that they cancel.
        for _ in range(_DRAIN_BATCH):
            try:
                route = router.recv(_NO_WAIT)
            except zmq.ZMQError:
                return
            self._take_inward(route)
        self._loop.call_soon(self._drain_router)

    def _take_inward(self, route: bytes) -> None:
        router = self._router
        peer = self._peers.get(route)
        if peer is None:
            frame = router.recv(_NO_WAIT, copy=False)
            peer = self._learn(route, frame)
            data = frame.bytes
        else:
            data = router.recv(_NO_WAIT)
        if router.getsockopt(zmq.RCVMORE):
            while router.getsockopt(zmq.RCVMORE):
                router.recv(_NO_WAIT)
            metrics.peer_refusals("garbled").inc()
        elif peer is not None:
            self._receive(peer, data, route)

    def _learn(self, route: bytes, frame: zmq.Frame) -> str | None:
        if route[:1] != _NAMED_BY_ROUTER:
            metrics.peer_refusals("claimed-name").inc()
            return None
        key = frame.get("User-Id")
        peer = self._directory.name_of_key(key)
        if not isinstance(peer, str):
            metrics.peer_refusals("unannounced-key").inc()
            return None
        path = self._paths.setdefault(peer, _Path(key))
        if path.route is not None:
            self._peers.pop(path.route, None)
        path.route = route
        path.inward = path.inward or path.dealer is None
        self._peers[route] = peer
        metrics.PEER_CONNECTIONS.set(len(self._paths))
        return peer

    def _drain_dealer(self, peer: str, socket: zmq.Socket) -> None:
        # See `_drain_router`.
        for _ in range(_DRAIN_BATCH):
            if socket.closed:
                return
            try:
                data = socket.recv(_NO_WAIT)
            except zmq.ZMQError:
                return
            self._receive(peer, data, None)
        self._loop.call_soon(self._drain_dealer, peer, socket)

    def _drain_monitor(self) -> None:
        while self._monitor is not None:
            try:
                zmq.utils.monitor.recv_monitor_message(
                    self._monitor, zmq.NOBLOCK
                )
            except zmq.ZMQError:
                return
            metrics.peer_refusals("handshake").inc()


def create_connections(
    directory: members.Directory, keys: peerkeys.KeyPair, receive: Receive
) -> Connections:
    """Returns the connections of the daemon that owns `directory`.

    Args:
        directory: The daemons to connect to and to accept connections from.
        keys: This daemon's keys.
        receive: Called with each received message.
    """
    return Connections(directory, keys, receive)
