"""The keys by which daemons know one another."""

import typing

import zmq

from savorybend.internal import members
from savorybend.internal import metrics


class KeyPair(typing.NamedTuple):
    """A daemon's CURVE keys, in Z85; made at start and never stored."""

    public: str
    secret: str


class KeyAuthenticator:
    """Lets in the keys that daemons have announced."""

    def __init__(self, directory: members.Directory):
        self._directory = directory

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a connection with this key is let in."""
        known = bool(self._directory.name_of_key(key.decode()))
        if not known:
            metrics.peer_refusals("unannounced-key").inc()
        return known


def create_key_pair() -> KeyPair:
    """Returns new random keys."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public.decode(), secret.decode())
