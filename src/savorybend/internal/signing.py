"""Signs and verifies records, so that only a daemon can change its own."""

import functools

import msgspec
import nacl.exceptions
import nacl.signing

from savorybend.internal import members

# Domain separation: a signature of a record is valid for nothing else.
_CONTEXT = b"savorybend member record\n"
_LARGEST_RECORD_BYTES = 2048
# An update arrives from several peers, and a rejected record may come again.
_KEPT_VERDICTS = 2048


class Signer:
    """Signs this daemon's records; the private key is never sent or stored."""

    def __init__(self, key: nacl.signing.SigningKey):
        self._key = key

    @property
    def public_key(self) -> bytes:
        """The Ed25519 key that verifies this daemon's signatures."""
        return bytes(self._key.verify_key)

    def sign(self, record: members.Record) -> members.Record:
        """Returns a copy of the record with this daemon's key and signature."""
        record = msgspec.structs.replace(record, signing_key=self.public_key)
        signature = self._key.sign(_text(record)).signature
        return msgspec.structs.replace(record, signature=signature)


def is_signed(record: members.Record) -> bool:
    """Returns whether a record's signature fits the key in the record.

    Records above the size limit count as unsigned.
    """
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
    """Returns a signer with a new key, or with the key derived from `seed`."""
    if seed is None:
        return Signer(nacl.signing.SigningKey.generate())
    return Signer(nacl.signing.SigningKey(seed))
