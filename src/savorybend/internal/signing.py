"""Signatures by which only a daemon itself can renew its record."""

import functools

import msgspec
import nacl.exceptions
import nacl.signing

from savorybend.internal import members

# Keeps a signature over a record from standing for anything else.
_CONTEXT = b"savorybend member record\n"
_LARGEST_RECORD_BYTES = 2048
# News arrives over several ways, and a refused record may come again.
_KEPT_VERDICTS = 2048


class Signer:
    """Signs this daemon's records with a key that never leaves it."""

    def __init__(self, key: nacl.signing.SigningKey):
        self._key = key

    @property
    def public_key(self) -> bytes:
        """What others check this daemon's signatures with."""
        return bytes(self._key.verify_key)

    def sign(self, record: members.Record) -> members.Record:
        """Returns the record with this daemon's key and signature."""
        record = msgspec.structs.replace(record, signing_key=self.public_key)
        signature = self._key.sign(_text(record)).signature
        return msgspec.structs.replace(record, signature=signature)


def is_signed(record: members.Record) -> bool:
    """Returns whether a record was signed with the key that it names."""
    text = _text(record)
    if len(text) > _LARGEST_RECORD_BYTES:
        return False
    return _verify(record.signing_key, record.signature, text)


@functools.lru_cache(maxsize=_KEPT_VERDICTS)
def _verify(key: bytes, signature: bytes, text: bytes) -> bool:
    try:
        nacl.signing.VerifyKey(key).verify(text, signature)
    except (nacl.exceptions.CryptoError, ValueError):
        return False
    return True


def _text(record: members.Record) -> bytes:
    unsigned = msgspec.structs.replace(record, signature=b"")
    return _CONTEXT + msgspec.msgpack.encode(unsigned)


def create_signer(seed: bytes | None = None) -> Signer:
    """Returns a signer with a new key, or with the one that `seed` gives."""
    if seed is None:
        return Signer(nacl.signing.SigningKey.generate())
    return Signer(nacl.signing.SigningKey(seed))
