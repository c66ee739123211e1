"""Issues request IDs, and remembers which of them were started.

Sequences are handed out to client accounts in blocks. A block costs one bit
for each ID, so that a daemon can refuse to start an ID twice for a day and
more, long after it let go of the answer.
"""

import collections
import enum

from savorybend.internal import requestids
from savorybend.internal.wire import requests as wire

_BLOCK_IDS = 1024
# Each account has a quota of its own, so that one which takes IDs without end
# pushes out only its own records.
_MOST_BLOCKS_PER_ACCOUNT = 256


class IdStatus(enum.Enum):
    """How an ID stands with its issuer."""

    UNUSED = "unused"
    STARTED = "started"
    NEVER_ISSUED = "never-issued"
    RETIRED = "retired"


class _Block:
    """Consecutive sequences that belong to one client account."""

    __slots__ = ("account", "first", "issued", "_started")

    def __init__(self, account: str, first: int):
        self.account = account
        self.first = first
        self.issued = 0
        self._started = bytearray(_BLOCK_IDS // 8)

    def started(self, sequence: int) -> bool:
        """Returns whether a sequence was started."""
        byte, bit = divmod(sequence - self.first, 8)
        return bool(self._started[byte] & 1 << bit)

    def start(self, sequence: int) -> None:
        """Notes that a sequence was started."""
        byte, bit = divmod(sequence - self.first, 8)
        self._started[byte] |= 1 << bit


class Issuer:
    """Issues the IDs of one daemon's incarnation."""

    def __init__(self, daemon: str, incarnation: int):
        self._daemon = daemon
        self._incarnation = incarnation
        self._next_block = 0
        self._blocks: dict[int, _Block] = {}
        self._by_account: dict[str, collections.deque[_Block]] = {}

    def issue(self, client_account: str, *, started: bool = False) -> str:
        """Returns an ID that was never issued before.

        Args:
            client_account: Whose request it will name.
            started: Whether the request is about to be started.
        """
        blocks = self._by_account.get(client_account)
        if not blocks or blocks[-1].issued == _BLOCK_IDS:
            blocks = self._extend(client_account)
        block = blocks[-1]
        sequence = block.first + block.issued
        block.issued += 1
        if started:
            block.start(sequence)
        return f"{self._daemon}.{self._incarnation:x}.{sequence:x}"

    def owns(self, request_id: requestids.RequestId) -> bool:
        """Returns whether this incarnation issues such an ID."""
        return (
            request_id.issuer == self._daemon
            and request_id.incarnation == self._incarnation
        )

    def status_of(
        self,
        request_id: requestids.RequestId,
        client_account: str | None = None,
    ) -> IdStatus:
        """Returns how an ID stands.

        Args:
            request_id: The ID, or that of a child.
            client_account: Who sent it; None where that doesn't matter.
        """
        index = request_id.sequence // _BLOCK_IDS
        block = self._blocks.get(index)
        if block is None:
            if index < self._next_block:
                return IdStatus.RETIRED
            return IdStatus.NEVER_ISSUED
        issued = request_id.sequence - block.first < block.issued
        if not issued or client_account not in (None, block.account):
            return IdStatus.NEVER_ISSUED
        if block.started(request_id.sequence):
            return IdStatus.STARTED
        return IdStatus.UNUSED

    def started(self, request_id: requestids.RequestId) -> bool:
        """Returns whether an ID was started, or may have been."""
        block = self._blocks.get(request_id.sequence // _BLOCK_IDS)
        if block is None:
            return request_id.sequence // _BLOCK_IDS < self._next_block
        return block.started(request_id.sequence)

    def start(self, request_id: requestids.RequestId) -> None:
        """Notes that the request is about to be started."""
        block = self._blocks[request_id.sequence // _BLOCK_IDS]
        block.start(request_id.sequence)

    def unused(self, most: int) -> list[wire.Unused]:
        """Returns the newest IDs that were issued and never started."""
        found = []
        for block in reversed(self._blocks.values()):
            issued = range(block.first, block.first + block.issued)
            idle = [s for s in issued if not block.started(s)][-most:]
            most -= len(idle)
            if idle:
                found.append(wire.Unused(block.account, idle))
            if not most:
                break
        return found

    def _extend(self, client_account: str) -> collections.deque[_Block]:
        blocks = self._by_account.setdefault(
            client_account, collections.deque()
        )
        if len(blocks) == _MOST_BLOCKS_PER_ACCOUNT:
            oldest = blocks.popleft()
            del self._blocks[oldest.first // _BLOCK_IDS]
        block = _Block(client_account, self._next_block * _BLOCK_IDS)
        self._blocks[self._next_block] = block
        self._next_block += 1
        blocks.append(block)
        return blocks


def create_issuer(daemon: str, incarnation: int) -> Issuer:
    """Returns the issuer of a daemon's incarnation."""
    return Issuer(daemon, incarnation)
