"""Assembles the components that follow the store and the daemons' records."""

import collections.abc
import random
import typing

from savorybend.internal import timers
from savorybend.relay import catalog
from savorybend.relay import directory
from savorybend.relay import firstconfiguration
from savorybend.relay import fleet
from savorybend.relay import frames
from savorybend.relay import inquiry
from savorybend.relay import presence
from savorybend.relay import reaper
from savorybend.relay import recordfeed
from savorybend.relay import replica
from savorybend.relay import settings
from savorybend.relay import store
from savorybend.relay import storeupdates
from savorybend.relay import storewatch
from savorybend.relay import suspects
from savorybend.relay import watchers


class Parts(typing.NamedTuple):
    """Dependencies of `StoreAccess`.

    Attributes:
        settings: This daemon's name and data centre.
        client: The store.
        timers: Clock and timers.
        rng: Random numbers, for jitter.
        catalog: Receives configurations.
        directory: The other daemons' statements.
        fleet: The links to the other daemons.
        inquiry: What others are asked as this daemon starts.
        publisher: Writes this daemon's own record.
        suspects: Requests that crash backend servers.
        start: Runs a coroutine in the background.
        announce: Tells the connected daemons of a new state.
        push: Sends a message to each daemon that follows this one.
        on_record_lost: Called when the store lost this daemon's own record.
        stopping: Returns whether this daemon is shutting down.
    """

    settings: settings.Settings
    client: store.Store
    timers: timers.TimerService
    rng: random.Random
    catalog: catalog.Catalog
    directory: directory.Directory
    fleet: fleet.Fleet
    inquiry: inquiry.Inquiry
    publisher: presence.Publisher
    suspects: suspects.Suspects
    start: collections.abc.Callable[[collections.abc.Coroutine], None]
    announce: collections.abc.Callable[[], None]
    push: collections.abc.Callable[[frames.Message], None]
    on_record_lost: collections.abc.Callable[[], None]
    stopping: collections.abc.Callable[[], bool]


class StoreAccess:
    """What this daemon reads in the store, itself or through other daemons."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._watchers = self._create_watchers()
        self._updates = self._create_updates()
        self._replica = replica.create_replica(self._updates)
        self._feed = recordfeed.create_record_feed(
            recordfeed.Parts(
                replica=self._replica,
                push=parts.push,
                clock=parts.timers.clock,
            )
        )
        self._reaper = self._create_reaper()
        self._watch = self._create_watch()

    @property
    def store_watchers(self) -> watchers.Watchers:
        """Selects the daemons that watch the store."""
        return self._watchers

    @property
    def feed(self) -> recordfeed.RecordFeed:
        """Passes records on to the daemons that don't watch the store."""
        return self._feed

    @property
    def read_age_s(self) -> float:
        """Age of the newest read of the configuration, in seconds."""
        return min(self._feed.read_age_s, self._watchers.read_age_s)

    def begin(self) -> None:
        """Starts to read the store, and to remove records of ended daemons."""
        self._parts.start(self._watch.run())
        self._parts.timers.every(reaper.CHECK_INTERVAL_S, self._reaper.check)

    def note_follower(self) -> None:
        """Records that another daemon follows this one."""
        self._watch.note_follower()

    def _create_watchers(self) -> watchers.Watchers:
        parts = self._parts
        return watchers.create_watchers(
            watchers.Parts(
                own=parts.settings.name,
                nearby=self._nearby,
                unreachable=parts.fleet.unreachable,
                clock=parts.timers.clock,
                random_fraction=parts.rng.random,
            )
        )

    def _create_updates(self) -> storeupdates.StoreUpdates:
        parts = self._parts
        return storeupdates.create_store_updates(
            storeupdates.Parts(
                own=parts.settings.name,
                timers=parts.timers,
                configuration=firstconfiguration.create_first_configuration(
                    firstconfiguration.Parts(
                        catalog=parts.catalog,
                        inquiry=parts.inquiry,
                        timers=parts.timers,
                        announce=parts.announce,
                    )
                ),
                directory=parts.directory,
                fleet=parts.fleet,
                publisher=parts.publisher,
                on_lost=parts.on_record_lost,
                random_fraction=parts.rng.random,
                suspects=parts.suspects,
            )
        )

    def _create_reaper(self) -> reaper.Reaper:
        parts = self._parts
        return reaper.create_reaper(
            reaper.Parts(
                clock=parts.timers.clock,
                names=self._recorded_names,
                reporting=parts.fleet.reporting,
                unreachable=parts.fleet.probe_unreachable,
                data_centre=self._data_centre,
                client=parts.client,
                start=parts.start,
            )
        )

    def _create_watch(self) -> storewatch.StoreWatch:
        parts = self._parts
        return storewatch.create_store_watch(
            storewatch.Parts(
                client=parts.client,
                rng=parts.rng,
                watchers=self._watchers,
                feed=self._feed,
                replica=self._replica,
                others=lambda: parts.directory.names,
                on_hint=self._updates.on_daemon_hints,
                on_configurations=self._updates.on_configurations,
                follow=parts.fleet.follow,
                announce=parts.announce,
                registered=lambda: parts.publisher.up_to_date,
                stopping=parts.stopping,
            )
        )

    def _nearby(self) -> list[str]:
        """Returns the names of the other daemons of this data centre."""
        own = self._parts.settings.data_centre
        return [
            statement.daemon
            for statement in self._parts.directory.all()
            if statement.data_centre == own
        ]

    def _data_centre(self, name: str) -> str | None:
        """Returns a daemon's data centre unless it has begun to leave."""
        if name == self._parts.settings.name:
            return self._parts.settings.data_centre
        statement = self._parts.directory.get(name)
        if statement is None or statement.state in (
            directory.DRAINING,
            directory.ABSENT,
        ):
            return None
        return statement.data_centre

    def _recorded_names(self) -> set[str]:
        """Returns the names of the other daemons that have records.

        Among them may be one that left: a store that comes back from an older
        copy has its record again.
        """
        known = {one.daemon for one in self._parts.directory.all()}
        return (known | set(self._replica.names)) - {self._parts.settings.name}


def create_store_access(parts: Parts) -> StoreAccess:
    """Returns the components of a daemon that hasn't read the store yet."""
    return StoreAccess(parts)
