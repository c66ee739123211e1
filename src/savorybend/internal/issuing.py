"""Issues request IDs and records which of them were started.

Sequence numbers are assigned to client accounts in blocks. A block takes one
bit per ID, so that a daemon can refuse to start an ID twice for more than a
day, long after it has evicted the answer.
"""

import collections
import enum

from savorybend.internal import requestids
from savorybend.internal.wire import requests as wire

_IDS_PER_BLOCK = 1024
# Limits blocks per account, so that an account which takes IDs endlessly evicts
# only its own blocks.
_MAX_BLOCKS_PER_ACCOUNT = 256


class IdStatus(enum.Enum):
    """Status of an ID at its issuer.

    Attributes:
        UNUSED: Issued and not started.
        STARTED: Its request was started.
        NEVER_ISSUED: Not issued, or issued to another client account.
        RETIRED: Its block was evicted, so it may have been started.
    """

    UNUSED = "unused"
    STARTED = "started"
    NEVER_ISSUED = "never-issued"
    RETIRED = "retired"


class _Block:
    """Consecutive sequence numbers assigned to one client account."""

    __slots__ = ("account", "first", "issued", "_started")

    def __init__(self, account: str, first: int):
        self.account = account
        self.first = first
        self.issued = 0
        self._started = bytearray(_IDS_PER_BLOCK // 8)

    def started(self, sequence: int) -> bool:
        """Returns whether a sequence number was started."""
        byte, bit = divmod(sequence - self.first, 8)
        return bool(self._started[byte] & 1 << bit)

    def start(self, sequence: int) -> None:
        """Marks a sequence number as started."""
        byte, bit = divmod(sequence - self.first, 8)
        self._started[byte] |= 1 << bit


class Issuer:
    """Issues the request IDs of one daemon's incarnation."""

    def __init__(self, daemon: str, incarnation: int):
        self._daemon = daemon
        self._incarnation = incarnation
        self._next_block = 0
        self._blocks: dict[int, _Block] = {}
        self._by_account: dict[str, collections.deque[_Block]] = {}

    def issue(self, client_account: str, *, started: bool = False) -> str:
        """Returns a new ID.

        Args:
            client_account: Account that may send a request with it.
            started: Whether to mark it as started, if its request is started
                at once.
        """
        blocks = self._by_account.get(client_account)
        if not blocks or blocks[-1].issued == _IDS_PER_BLOCK:
            blocks = self._add_block(client_account)
        block = blocks[-1]
        sequence = block.first + block.issued
        block.issued += 1
        if started:
            block.start(sequence)
        return f"{self._daemon}.{self._incarnation:x}.{sequence:x}"

    def owns(self, request_id: requestids.RequestId) -> bool:
        """Returns whether an ID names this daemon and incarnation as issuer."""
        return (
            request_id.issuer == self._daemon
            and request_id.incarnation == self._incarnation
        )

    def status_of(
        self,
        request_id: requestids.RequestId,
        client_account: str | None = None,
    ) -> IdStatus:
        """Returns the status of an ID.

        Args:
            request_id: The ID of a request or of one of its child calls.
            client_account: Account that sent it, or None to accept any.
        """
        index = request_id.sequence // _IDS_PER_BLOCK
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
        block = self._blocks.get(request_id.sequence // _IDS_PER_BLOCK)
        if block is None:
            return request_id.sequence // _IDS_PER_BLOCK < self._next_block
        return block.started(request_id.sequence)

    def start(self, request_id: requestids.RequestId) -> None:
        """Marks an ID as started; called before its request starts."""
        block = self._blocks[request_id.sequence // _IDS_PER_BLOCK]
        block.start(request_id.sequence)

    def unused(self, max_ids: int) -> list[wire.UnusedIds]:
        """Returns up to `max_ids` of the newest IDs that weren't started."""
        found = []
        for block in reversed(self._blocks.values()):
            issued = range(block.first, block.first + block.issued)
            sequences = [s for s in issued if not block.started(s)][-max_ids:]
            max_ids -= len(sequences)
            if sequences:
                found.append(wire.UnusedIds(block.account, sequences))
            if not max_ids:
                break
        return found

    def _add_block(self, client_account: str) -> collections.deque[_Block]:
        blocks = self._by_account.setdefault(
            client_account, collections.deque()
        )
        if len(blocks) == _MAX_BLOCKS_PER_ACCOUNT:
            oldest = blocks.popleft()
            del self._blocks[oldest.first // _IDS_PER_BLOCK]
        block = _Block(client_account, self._next_block * _IDS_PER_BLOCK)
        self._blocks[self._next_block] = block
        self._next_block += 1
        blocks.append(block)
        return blocks


def create_issuer(daemon: str, incarnation: int) -> Issuer:
    """Returns the issuer of a daemon's incarnation, with no ID issued."""
    return Issuer(daemon, incarnation)
