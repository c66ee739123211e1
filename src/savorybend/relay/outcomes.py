"""What became of a call that was given to a daemon.

These are messages between daemons as well, so they are `msgspec` structs.
"""

import msgspec

# Reasons, see docs/operators/outcomes.md.
OVERLOADED = "overloaded"
TOO_LATE = "too-late"
PRESSURE = "pressure"
DRAINING = "draining"
NO_BACKEND_SERVER = "no-backend-server"
SHED = "backend-server-shed"
NOT_THE_INSTANCE = "not-the-instance"
UNREACHABLE = "daemon-unreachable"
QUARANTINED = "quarantined"
CALLER_LEFT = "caller-left"
BACKEND_SERVER_LOST = "backend-server-lost"
GARBLED = "answer-garbled"
DAEMON_LOST = "daemon-lost"
DEADLINE = "deadline"

# Mean time of a backend server that answered no call lately.
NOT_MEASURED_S = 0.0


class Share(msgspec.Struct, array_like=True, frozen=True):
    """What part of the calls that are asked of a service may enter.

    Attributes:
        part: From 0 to 1.
        service: The service that is short of room.
    """

    part: float
    service: str


class Load(msgspec.Struct, array_like=True, frozen=True):
    """How busy a backend server is, as its own daemon counts.

    Attributes:
        running: Calls that it works on.
        waiting: Calls that wait beside it.
        limit: Calls that it may work on at once; 0 while it takes none.
        mean_s: Mean time of a call, in seconds, or `NOT_MEASURED_S`.
        part: The part of what it is asked that it can do; see `pressure`.
        shares: By route, the least share of the services that its runs call.
    """

    running: int
    waiting: int
    limit: int
    mean_s: float
    part: float
    shares: dict[str, Share]


class Ran(msgspec.Struct, array_like=True, tag=1):
    """The backend server answered.

    Attributes:
        status: Its HTTP status.
        head: Header lines to pass on, each with its line end.
        body: Its whole body.
    """

    status: int
    head: bytes
    body: bytes


class NotRun(msgspec.Struct, array_like=True, tag=2):
    """Nothing ran, and nothing will.

    Attributes:
        reason: Why.
        retry_after_s: When the caller may come back, in seconds.
        elsewhere: Whether another daemon may well take it.
        arrived: Whether the backend server itself turned it away.
    """

    reason: str
    retry_after_s: float = 0.0
    elsewhere: bool = True
    arrived: bool = False


class Lost(msgspec.Struct, array_like=True, tag=3):
    """It may have run, and there is no answer.

    Attributes:
        reason: Why.
        crashed: Whether the backend server died meanwhile.
    """

    reason: str
    crashed: bool = False


Outcome = Ran | NotRun | Lost
