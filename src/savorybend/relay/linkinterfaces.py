"""What connections between daemons need of the rest of the daemon."""

import collections.abc
import typing

from savorybend.internal import timers
from savorybend.relay import backgroundtasks
from savorybend.relay import bytebudget
from savorybend.relay import frames
from savorybend.relay import outcomes
from savorybend.relay import traffic

OnOutcome = collections.abc.Callable[[outcomes.Outcome], None]


class LocalState(typing.Protocol):
    """State of the local daemon that is sent to peers."""

    @property
    def statement(self) -> frames.Statement:
        """Its newest statement."""

    @property
    def version(self) -> int:
        """Version of its configuration; 0 for none."""

    @property
    def load(self) -> outcomes.Load:
        """The load of its backend server."""

    @property
    def feed(self) -> frames.Feed | None:
        """Its copy of the records in the store."""


class PeerLink(typing.Protocol):
    """The connection to one peer."""

    @property
    def daemon(self) -> str:
        """The peer's name."""


class Events(typing.Protocol):
    """Callbacks from links to the rest of the daemon."""

    def on_statement(self, statement: frames.Statement, source: str) -> None:
        """Handles a daemon's statement, sent by it or by another one."""

    def on_version(self, link: PeerLink, version: int) -> None:
        """Handles the version of a peer's configuration."""

    def on_connect(
        self, send: collections.abc.Callable[[frames.Message], None]
    ) -> None:
        """Sends what a peer may have missed; before any call."""

    def terms_of(self, daemon: str) -> outcomes.Terms | None:
        """Returns what is known of a daemon's backend server."""

    def on_hello(self, hello: frames.Hello) -> None:
        """Handles what a peer says first; before anything else of it."""

    def on_feed(self, link: PeerLink, feed: frames.Feed | None) -> None:
        """Handles what a peer says of its copy of the records."""

    def on_follow(
        self,
        message: frames.Follow,
        send: collections.abc.Callable[[frames.Message], None],
    ) -> None:
        """Handles a request for the records."""

    def on_load(self, daemon: str, load: outcomes.Load) -> None:
        """Handles the load of a peer's backend server."""

    def on_control_message(
        self, reply: collections.abc.Callable, daemon: str, message: typing.Any
    ) -> None:
        """Handles a message that isn't about calls."""


class Dependencies(typing.NamedTuple):
    """Dependencies of links and of the peer server."""

    own: LocalState
    events: Events
    clock: timers.Clock
    timers: timers.TimerService
    start: backgroundtasks.Start
    traffic: traffic.Traffic
    budget: bytebudget.Budget
