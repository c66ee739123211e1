"""A tree of signatures over what is known of the fleet.

After the state announcements of Raman and McCanne, "Generalized Data Naming
and Scalable State Announcements for Reliable Multicast" (UCB/CSD-97-951): two
daemons whose root signatures differ descend only where children differ.
"""

import functools
import hashlib
import typing

# Two levels of 16 keep each message under 200 bytes, and a leaf holds about
# four of 1,000 daemons.
FAN_OUT = 16
DEPTH = 2
ROOT = ""

_DIGITS = "0123456789abcdef"


class Item(typing.NamedTuple):
    """The version of one daemon's entry.

    Attributes:
        name: The daemon's name.
        incarnation: Of its record.
        revision: Of its record.
        state: Of charts/member.json.
    """

    name: str
    incarnation: int
    revision: int
    state: str


class HashTree:
    """Signatures of sets of items; a change costs one leaf."""

    def __init__(self):
        self._leaves: dict[str, int] = {}

    def toggle(self, item: Item) -> None:
        """Adds an item, or takes it out if it was added before."""
        label = leaf_of(item.name)
        # Exclusive or makes a leaf independent of the order of changes and
        # lets an item be taken out without a walk over the others.
        self._leaves[label] = self._leaves.get(label, 0) ^ _hash(item)

    def signature(self, node: str) -> int:
        """Returns the signature of a node."""
        if len(node) == DEPTH:
            return self._leaves.get(node, 0)
        return _combine(self.children(node))

    def children(self, node: str) -> list[int]:
        """Returns the signatures of a node's children."""
        return [self.signature(node + digit) for digit in _DIGITS]

    def differing(self, node: str, theirs: list[int]) -> list[str]:
        """Returns the labels of a node's children that differ."""
        own = self.children(node)
        pairs = zip(_DIGITS, own, theirs, strict=False)
        return [node + digit for digit, a, b in pairs if a != b]


@functools.lru_cache(maxsize=4096)
def leaf_of(name: str) -> str:
    """Returns the label of the leaf that a daemon belongs to."""
    return hashlib.blake2b(name.encode(), digest_size=1).hexdigest()


def is_leaf(node: str) -> bool:
    """Returns whether a label is a leaf's."""
    return len(node) == DEPTH


def is_label(node: str) -> bool:
    """Returns whether a text names a node of the tree."""
    return len(node) <= DEPTH and all(digit in _DIGITS for digit in node)


def _hash(item: Item) -> int:
    text = f"{item.name} {item.incarnation} {item.revision} {item.state}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def _combine(children: list[int]) -> int:
    if not any(children):
        return 0
    data = b"".join(child.to_bytes(8) for child in children)
    digest = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(digest)


def create_tree() -> HashTree:
    """Returns a tree over no items."""
    return HashTree()
