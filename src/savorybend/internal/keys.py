"""Creates client accounts' keys, which are stored only as salted hashes."""

import secrets
import typing

from savorybend.internal import documents
from savorybend.internal import snapshot

_SALT_BYTES = 16
_SECRET_BYTES = 32


class NewKey(typing.NamedTuple):
    """A newly created key.

    Attributes:
        key_id: Identifies the key in the configuration and in logs.
        text: The key as callers send it, `KEY_ID.SECRET`; never stored.
        stored: Salt and hash, as stored in the configuration.
    """

    key_id: str
    text: str
    stored: documents.Key


def create(key_id: str) -> NewKey:
    """Returns a key with the ID `key_id` and a random secret."""
    return from_secret(key_id, secrets.token_hex(_SECRET_BYTES))


def from_secret(key_id: str, secret: str) -> NewKey:
    """Returns a key with the given ID and secret, and a random salt."""
    salt = secrets.token_bytes(_SALT_BYTES)
    digest = snapshot.hash_secret(salt, secret)
    stored = documents.Key(salt=salt.hex(), hash=digest.hex())
    return NewKey(key_id, f"{key_id}.{secret}", stored)
