"""Client accounts' keys: made here, kept elsewhere only as salted hashes."""

import secrets
import typing

from savorybend.internal import documents
from savorybend.internal import snapshot

_SALT_BYTES = 16
_SECRET_BYTES = 32


class NewKey(typing.NamedTuple):
    """A key just made.

    Attributes:
        key_id: Names the key in the configuration and in logs.
        text: What the caller sends; it is shown once and never stored.
        stored: What the configuration holds.
    """

    key_id: str
    text: str
    stored: documents.Key


def create(key_id: str) -> NewKey:
    """Returns a new random key called `key_id`."""
    return from_secret(key_id, secrets.token_hex(_SECRET_BYTES))


def from_secret(key_id: str, secret: str) -> NewKey:
    """Returns the key called `key_id` that has the given secret."""
    salt = secrets.token_bytes(_SALT_BYTES)
    digest = snapshot.hash_secret(salt, secret)
    stored = documents.Key(salt=salt.hex(), hash=digest.hex())
    return NewKey(key_id, f"{key_id}.{secret}", stored)
