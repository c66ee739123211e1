"""Quarantines requests that crash backend servers.

When a backend server dies, each request that it was running becomes a suspect.
An answer to the same content clears the suspect; a third death quarantines the
content at all daemons. This protects the backend servers from a caller that
sends such a request repeatedly.
"""

import collections
import collections.abc
import hashlib

import structlog

from savorybend.internal import timers
from savorybend.relay import calls

_MOST_DEATHS = 3
_REMEMBERED_S = 120.0
_MOST_SUSPECTS = 10_000
_DIGEST_BYTES = 16

_log = structlog.get_logger()

# Reports a digest and its number of deaths to other daemons; 0 clears it.
Tell = collections.abc.Callable[[bytes, int], None]


class _Suspect:
    __slots__ = ("deaths", "last_s", "crashes")

    def __init__(self):
        self.deaths = 0
        self.last_s = 0.0
        self.crashes: set[str] = set()


class Suspects:
    """Digests of requests that backend servers died under."""

    def __init__(self, clock: timers.Clock, tell: Tell):
        self._clock = clock
        self._tell = tell
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )

    def quarantined(self, call: calls.Call) -> bool:
        """Returns whether a call must not be sent to a backend server."""
        if not self._suspects:
            return False
        suspect = self._suspects.get(digest(call))
        if suspect is None or suspect.deaths < _MOST_DEATHS:
            return False
        return self._clock.now_s() - suspect.last_s < _REMEMBERED_S

    def note_crash(self, call: calls.Call, crash: str, instance: str) -> None:
        """Records that a backend server crashed while it ran a request.

        Args:
            call: The request.
            crash: ID of the crash, the same for all requests that it hit.
            instance: ID of the backend server, for the log.
        """
        content = digest(call)
        suspect = self._suspects.get(content) or self._add(content)
        if crash in suspect.crashes:
            return
        suspect.crashes.add(crash)
        suspect.deaths += 1
        suspect.last_s = self._clock.now_s()
        self._tell(content, suspect.deaths)
        _log.warning(
            "request_suspected",
            request_id=call.request_id,
            route=call.route,
            content=content.hex(),
            instance=instance,
            deaths=suspect.deaths,
        )

    def note_answer(self, call: calls.Call) -> None:
        """Records that a backend server answered a request."""
        if not self._suspects:
            return
        content = digest(call)
        suspect = self._suspects.pop(content, None)
        if suspect is not None:
            self._tell(content, 0)
            _log.info(
                "suspicion_cleared",
                request_id=call.request_id,
                content=content.hex(),
                deaths=suspect.deaths,
                source="answer",
            )

    def hear(self, content: bytes, deaths: int, source: str) -> None:
        """Applies a report from another daemon.

        Args:
            content: Digest of the request.
            deaths: Deaths known to the other daemon; 0 clears the suspect.
            source: Name of the other daemon, for the log.
        """
        if deaths == 0:
            suspect = self._suspects.pop(content, None)
            if suspect is not None:
                _log.info(
                    "suspicion_cleared",
                    content=content.hex(),
                    deaths=suspect.deaths,
                    source=source,
                )
            return
        suspect = self._suspects.get(content) or self._add(content)
        suspect.deaths = max(suspect.deaths + 1, deaths)
        suspect.last_s = self._clock.now_s()
        _log.info(
            "suspicion_heard",
            content=content.hex(),
            deaths=suspect.deaths,
            told=deaths,
            source=source,
        )

    def _add(self, content: bytes) -> _Suspect:
        suspect = self._suspects[content] = _Suspect()
        if len(self._suspects) > _MOST_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect


def digest(call: calls.Call) -> bytes:
    """Returns a digest of a call's service, method, target and body."""
    content = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (call.service.encode(), call.method, call.target, call.body):
        content.update(len(part).to_bytes(8, "big"))
        content.update(part)
    return content.digest()


def create_suspects(clock: timers.Clock, tell: Tell) -> Suspects:
    """Returns an empty set of suspects.

    Args:
        clock: The clock.
        tell: Reports changes to other daemons.
    """
    return Suspects(clock, tell)
