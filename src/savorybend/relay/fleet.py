"""The other daemons: links to them, news from them, and the lender's part."""

import collections.abc
import itertools
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import allowance
from savorybend.relay import catalog
from savorybend.relay import directory
from savorybend.relay import frames
from savorybend.relay import lender
from savorybend.relay import links
from savorybend.relay import outcomes
from savorybend.relay import placing
from savorybend.relay import reception
from savorybend.relay import serving
from savorybend.relay import suspects

# Connections that stand also while no calls go over them: enough for news to
# reach everybody, few enough for a thousand daemons.
_NEIGHBOURS = 4
# The lender, and the one that takes its place, are asked in a hurry.
_LENDERS = 2
# A daemon whose answer to a ping is missing for so long counts as out of reach.
_PING_GRACE_S = 0.8

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """What a fleet is made of."""

    own: links.Own
    directory: directory.Directory
    catalog: catalog.Catalog
    timers: timers.TimerService
    tasks: set


class Consumers(typing.NamedTuple):
    """Who uses what the others tell."""

    serving: serving.Serving
    placing: placing.Placing
    allowance: allowance.Allowance
    suspects: suspects.Suspects


class Fleet:
    """Links to the other daemons, by name."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._clock = parts.timers.clock
        self._links: dict[str, links.Link] = {}
        # Unique in one start of this daemon; others know starts by their boot.
        self._numbers = itertools.count(1)
        self._lender = lender.create_lender(self._clock)
        self._users: Consumers | None = None
        self._fetching_s = 0.0
        self._link_parts = links.Parts(
            own=parts.own,
            events=self,
            clock=self._clock,
            timers=parts.timers,
            tasks=parts.tasks,
        )

    def connect(self, users: Consumers) -> reception.Reception:
        """Begins; returns the connections that other daemons dial."""
        self._users = users
        self._parts.timers.every(
            allowance.REPORT_INTERVAL_S, users.allowance.report
        )
        self._parts.timers.every(
            allowance.SWEEP_INTERVAL_S, users.allowance.sweep
        )
        return reception.Reception(self._link_parts, users.serving)

    def link(self, daemon: str) -> links.Link:
        """Returns the link to a daemon that is in the directory."""
        link = self._links.get(daemon)
        if link is None:
            statement = self._parts.directory.get(daemon)
            link = links.Link(statement, self._link_parts, self._numbers)
            self._links[daemon] = link
        return link

    def unreachable(self, daemon: str) -> bool:
        """Returns whether a daemon couldn't be reached just now."""
        link = self._links.get(daemon)
        if link is None:
            return False
        return link.failing or link.silent_s > _PING_GRACE_S

    def forget(self, daemon: str, source: str) -> None:
        """Drops a daemon that is gone for good."""
        self._parts.directory.remove(daemon, source)
        link = self._links.pop(daemon, None)
        if link is not None:
            link.close()
        self._choose_neighbours()

    def tick(self) -> None:
        """Looks after the links; called a few times a second."""
        for link in list(self._links.values()):
            link.tick()

    def broadcast_suspicion(self, content: bytes, deaths: int) -> None:
        """Tells the daemons that are reached of a suspect."""
        message = frames.Suspicion(content, deaths)
        for link in self._links.values():
            link.tell(message)

    def on_statement(self, statement: frames.Statement, source: str) -> None:
        """Takes what a daemon says of itself."""
        if not self._parts.directory.learn(statement, source):
            return
        link = self._links.get(statement.daemon)
        if link is not None:
            link.update(statement)
        self._choose_neighbours()

    def on_version(self, link: links.Link, version: int) -> None:
        """Fetches a configuration that a peer has and this daemon hasn't."""
        if version <= self._parts.catalog.version:
            return
        now_s = self._clock.now_s()
        if now_s - self._fetching_s > 0.2:
            self._fetching_s = now_s
            link.tell(frames.FetchConfiguration())

    def on_load(self, daemon: str, load: outcomes.Load) -> None:
        """Takes how busy a peer's backend server is."""
        self._users.placing.hear(daemon, load)

    def on_other(
        self,
        reply: collections.abc.Callable[[frames.Message], None],
        daemon: str,
        message: typing.Any,
    ) -> None:
        """Takes a message that isn't about calls."""
        match message:
            case frames.FetchConfiguration():
                current = self._parts.catalog.current
                if current:
                    reply(
                        frames.ConfigurationDocument(
                            current.version, current.document
                        )
                    )
            case frames.ConfigurationDocument(document=document):
                self._parts.catalog.offer(document, daemon)
            case frames.Need():
                reply(self._lend(daemon, message))
            case frames.Loan():
                self._users.allowance.borrow(message)
            case frames.Suspicion(digest=digest, crashes=crashes):
                self._users.suspects.hear(digest, crashes)

    def ask_lender(self, need: frames.Need) -> None:
        """Asks the lender for tokens of client accounts."""
        name = self._lender_name()
        if name == self._parts.own.statement.daemon:
            self._users.allowance.borrow(self._lend(name, need))
            return
        self.link(name).tell_when_up(need)

    def reporting(self) -> set[str] | None:
        """Returns who reported to this daemon lately, if it is the lender."""
        if self._lender_name() != self._parts.own.statement.daemon:
            return None
        return self._lender.reporting

    def probe_unreachable(self, daemon: str) -> bool:
        """Returns whether a daemon can't be reached, trying it if need be."""
        link = self.link(daemon)
        if not link.up and not link.failing:
            link.tell_when_up(frames.Ping(self._parts.own.version, 0))
        return link.failing

    def _lender_name(self) -> str:
        """Returns the first daemon by name that is reached."""
        own = self._parts.own.statement.daemon
        for name in self._parts.directory.names:
            if name > own:
                break
            if not self.unreachable(name):
                return name
        return own

    def _lend(self, daemon: str, need: frames.Need) -> frames.Loan:
        current = self._parts.catalog.current
        if not current:
            return frames.Loan({}, {})
        return self._lender.lend(
            daemon, need, current.accounts, self._parts.directory.size
        )

    def _choose_neighbours(self) -> None:
        """Keeps links to the next daemons in the order of names."""
        own = self._parts.own.statement.daemon
        names = self._parts.directory.names
        after = [name for name in names if name > own]
        ring = after + [name for name in names if name < own]
        chosen = {*ring[:_NEIGHBOURS], *names[:_LENDERS]}
        for name in chosen:
            self.link(name).keep(True)
        for name, link in self._links.items():
            if name not in chosen:
                link.keep(False)


def create_fleet(parts: Parts) -> Fleet:
    """Returns a fleet without links."""
    return Fleet(parts)
