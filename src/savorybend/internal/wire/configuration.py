"""Messages by which a configuration passes from daemon to daemon."""

import msgspec


class PartRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="configuration.ask"
):
    """Asks for a part of the compressed configuration.

    Attributes:
        version: The version wanted.
        offset: Where the part begins, in bytes.
    """

    version: int
    offset: int


class Part(
    msgspec.Struct, frozen=True, array_like=True, tag="configuration.part"
):
    """A part of the compressed configuration.

    Attributes:
        version: The version that it belongs to.
        offset: Where the part begins, in bytes.
        size: Bytes of the whole, compressed.
        digest: SHA-256 of the document, as hex.
        data: The part.
    """

    version: int
    offset: int
    size: int
    digest: str
    data: bytes


Message = PartRequest | Part
