"""Compresses documents that daemons send one another."""

import zlib


def pack(document: bytes) -> bytes:
    """Returns a compressed document."""
    return zlib.compress(document)


def unpack(data: bytes, max_bytes: int) -> bytes | None:
    """Returns a document, or None if it is garbled or larger than a limit.

    Args:
        data: The compressed document.
        max_bytes: Largest document, so that a small message can't exhaust the
            memory.
    """
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(data, max_bytes)
    except zlib.error:
        return None
    return document if unpacker.eof else None
