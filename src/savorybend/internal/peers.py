"""Connections between daemons: ZeroMQ, encrypted, opened on demand.

Each daemon binds one ROUTER socket; a DEALER is opened to a peer with the
first message to it, and the peer answers over the same connection, so that a
pair has one connection. Sockets are drained from the loop's reader without
futures, which cost more than the messages themselves.
"""

import asyncio
import collections.abc
import typing

import zmq
import zmq.auth.asyncio

from savorybend.internal import errors
from savorybend.internal import logs
from savorybend.internal import members
from savorybend.internal import metrics
from savorybend.internal.wire import codec

# After so many messages the loop runs other work before it drains on.
_DRAIN_BATCH = 64
_HEARTBEAT_MS = 1000
_SILENT_MS = 3000
_ZAP_DOMAIN = "savorybend"

Handler = collections.abc.Callable[[str, typing.Any], None]

_log = logs.get()


class KeyPair(typing.NamedTuple):
    """A daemon's CURVE keys, in Z85; made at start and never stored."""

    public: str
    secret: str


def create_key_pair() -> KeyPair:
    """Returns new random keys."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public.decode(), secret.decode())


class _Announced:
    """Lets in the keys that daemons have announced."""

    def __init__(self, directory: members.Directory):
        self._directory = directory

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a connection with this key is let in."""
        known = bool(self._directory.name_of_key(key.decode()))
        if not known:
            metrics.peer_refusals("unannounced-key").inc()
        return known


class Transport:
    """Sends messages to daemons and hands on those that arrive."""

    def __init__(self, directory: members.Directory, keys: KeyPair):
        self._directory = directory
        self._keys = keys
        self._loop = asyncio.get_running_loop()
        self._context = zmq.Context()
        self._handlers: dict[type, Handler] = {}
        self._dealers: dict[str, tuple[int, zmq.Socket]] = {}
        self._inbound: set[str] = set()
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            self._context
        )
        self._router = self._create_socket(zmq.ROUTER)
        directory.subscribe(self._on_change)

    @property
    def name(self) -> str:
        """The name of this daemon."""
        return self._directory.own.name

    def bind(self, address: str) -> None:
        """Takes connections at `IP:PORT`."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            _ZAP_DOMAIN, _Announced(self._directory)
        )
        self._router.curve_server = True
        self._router.zap_domain = _ZAP_DOMAIN.encode()
        self._router.curve_secretkey = self._keys.secret.encode()
        self._router.curve_publickey = self._keys.public.encode()
        self._router.set(zmq.ROUTER_MANDATORY, 1)
        self._router.set(zmq.ROUTER_HANDOVER, 1)
        self._router.bind(f"tcp://{address}")
        self._loop.add_reader(self._router.fd, self._drain_router)

    def subscribe(self, kind: type, handler: Handler) -> None:
        """Calls `handler(peer, message)` for each message of a kind."""
        self._handlers[kind] = handler

    def send(self, peer: str, message: codec.Message) -> None:
        """Sends a message to the daemon called `peer`.

        Raises:
            errors.PeerUnreachableError: The daemon is unknown, or its
                connection takes no more.
        """
        data = codec.encode(message)
        try:
            self._send(peer, data)
        except zmq.ZMQError as error:
            self._inbound.discard(peer)
            raise errors.PeerUnreachableError(
                f"daemon {peer!r} can't be reached ({error}): choose another"
            ) from error
        metrics.SENT.inc()

    def close(self) -> None:
        """Closes every connection."""
        for peer in list(self._dealers):
            self._drop(peer)
        self._loop.remove_reader(self._router.fd)
        self._authenticator.stop()
        self._router.close(linger=0)
        self._context.term()

    def _send(self, peer: str, data: bytes) -> None:
        found = self._dealers.get(peer)
        if found is None and peer in self._inbound:
            self._router.send_multipart((peer.encode(), data), zmq.NOBLOCK)
            self._reschedule(self._router, self._drain_router)
            return
        _, socket = found or self._open(peer)
        socket.send(data, zmq.NOBLOCK)
        self._reschedule(socket, self._drain_dealer, peer, socket)

    def _reschedule(self, socket: zmq.Socket, drain, *args) -> None:
        # The descriptor signals only changes, and a send may swallow one.
        if socket.events & zmq.POLLIN:
            self._loop.call_soon(drain, *args)

    def _create_socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.set(zmq.MAXMSGSIZE, codec.LARGEST_MESSAGE_BYTES)
        socket.set(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
        socket.set(zmq.HEARTBEAT_TIMEOUT, _SILENT_MS)
        socket.set(zmq.HEARTBEAT_TTL, _SILENT_MS)
        return socket

    def _open(self, peer: str) -> tuple[int, zmq.Socket]:
        record = self._directory.get(peer)
        if not record:
            raise errors.PeerUnreachableError(
                f"daemon {peer!r} is not known: choose another"
            )
        socket = self._create_socket(zmq.DEALER)
        socket.routing_id = self._directory.own.name.encode()
        socket.curve_serverkey = record.public_key.encode()
        socket.curve_secretkey = self._keys.secret.encode()
        socket.curve_publickey = self._keys.public.encode()
        socket.connect(f"tcp://{record.peer_address}")
        self._loop.add_reader(socket.fd, self._drain_dealer, peer, socket)
        self._dealers[peer] = (record.incarnation, socket)
        return self._dealers[peer]

    def _drop(self, peer: str) -> None:
        _, socket = self._dealers.pop(peer)
        self._loop.remove_reader(socket.fd)
        socket.close(linger=0)

    def _on_change(self, change: members.Change) -> None:
        record = change.record
        found = self._dealers.get(record.name)
        match change:
            case members.Gone():
                stale = True
                self._inbound.discard(record.name)
            case members.Joined():
                stale = found is not None and found[0] != record.incarnation
        if found is not None and stale:
            self._drop(record.name)

    def _drain_router(self) -> None:
        for _ in range(_DRAIN_BATCH):
            try:
                peer, data = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            except ValueError:
                metrics.peer_refusals("garbled").inc()
                continue
            name = peer.decode(errors="replace")
            self._inbound.add(name)
            self._hand_on(name, data)
        self._loop.call_soon(self._drain_router)

    def _drain_dealer(self, peer: str, socket: zmq.Socket) -> None:
        for _ in range(_DRAIN_BATCH):
            if socket.closed:
                return
            try:
                data = socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._hand_on(peer, data)
        self._loop.call_soon(self._drain_dealer, peer, socket)

    def _hand_on(self, peer: str, data: bytes) -> None:
        metrics.RECEIVED.inc()
        try:
            message = codec.decode(data)
        except errors.InvalidMessageError as error:
            metrics.peer_refusals("garbled").inc()
            _log.warning("message_refused", peer=peer, error=str(error))
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(peer, message)


def create_transport(directory: members.Directory, keys: KeyPair) -> Transport:
    """Returns a transport for the daemon that owns `directory`."""
    return Transport(directory, keys)
