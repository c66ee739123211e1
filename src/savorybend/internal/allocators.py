"""Selects the daemon that acts as the allocator of a data centre."""

import typing

from savorybend.internal import members
from savorybend.internal import sentinels
from savorybend.internal import terms
from savorybend.internal import timers

NO_ALLOCATOR = sentinels.create(
    "NO_ALLOCATOR", "no daemon of that data centre is known"
)

# How long a daemon that didn't answer is not selected.
_SUSPECT_S = 5.0


class Directory(typing.Protocol):
    """The methods of `members.Directory` that `Chooser` uses."""

    @property
    def own(self) -> members.Record:
        """This daemon's own record."""

    def all(self) -> tuple[members.Record, ...]:
        """Returns every known daemon, this one included."""

    def subscribe(self, listener: members.Listener) -> None:
        """Calls `listener` after each change."""


class Chooser:
    """Selects allocators by rendezvous hashing, without messages.

    While daemons have different views of the members, the parts of a share may
    be divided between two allocators. That leaves some tokens unused but never
    exceeds a limit.
    """

    def __init__(self, directory: Directory, clock: timers.Clock):
        self._directory = directory
        self._clock = clock
        self._ranked: dict[str, list[members.Record]] = {}
        self._suspects: dict[str, float] = {}
        directory.subscribe(self._on_change)

    def allocator(self, data_centre: str) -> str | sentinels.Absence:
        """Returns the name of a data centre's allocator, or `NO_ALLOCATOR`.

        Suspected daemons are skipped unless all of them are suspected.
        """
        candidates = self.of_centre(data_centre)
        if not candidates:
            return NO_ALLOCATOR
        for record in candidates:
            if not self.suspected(record.name):
                return record.name
        return candidates[0].name

    def of_centre(self, data_centre: str) -> list[members.Record]:
        """Returns a data centre's daemons in order of preference as allocator.

        Contains only daemons that are serving, if there are any.
        """
        found = self._ranked.get(data_centre)
        if found is None:
            found = self._ranked[data_centre] = self._rank(data_centre)
        return found

    def suspected(self, name: str) -> bool:
        """Returns whether a daemon is currently skipped."""
        until_s = self._suspects.get(name)
        return until_s is not None and self._clock.now_s() < until_s

    def suspect(self, name: str) -> None:
        """Skips a daemon that didn't answer for `_SUSPECT_S`."""
        if name == self._directory.own.name:
            # This daemon can answer as soon as the owners entrust their parts
            # to it.
            return
        self._suspects[name] = self._clock.now_s() + _SUSPECT_S

    def _rank(self, data_centre: str) -> list[members.Record]:
        records = {
            record.name: record
            for record in self._directory.all()
            if record.data_centre == data_centre
        }
        serving = [
            name
            for name, record in records.items()
            if record.state == members.SERVING
        ]
        ranked = terms.ranked(data_centre, serving or records)
        return [records[name] for name in ranked]

    def _on_change(self, change: members.Change) -> None:
        self._ranked.clear()
        self._suspects.pop(change.record.name, None)


def create_chooser(directory: Directory, clock: timers.Clock) -> Chooser:
    """Returns a chooser over the known daemons."""
    return Chooser(directory, clock)
