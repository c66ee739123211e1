"""CURVE keys that authenticate the connections between daemons."""

import typing

import zmq

from savorybend.internal import members
from savorybend.internal import metrics


class KeyPair(typing.NamedTuple):
    """A daemon's CURVE keys, in Z85; generated at start and never stored."""

    public: str
    secret: str


class KeyAuthenticator:
    """Accepts connections whose key a known daemon has announced."""

    def __init__(self, directory: members.Directory):
        self._directory = directory

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether to accept a connection; called by the ZAP handler."""
        known = bool(self._directory.name_of_key(key.decode()))
        if not known:
            metrics.peer_refusals("unannounced-key").inc()
        return known


def create_key_pair() -> KeyPair:
    """Returns a new random key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public.decode(), secret.decode())
