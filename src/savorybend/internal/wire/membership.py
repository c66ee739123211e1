"""Messages by which daemons keep track of one another."""

import msgspec

from savorybend.internal import members


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="members.probe"):
    """Asks a daemon whether it lives.

    Attributes:
        sequence: Counts the sender's probes.
        records: News of daemons.
    """

    sequence: int
    records: list[members.Record]


class ProbeReply(
    msgspec.Struct, frozen=True, array_like=True, tag="members.reply"
):
    """Answers a probe; see `Probe` for the fields."""

    sequence: int
    records: list[members.Record]


Message = Probe | ProbeReply
