"""Links to the other daemons, dispatch of their messages, and token lending."""

import collections.abc
import itertools
import typing

import structlog

from savorybend.internal import neighbours
from savorybend.internal import timers
from savorybend.relay import allowance
from savorybend.relay import backgroundtasks
from savorybend.relay import bytebudget
from savorybend.relay import catalog
from savorybend.relay import configurationfetch
from savorybend.relay import directory
from savorybend.relay import frames
from savorybend.relay import inquiry
from savorybend.relay import lender
from savorybend.relay import lenderchoice
from savorybend.relay import linkinterfaces
from savorybend.relay import links
from savorybend.relay import loadbalancer
from savorybend.relay import outcomes
from savorybend.relay import peerserver
from savorybend.relay import recordfeed
from savorybend.relay import serverterms
from savorybend.relay import serving
from savorybend.relay import suspects
from savorybend.relay import traffic
from savorybend.relay import watchers

# Number of peers to which a connection is kept open without calls: enough to
# spread updates to all daemons, and affordable in a fleet of a thousand.
_NEIGHBOUR_COUNT = 4
# Connections to the lender and its successor are kept open as well, since
# waiting calls depend on their replies.
_LENDER_LINKS = 2
# A daemon that leaves a ping unanswered for this long counts as unreachable.
_PING_TIMEOUT_S = 0.8

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """Dependencies of `Fleet`."""

    own: linkinterfaces.LocalState
    directory: directory.Directory
    catalog: catalog.Catalog
    timers: timers.TimerService
    start: backgroundtasks.Start
    traffic: traffic.Traffic
    budget: bytebudget.Budget


class Consumers(typing.NamedTuple):
    """Components that receive the contents of peers' messages.

    Attributes:
        serving: Executes calls.
        load_balancer: Receives loads.
        allowance: Receives tokens.
        suspects: Receives reports of requests that crash backend servers.
        feed: Receives and sends records.
        watchers: Receives what daemons say of their watches.
        server_terms: Receives what others know of the backend server.
        inquiry: Notes which others have said what they know.
        on_follower: Called when a daemon requests records.
    """

    serving: serving.Serving
    load_balancer: loadbalancer.LoadBalancer
    allowance: allowance.Allowance
    suspects: suspects.Suspects
    feed: recordfeed.RecordFeed
    watchers: watchers.Watchers
    server_terms: serverterms.ServerTerms
    inquiry: inquiry.Inquiry
    on_follower: collections.abc.Callable[[], None]


class Fleet:
    """Links to the other daemons, by daemon name."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._clock = parts.timers.clock
        self._links: dict[str, links.Link] = {}
        # Unique within one start of this daemon; peers tell starts apart by
        # the statement's boot number.
        self._request_numbers = itertools.count(1)
        self._lender = lender.create_lender(self._clock)
        self._lender_choice = lenderchoice.create_lender_choice(
            lambda: parts.own.statement, parts.directory
        )
        self._consumers: Consumers | None = None
        self._fetches = configurationfetch.create_configuration_fetch(
            self._clock
        )
        self._neighbours: set[str] = set()
        self._neighbours_due = False
        self._followed: tuple[str, ...] = ()
        # Daemons that are known to pass records on.
        self._feeding: set[str] = set()
        self._link_dependencies = linkinterfaces.Dependencies(
            own=parts.own,
            events=self,
            clock=self._clock,
            timers=parts.timers,
            start=parts.start,
            traffic=parts.traffic,
            budget=parts.budget,
        )

    def connect(self, consumers: Consumers) -> peerserver.PeerServer:
        """Starts the timers; returns the handler of incoming connections."""
        self._consumers = consumers
        self._parts.timers.every(
            allowance.REPORT_INTERVAL_S, consumers.allowance.report
        )
        self._parts.timers.every(
            allowance.SWEEP_INTERVAL_S, consumers.allowance.sweep
        )
        return peerserver.PeerServer(self._link_dependencies, consumers.serving)

    def link(self, daemon: str) -> links.Link:
        """Returns the link to a known daemon, creating it if needed."""
        link = self._links.get(daemon)
        if link is None:
            statement = self._parts.directory.get(daemon)
            link = links.Link(
                statement, self._link_dependencies, self._request_numbers
            )
            self._links[daemon] = link
        return link

    def unreachable(self, daemon: str) -> bool:
        """Returns whether the link to a daemon has failed or is silent."""
        link = self._links.get(daemon)
        if link is None:
            return False
        return link.failing or link.ping_wait_s > _PING_TIMEOUT_S

    def forget(self, daemon: str, source: str) -> None:
        """Removes a daemon from the directory and closes its link.

        Args:
            daemon: The daemon's name.
            source: Where the removal was learned, for the log.
        """
        self._parts.directory.remove(daemon, source)
        link = self._links.pop(daemon, None)
        if link is not None:
            link.close()
        self._neighbours_due = True

    def tick(self) -> None:
        """Maintains the links; called a few times a second."""
        if self._neighbours_due:
            # Once for all daemons of a listing: each choice takes time that
            # grows with the fleet, and opens connections.
            self._neighbours_due = False
            self._choose_neighbours()
        for link in list(self._links.values()):
            link.tick()

    def tell_service(self, service: str, report: frames.Suspicion) -> None:
        """Sends a report of a suspect to the other daemons of a service."""
        for statement in self._parts.directory.of_service(service):
            self.link(statement.daemon).send_when_connected(report)

    def spread(self, report: frames.Suspicion) -> None:
        """Sends a report of a suspect to the neighbours."""
        for name in self._neighbours:
            self.link(name).send_when_connected(report)

    def is_lender(self) -> bool:
        """Returns whether this daemon lends tokens to the others."""
        return self._lender_name() == self._parts.own.statement.daemon

    def runs_trial(self, service: str, text: str) -> bool:
        """Returns whether this daemon is the one of a service for a text."""
        own = self._parts.own.statement.daemon
        ready = [
            one.daemon
            for one in self._parts.directory.of_service(service)
            if one.state == directory.READY
        ]
        return own == max(
            [own, *ready], key=lambda name: neighbours.score(text, name)
        )

    def on_connect(
        self, send: collections.abc.Callable[[frames.Message], None]
    ) -> None:
        """Tells a daemon that has connected of the known suspects."""
        for report in self._consumers.suspects.reports():
            send(report)

    def on_statement(self, statement: frames.Statement, source: str) -> None:
        """Applies a daemon's statement if it is newer than the known one."""
        if not self._parts.directory.learn(statement, source):
            return
        link = self._links.get(statement.daemon)
        if link is not None:
            link.update(statement)
        self._neighbours_due = True

    def on_version(self, link: links.Link, version: int) -> None:
        """Fetches the configuration from a peer that has a newer one."""
        own_version = self._parts.catalog.version
        if self._fetches.is_due(version, own_version, link.remote):
            link.send_if_connected(frames.FetchConfiguration(packed=True))

    def follow(self, names: collections.abc.Sequence[str]) -> None:
        """Keeps connections to daemons, and follows their records."""
        if tuple(names) != self._followed:
            self._followed = tuple(names)
            self._neighbours_due = True
        for name in names:
            link = self._links.get(name)
            if link is not None and name in self._feeding:
                self._request_records(link)

    def on_feed(self, link: links.Link, feed: frames.Feed | None) -> None:
        """Applies what a peer says of its copy of the records."""
        if feed is None:
            return
        self._feeding.add(link.daemon)
        self._consumers.watchers.note(
            link.daemon, watchers.parse_state(feed.state), feed.read_age_s
        )
        if link.daemon not in self._followed:
            return
        if not link.following or self._consumers.feed.misses(feed.position):
            link.follow(self._consumers.feed.feed.position)

    def on_follow(
        self,
        message: frames.Follow,
        send: collections.abc.Callable[[frames.Message], None],
    ) -> None:
        """Sends a peer the records that it requests."""
        self._consumers.on_follower()
        self._consumers.feed.on_follow(message, send)

    def on_load(self, daemon: str, load: outcomes.Load) -> None:
        """Passes on the load of a peer's backend server."""
        self._consumers.load_balancer.update_load(daemon, load)
        if load.terms is not None and load.terms.leaving:
            self._parts.directory.note_departure(
                daemon,
                directory.Departure(load.terms.born_ms, load.terms.instance),
            )

    def terms_of(self, daemon: str) -> outcomes.Terms | None:
        """Returns what a daemon should know of its own backend server."""
        terms = self._consumers.load_balancer.terms(daemon)
        departure = self._parts.directory.departure(daemon)
        if departure is None:
            return terms
        if terms is not None and terms.born_ms > departure.born_ms:
            return terms
        return outcomes.Terms(
            departure.instance, departure.born_ms, leaving=True
        )

    def on_hello(self, hello: frames.Hello) -> None:
        """Applies what a peer knows from before this daemon's start."""
        name = hello.statement.daemon
        if hello.terms is not None:
            self._consumers.server_terms.note_told(name, hello.terms)
        self._consumers.inquiry.note(name, hello.version)

    def on_control_message(
        self,
        reply: collections.abc.Callable[[frames.Message], None],
        daemon: str,
        message: typing.Any,
    ) -> None:
        """Handles a message that doesn't concern calls.

        Args:
            reply: Sends a message back to the sender.
            daemon: Name of the sender.
            message: The message; kinds not handled here are ignored.
        """
        match message:
            case frames.FetchConfiguration():
                self._fetches.answer(message, self._parts.catalog, reply)
            case frames.ConfigurationDocument():
                self._fetches.receive(message, self._parts.catalog, daemon)
            case frames.LoanRequest():
                reply(self._lend(daemon, message))
            case frames.Loan():
                self._consumers.allowance.borrow(message)
            case frames.Suspicion():
                self._consumers.suspects.hear(message, daemon)
            case frames.Records():
                self._consumers.feed.on_records(message, reply)

    def ask_lender(self, request: frames.LoanRequest) -> None:
        """Requests tokens of client accounts from the lender."""
        name = self._lender_name()
        if name == self._parts.own.statement.daemon:
            self._consumers.allowance.borrow(self._lend(name, request))
            return
        self.link(name).send_when_connected(request)

    def reporting(self) -> set[str] | None:
        """Returns the daemons that recently sent a request to this lender.

        Returns None if this daemon isn't the lender.
        """
        if not self.is_lender():
            return None
        return self._lender.reporting

    def probe_unreachable(self, daemon: str) -> bool:
        """Returns whether the link to a daemon fails.

        An idle link is pinged first; its failure shows in a later call.
        """
        if self._parts.directory.get(daemon) is None:
            return True
        link = self.link(daemon)
        if not link.connected and not link.failing:
            link.send_when_connected(frames.Ping(self._parts.own.version, 0))
        return link.failing

    def _lender_name(self) -> str:
        return self._lender_choice.choose(self.unreachable)

    def _lend(self, daemon: str, request: frames.LoanRequest) -> frames.Loan:
        current = self._parts.catalog.current
        if not current:
            return frames.Loan({}, {})
        return self._lender.lend(
            daemon, request, current.accounts, self._parts.directory.size
        )

    def _request_records(self, link: links.Link) -> None:
        if not link.following:
            link.follow(self._consumers.feed.feed.position)

    def _choose_neighbours(self) -> None:
        """Keeps links to lenders, watchers and the next daemons by name."""
        own = self._parts.own.statement.daemon
        names = self._parts.directory.names
        after = [name for name in names if name > own]
        ring = after + [name for name in names if name < own]
        known = [
            name for name in self._followed if self._parts.directory.get(name)
        ]
        self._neighbours = {
            *ring[:_NEIGHBOUR_COUNT],
            *self._lender_choice.order[:_LENDER_LINKS],
            *known,
        } - {own}
        for name in self._neighbours:
            self.link(name).set_persistent(True)
        for name, link in self._links.items():
            if name not in self._neighbours:
                link.set_persistent(False)


def create_fleet(parts: Parts) -> Fleet:
    """Returns a fleet without links; `connect` starts it."""
    return Fleet(parts)
