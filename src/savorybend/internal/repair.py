"""Anti-entropy repair: two daemons exchange updates that gossip lost."""

import collections.abc
import typing

from savorybend.internal import hashtree
from savorybend.internal import roster as rosters
from savorybend.internal.wire import membership as wire

# Bounds the size of one message; the rest follows with the next repair.
_MOST_UPDATES = 256

Send = collections.abc.Callable[[str, typing.Any], None]
Wrap = collections.abc.Callable[[list[wire.Update]], typing.Any]


class Repair:
    """Compares hash trees with a peer and exchanges the entries that differ."""

    def __init__(self, roster: rosters.Roster, send: Send, wrap: Wrap):
        self._roster = roster
        self._send = send
        self._wrap = wrap

    def start(self, peer: str) -> None:
        """Sends a peer the hashes of the root's children.

        Raises:
            errors.PeerUnreachableError: The peer can't be reached.
        """
        self._show(peer, hashtree.ROOT)

    def on_node_hashes(self, peer: str, message: wire.NodeHashes) -> None:
        """Descends into the nodes whose hashes differ from the peer's.

        Raises:
            errors.PeerUnreachableError: The peer can't be reached.
        """
        if not hashtree.is_label(message.node):
            return
        tree = self._roster.tree
        for node in tree.differing(message.node, message.children):
            if hashtree.is_leaf(node):
                self._send(peer, self._leaf(node, answer=True))
            else:
                self._show(peer, node)

    def on_leaf(self, peer: str, message: wire.Leaf) -> None:
        """Sends a peer the updates it lacks, and this leaf's list if asked.

        Raises:
            errors.PeerUnreachableError: The peer can't be reached.
        """
        if not hashtree.is_leaf(message.node):
            return
        theirs = {summary.name: summary for summary in message.entries}
        newer = [
            self._roster.update_of(entry)
            for entry in self._roster.entries_in_leaf(message.node)
            if is_newer(entry, theirs.get(entry.record.name))
        ]
        if newer:
            self._send(peer, self._wrap(newer[:_MOST_UPDATES]))
        if message.answer:
            self._send(peer, self._leaf(message.node, answer=False))

    def _show(self, peer: str, node: str) -> None:
        children = self._roster.tree.children(node)
        self._send(peer, wire.NodeHashes(node, children))

    def _leaf(self, node: str, answer: bool) -> wire.Leaf:
        entries = [
            summary_of(entry) for entry in self._roster.entries_in_leaf(node)
        ]
        return wire.Leaf(node, entries, answer)


def summary_of(entry: rosters.Entry) -> wire.Summary:
    """Returns the summary that a peer compares with its own entry."""
    return wire.Summary(
        entry.record.name,
        entry.record.incarnation,
        entry.record.revision,
        entry.state,
    )


def is_newer(entry: rosters.Entry, theirs: wire.Summary | None) -> bool:
    """Returns whether an entry is newer than the peer's summary of it."""
    if theirs is None:
        return entry.state != rosters.LEFT
    rank = rosters.rank(theirs.state)
    return entry.key > (theirs.incarnation, theirs.revision, rank)


def create_repair(roster: rosters.Roster, send: Send, wrap: Wrap) -> Repair:
    """Returns a repair that sends updates in the message `wrap` returns."""
    return Repair(roster, send, wrap)
