"""HTTP/1.1 server for callers."""

import itertools

from savorybend.internal import timers
from savorybend.relay import bytebudget
from savorybend.relay import callerconnection
from savorybend.relay import exchanges

# Connections examined for closing when a new one exceeds the limit.
_EVICTION_CANDIDATES = 8
_EVICTION_IDLE_S = 0.3
_MAX_CONNECTIONS = 1000


class CallerServer:
    """Serves the connections of callers at one listener."""

    def __init__(
        self,
        handler: exchanges.Handler,
        clock: timers.Clock,
        bounds: callerconnection.RequestLimits,
        budget: bytebudget.Budget,
        max_connections: int = _MAX_CONNECTIONS,
    ):
        # Ordered by their last request, the least recent first.
        self._connections: dict[callerconnection.CallerConnection, None] = {}
        self._max_connections = max_connections
        self._closing = False
        self.handler = handler
        self.clock = clock
        self.bounds = bounds
        self.budget = budget

    @property
    def waiting(self) -> int:
        """Number of requests that wait for room for their body."""
        return sum(one.waiting for one in self._connections)

    @property
    def closing(self) -> bool:
        """Whether each connection is closed after its next answer.

        That is also so while there are too many connections: without free
        descriptors no caller is accepted and no backend server is reached.
        """
        return self._closing or len(self._connections) > self._max_connections

    @property
    def busy(self) -> int:
        """Number of requests that wait for an answer."""
        return sum(one.pending for one in self._connections)

    @property
    def writing(self) -> int:
        """Number of connections whose caller hasn't taken all answers."""
        return sum(one.writing for one in self._connections)

    def create(self) -> callerconnection.CallerConnection:
        """Returns the protocol for a new connection."""
        return callerconnection.CallerConnection(self)

    def add(self, connection: callerconnection.CallerConnection) -> None:
        """Adds a new connection; above the limit, closes idle ones."""
        self._connections[connection] = None
        if len(self._connections) > self._max_connections:
            self._close_some_idle()

    def mark_used(self, connection: callerconnection.CallerConnection) -> None:
        """Records that a request arrived on a connection."""
        if self._connections.pop(connection, self) is None:
            self._connections[connection] = None

    def discard(self, connection: callerconnection.CallerConnection) -> None:
        """Removes a closed connection."""
        self._connections.pop(connection, None)

    def start_closing(self) -> None:
        """Closes each connection after its next answer from now on."""
        self._closing = True

    def end_requests(self) -> None:
        """Answers all requests that still wait for an answer."""
        for connection in list(self._connections):
            connection.end_requests()

    def close_idle(self) -> None:
        """Closes the connections without a request under way."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def sweep(self) -> None:
        """Closes connections that are idle or send too slowly."""
        now_s = self.clock.now_s()
        for connection in list(self._connections):
            connection.sweep(now_s)

    def _close_some_idle(self) -> None:
        now_s = self.clock.now_s()
        for connection in list(
            itertools.islice(self._connections, _EVICTION_CANDIDATES)
        ):
            if connection.idle_s(now_s) > _EVICTION_IDLE_S:
                connection.close_if_idle()
