"""Messages by which daemons keep track of one another."""

import msgspec

from savorybend.internal import members


class Update(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a daemon.

    Attributes:
        record: Its record.
        state: A state of charts/member.json.
        age_s: Seconds since it came into this state, as the sender knows.
    """

    record: members.Record
    state: str
    age_s: float = 0.0


class CompactUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An `Update` for those that have the record in some revision.

    Attributes:
        name: The daemon's name.
        incarnation: Of its record.
        revision: Of its record.
        state: A state of charts/member.json.
        age_s: As in `Update`.
        announced_state: The record's own state, where it is signed here.
        signature: Of the record in this revision; empty for an opinion of
            others, who say nothing of the record.
    """

    name: str
    incarnation: int
    revision: int
    state: str
    age_s: float = 0.0
    announced_state: str = ""
    signature: bytes = b""


class Standing(msgspec.Struct, frozen=True, array_like=True):
    """Which configuration a daemon has in force.

    Attributes:
        version: Its version, or 0.
        age_s: Seconds since it was known to be the platform's newest;
            infinite where that was never known.
    """

    version: int
    age_s: float


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="members.probe"):
    """Asks a daemon whether it lives.

    Attributes:
        sequence: Counts the sender's probes.
        updates: News of daemons.
        standing: The sender's configuration.
        compact_updates: News of daemons that the receiver mostly knows.
    """

    sequence: int
    updates: list[Update]
    standing: Standing
    compact_updates: list[CompactUpdate] = []


class ProbeReply(
    msgspec.Struct, frozen=True, array_like=True, tag="members.reply"
):
    """Answers a probe; see `Probe` for the fields."""

    sequence: int
    updates: list[Update]
    standing: Standing
    compact_updates: list[CompactUpdate] = []


class ProbeFor(msgspec.Struct, frozen=True, array_like=True, tag="members.for"):
    """Asks a daemon to probe another one on the sender's behalf.

    Attributes:
        sequence: The sender's own probe that went unanswered.
        target: The daemon to probe.
    """

    sequence: int
    target: str


class ProbeForReply(
    msgspec.Struct, frozen=True, array_like=True, tag="members.for-reply"
):
    """Says that the target of a `ProbeFor` answered."""

    sequence: int


class Gossip(
    msgspec.Struct, frozen=True, array_like=True, tag="members.gossip"
):
    """Spreads news; see `Probe` for the fields."""

    updates: list[Update]
    standing: Standing
    compact_updates: list[CompactUpdate] = []


class NodeHashes(
    msgspec.Struct, frozen=True, array_like=True, tag="members.signatures"
):
    """Sends the hashes of a node's children.

    Attributes:
        node: Label of the node in the hash tree.
        children: The hashes, in the order of the labels.
    """

    node: str
    children: list[int]


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """The version of what is known of one daemon."""

    name: str
    incarnation: int
    revision: int
    state: str


class Leaf(msgspec.Struct, frozen=True, array_like=True, tag="members.leaf"):
    """Lists the daemons below a leaf of the hash tree.

    Attributes:
        node: Label of the leaf.
        entries: What the sender knows of each daemon there.
        answer: Whether the receiver is to send its own list back.
    """

    node: str
    entries: list[Summary]
    answer: bool


class JoinRequest(msgspec.Struct, frozen=True):
    """Introduces a daemon to another one.

    Attributes:
        record: The record of the daemon that joins.
        whole: Whether it wants all that is known of the fleet.
        known: What it knows of the daemon that it asks.
    """

    record: members.Record
    whole: bool
    known: list[Update]


class JoinReply(msgspec.Struct, frozen=True):
    """Answers a `JoinRequest` with news of daemons."""

    updates: list[Update]


Message = (
    Probe | ProbeReply | ProbeFor | ProbeForReply | Gossip | NodeHashes | Leaf
)
