"""Messages of the membership protocol: probes, gossip and repair."""

import msgspec

from savorybend.internal import members


class Update(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's record and membership state.

    Attributes:
        record: The daemon's record.
        state: A state of charts/member.json.
        age_s: Seconds since the daemon entered this state, according to the
            sender.
    """

    record: members.Record
    state: str
    age_s: float = 0.0


class CompactUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An `Update` without the record, for receivers that have a revision of it.

    Attributes:
        name: The daemon's name.
        incarnation: The record's incarnation.
        revision: The record's revision.
        state: A state of charts/member.json.
        age_s: As in `Update`.
        announced_state: The state in the record, if `signature` is set.
        signature: Signature of the record in this revision; empty if the
            update is another daemon's opinion rather than the record itself.
    """

    name: str
    incarnation: int
    revision: int
    state: str
    age_s: float = 0.0
    announced_state: str = ""
    signature: bytes = b""


class ConfigurationStatus(msgspec.Struct, frozen=True, array_like=True):
    """The version and age of the configuration in force at a daemon.

    Attributes:
        version: The configuration's version; 0 for none.
        age_s: Seconds since it was last confirmed as the platform's newest;
            infinite if it never was.
    """

    version: int
    age_s: float


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="members.probe"):
    """Checks whether a daemon is alive.

    Attributes:
        sequence: Sequence number of the sender's probe.
        updates: Membership updates with records.
        standing: Version and age of the sender's configuration.
        compact_updates: Membership updates without records.
    """

    sequence: int
    updates: list[Update]
    standing: ConfigurationStatus
    compact_updates: list[CompactUpdate] = []


class ProbeReply(
    msgspec.Struct, frozen=True, array_like=True, tag="members.reply"
):
    """Answers a probe; see `Probe` for the fields."""

    sequence: int
    updates: list[Update]
    standing: ConfigurationStatus
    compact_updates: list[CompactUpdate] = []


class IndirectProbe(
    msgspec.Struct, frozen=True, array_like=True, tag="members.for"
):
    """Asks a daemon to probe another one on the sender's behalf.

    Attributes:
        sequence: Sequence number of the sender's probe that got no reply.
        target: The daemon to probe.
    """

    sequence: int
    target: str


class IndirectProbeReply(
    msgspec.Struct, frozen=True, array_like=True, tag="members.for-reply"
):
    """Reports that the target of an `IndirectProbe` replied."""

    sequence: int


class Gossip(
    msgspec.Struct, frozen=True, array_like=True, tag="members.gossip"
):
    """Disseminates membership updates; see `Probe` for the fields."""

    updates: list[Update]
    standing: ConfigurationStatus
    compact_updates: list[CompactUpdate] = []


class NodeHashes(
    msgspec.Struct, frozen=True, array_like=True, tag="members.signatures"
):
    """The hashes of a node's children in the hash tree.

    Attributes:
        node: Label of the node.
        children: The children's hashes, in the order of their labels.
    """

    node: str
    children: list[int]


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """The version of one daemon's record and its membership state."""

    name: str
    incarnation: int
    revision: int
    state: str


class Leaf(msgspec.Struct, frozen=True, array_like=True, tag="members.leaf"):
    """Lists the daemons at a leaf of the hash tree.

    Attributes:
        node: Label of the leaf.
        entries: The sender's summary of each daemon at the leaf.
        answer: Whether the receiver must reply with its own list.
    """

    node: str
    entries: list[Summary]
    answer: bool


class JoinRequest(msgspec.Struct, frozen=True):
    """Introduces a daemon to another one.

    Attributes:
        record: The record of the joining daemon.
        whole: Whether it requests the whole membership.
        known: Updates that it has about the receiver.
    """

    record: members.Record
    whole: bool
    known: list[Update]


class JoinReply(msgspec.Struct, frozen=True):
    """Answers a `JoinRequest` with membership updates."""

    updates: list[Update]


Message = (
    Probe
    | ProbeReply
    | IndirectProbe
    | IndirectProbeReply
    | Gossip
    | NodeHashes
    | Leaf
)
