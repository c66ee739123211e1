"""Messages that transfer a configuration between daemons."""

import msgspec


class PartRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="configuration.ask"
):
    """Requests a part of the zlib-compressed configuration.

    Attributes:
        version: The requested version.
        offset: Offset of the part in the compressed configuration, in bytes.
    """

    version: int
    offset: int


class Part(
    msgspec.Struct, frozen=True, array_like=True, tag="configuration.part"
):
    """A part of the zlib-compressed configuration.

    Attributes:
        version: The configuration's version.
        offset: Offset of the part in the compressed configuration, in bytes.
        size: Size of the whole compressed configuration, in bytes.
        digest: SHA-256 of the uncompressed document, as hex.
        data: The bytes of the part.
    """

    version: int
    offset: int
    size: int
    digest: str
    data: bytes


Message = PartRequest | Part
