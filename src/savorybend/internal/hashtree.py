"""A hash tree over the known state of the fleet.

After the state announcements of Raman and McCanne, "Generalized Data Naming
and Scalable State Announcements for Reliable Multicast" (UCB/CSD-97-951): two
daemons whose root hashes differ descend only into children that differ.
"""

import functools
import hashlib
import typing

# With two levels of 16 children each message is under 200 bytes, and a leaf
# holds about four of 1,000 daemons.
FAN_OUT = 16
DEPTH = 2
ROOT = ""

_DIGITS = "0123456789abcdef"


class Item(typing.NamedTuple):
    """The version of one daemon's entry, which the tree hashes.

    Attributes:
        name: The daemon's name.
        incarnation: Of its record.
        revision: Of its record.
        state: A state of charts/member.json.
    """

    name: str
    incarnation: int
    revision: int
    state: str


class HashTree:
    """Hashes of sets of items; a change updates one leaf."""

    def __init__(self):
        self._leaves: dict[str, int] = {}

    def toggle(self, item: Item) -> None:
        """Adds an item, or removes it if it was added before."""
        label = leaf_of(item.name)
        # Exclusive or makes a leaf's hash independent of the order of changes
        # and removes an item without hashing the others again.
        self._leaves[label] = self._leaves.get(label, 0) ^ _hash(item)

    def signature(self, node: str) -> int:
        """Returns the hash of a node."""
        if len(node) == DEPTH:
            return self._leaves.get(node, 0)
        return _combine(self.children(node))

    def children(self, node: str) -> list[int]:
        """Returns the hashes of a node's children, in the order of labels."""
        return [self.signature(node + digit) for digit in _DIGITS]

    def differing(self, node: str, theirs: list[int]) -> list[str]:
        """Returns the labels of a node's children whose hashes differ."""
        own = self.children(node)
        pairs = zip(_DIGITS, own, theirs, strict=False)
        return [node + digit for digit, a, b in pairs if a != b]


@functools.lru_cache(maxsize=4096)
def leaf_of(name: str) -> str:
    """Returns the label of the leaf that a daemon belongs to."""
    return hashlib.blake2b(name.encode(), digest_size=1).hexdigest()


def is_leaf(node: str) -> bool:
    """Returns whether a valid label is that of a leaf."""
    return len(node) == DEPTH


def is_label(node: str) -> bool:
    """Returns whether a string is the label of a node."""
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
    """Returns an empty tree."""
    return HashTree()
