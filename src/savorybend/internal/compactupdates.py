"""News of daemons in brief, for those that know an earlier revision.

Within an incarnation a record changes only in its revision, state and
signature, so whoever has one revision can put any other together.
"""

import collections.abc

import msgspec

from savorybend.internal import roster as rosters
from savorybend.internal.wire import membership as wire


def split_updates(
    updates: collections.abc.Iterable[wire.Update],
) -> tuple[list[wire.Update], list[wire.CompactUpdate]]:
    """Returns which updates to tell in whole, and the others in brief."""
    whole = []
    brief = []
    for update in updates:
        # Only a new start is news to most; who missed it gets the record by
        # the repair.
        if update.record.revision == 0 and update.state == rosters.ALIVE:
            whole.append(update)
        else:
            brief.append(_brief_of(update))
    return whole, brief


def restore(
    roster: rosters.Roster, brief: wire.CompactUpdate
) -> wire.Update | None:
    """Returns the update told in brief, or None if too little is known."""
    known = roster.get(brief.name)
    if known is None or known.record.incarnation != brief.incarnation:
        return None
    record = known.record
    if brief.signature:
        record = msgspec.structs.replace(
            record,
            revision=brief.revision,
            state=brief.announced_state,
            signature=brief.signature,
        )
    elif record.revision != brief.revision:
        if brief.name != roster.own.name:
            return None
        # Its sender has missed this daemon's word, and is told it again.
        record = msgspec.structs.replace(record, revision=brief.revision)
    return wire.Update(record, brief.state, brief.age_s)


def _brief_of(update: wire.Update) -> wire.CompactUpdate:
    record = update.record
    head = (record.name, record.incarnation, record.revision, update.state)
    if update.state in (rosters.SUSPECT, rosters.DEAD):
        # An opinion of others says nothing of the record.
        return wire.CompactUpdate(*head, update.age_s)
    return wire.CompactUpdate(
        *head, update.age_s, record.state, record.signature
    )
