"""Compact updates for receivers that know the record in another revision.

Within an incarnation a record changes only in its revision, state and
signature, so that a receiver with one revision can restore any other.
"""

import collections.abc

import msgspec

from savorybend.internal import roster as rosters
from savorybend.internal.wire import membership as wire


def split_updates(
    updates: collections.abc.Iterable[wire.Update],
) -> tuple[list[wire.Update], list[wire.CompactUpdate]]:
    """Returns the updates to send in full, and the others in compact form."""
    whole = []
    compact = []
    for update in updates:
        # Most receivers lack the record only after a start; one that missed
        # that update gets the record by the repair.
        if update.record.revision == 0 and update.state == rosters.ALIVE:
            whole.append(update)
        else:
            compact.append(_compact(update))
    return whole, compact


def restore(
    roster: rosters.Roster, compact: wire.CompactUpdate
) -> wire.Update | None:
    """Returns the full update, or None if the receiver lacks the record."""
    known = roster.get(compact.name)
    if known is None or known.record.incarnation != compact.incarnation:
        return None
    record = known.record
    if compact.signature:
        record = msgspec.structs.replace(
            record,
            revision=compact.revision,
            state=compact.announced_state,
            signature=compact.signature,
        )
    elif record.revision != compact.revision:
        if compact.name != roster.own.name:
            return None
        # The sender hasn't received this daemon's newer record. `Roster.apply`
        # sends it again on an update of an older revision.
        record = msgspec.structs.replace(record, revision=compact.revision)
    return wire.Update(record, compact.state, compact.age_s)


def _compact(update: wire.Update) -> wire.CompactUpdate:
    record = update.record
    head = (record.name, record.incarnation, record.revision, update.state)
    if update.state in (rosters.SUSPECT, rosters.DEAD):
        # The failure detection of other daemons doesn't change the record,
        # so that no signature is needed.
        return wire.CompactUpdate(*head, update.age_s)
    return wire.CompactUpdate(
        *head, update.age_s, record.state, record.signature
    )
