"""Outcomes of calls that were sent to a daemon, and the load reports.

Daemons also send these as messages, so they are `msgspec` structs.
"""

import msgspec

# Reasons, see docs/operators/outcomes.md.
OVERLOADED = "overloaded"
TOO_LATE = "too-late"
PRESSURE = "pressure"
DRAINING = "draining"
NO_BACKEND_SERVER = "no-backend-server"
SHED = "backend-server-shed"
SERVER_LIMIT = "backend-server-limit"
NOT_THE_INSTANCE = "not-the-instance"
UNREACHABLE = "daemon-unreachable"
QUARANTINED = "quarantined"
CALLER_LEFT = "caller-left"
BACKEND_SERVER_LOST = "backend-server-lost"
GARBLED = "answer-garbled"
DAEMON_LOST = "daemon-lost"
DEADLINE = "deadline"
LEAVING = "leaving"
MEMORY = "memory"

# Mean time of a backend server without recent answers.
NOT_MEASURED_S = 0.0


class Share(msgspec.Struct, array_like=True, frozen=True):
    """The share of calls to a service that should be admitted.

    Attributes:
        part: The share, from 0 to 1.
        service: The overloaded service that limits the share.
    """

    part: float
    service: str


class Terms(msgspec.Struct, array_like=True, frozen=True):
    """What a backend server has said of itself in its responses.

    Attributes:
        instance: ID of the backend server.
        born_ms: When it started, Unix time in milliseconds.
        rate_per_s: Requests per second that it takes from all daemons; None
            for any number.
        leaving: Whether it is about to shut down.
    """

    instance: str
    born_ms: int
    rate_per_s: float | None = None
    leaving: bool = False


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of a backend server, measured by its own daemon.

    Attributes:
        running: Number of running calls.
        waiting: Number of queued calls.
        limit: Number of running calls when it is fully used; 0 while it
            accepts none.
        mean_s: Mean time of a call, in seconds, or `NOT_MEASURED_S`.
        part: Share of the offered load that it can handle; see `admission`.
        shares: By route, the smallest share of the services that requests on
            the route call.
        terms: What it has said of itself; None if nothing is in force.
    """

    running: int
    waiting: int
    limit: int
    mean_s: float
    part: float
    shares: dict[str, Share]
    terms: Terms | None = None

    @property
    def rate_limited(self) -> bool:
        """Whether the backend server has named a limit."""
        return self.terms is not None and self.terms.rate_per_s is not None


class Ran(msgspec.Struct, array_like=True, tag=1):
    """The backend server answered.

    Attributes:
        status: The HTTP status.
        head: Header lines to pass on, each with its line end.
        body: The whole body; any type of bytes unless it was received.
    """

    status: int
    head: bytes
    body: memoryview


class NotRun(msgspec.Struct, array_like=True, tag=2):
    """The call didn't run and will not.

    Attributes:
        reason: One of the reasons above.
        retry_after_s: When the caller may retry, in seconds.
        elsewhere: Whether another daemon may accept the call.
        arrived: Whether the backend server itself refused the call.
    """

    reason: str
    retry_after_s: float = 0.0
    elsewhere: bool = True
    arrived: bool = False


class Lost(msgspec.Struct, array_like=True, tag=3):
    """The call may have run, but there is no answer.

    Attributes:
        reason: One of the reasons above.
        crashed: Whether the backend server died while the call ran.
    """

    reason: str
    crashed: bool = False


Outcome = Ran | NotRun | Lost
