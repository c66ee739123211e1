"""Holds back requests that crash backend servers.

When a backend server crashes, each request that it was running becomes a
suspect. An answer to a later run of the same content clears it; a third crash
holds it back at all daemons. A held content gets a few trial runs in all, so
that one that was in flight by chance gets out again.

What is known of a content is told to the daemons of its service, to every
daemon that connects, and through the records in the store, so that it outlasts
daemons that start, freeze or are cut off.
"""

import collections
import collections.abc
import itertools
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import contents
from savorybend.relay import frames
from savorybend.relay import suspicion

_CRASHES_BEFORE_HELD = 3
# Time from the last crash to the first trial and from the first to the second.
# There are no more: each may crash a backend server.
_TRIAL_DELAYS_S = (30.0, 300.0)
# A content is forgotten after this long without a crash or a trial.
_LIFETIME_S = 24 * 3600.0
# A cleared content is remembered for daemons that were cut off meanwhile.
_CLEARED_LIFETIME_S = 600.0
_MAX_SUSPECTS = 10_000
_MAX_TOLD_AT_ONCE = 1_000
_MAX_STORED = 64
_MIN_SHARED_CRASHES = 2
_MS_PER_S = 1000
_FIRST_SUCCESS = 200
_FIRST_REDIRECT = 300
_FIRST_SERVER_ERROR = 500

_log = structlog.get_logger()


class Permit(typing.NamedTuple):
    """What was known of a content when a run of it began.

    Attributes:
        crashes: IDs of the crashes that counted.
        trial: Whether the run is a trial of a held content.
    """

    crashes: frozenset[str]
    trial: bool


_UNSUSPECTED = Permit(frozenset(), False)


class Parts(typing.NamedTuple):
    """Dependencies of `Suspects`.

    Attributes:
        clock: The wall clock, in seconds since the Unix epoch.
        tell: Sends a report to the daemons of a service.
        spread: Sends a report to neighbours, which send it on.
        runs_trial: Returns whether this daemon is the one of a service that
            runs a trial; all daemons agree on the daemon for a text.
        store: Called when this daemon should store `stored` again.
        is_lender: Returns whether this daemon is the fleet's lender.
    """

    clock: timers.Clock
    tell: collections.abc.Callable[[str, frames.Suspicion], None]
    spread: collections.abc.Callable[[frames.Suspicion], None]
    runs_trial: collections.abc.Callable[[str, str], bool]
    store: collections.abc.Callable[[], None]
    is_lender: collections.abc.Callable[[], bool]


class Suspects:
    """Contents that backend servers crashed under, by digest."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._suspicions: collections.OrderedDict[
            bytes, suspicion.Suspicion
        ] = collections.OrderedDict()

    @property
    def stored(self) -> tuple[frames.Suspicion, ...]:
        """Reports that this daemon stores in its record, held ones first."""
        worth_storing = [
            (found.highest_count, found.last_ms, digest)
            for digest, found in self._suspicions.items()
            if _is_held(found) or found.highest_count >= _MIN_SHARED_CRASHES
        ]
        worth_storing.sort(reverse=True)
        return tuple(
            self._suspicions[digest].report(digest)
            for *_, digest in worth_storing[:_MAX_STORED]
        )

    def held(self, request: contents.Request) -> bool:
        """Returns whether a request must not be sent to a backend server."""
        if not self._suspicions:
            return False
        found = self._suspicions.get(request.digest)
        if found is None or not _is_held_for(found, request):
            return False
        return not self._is_trial_due(request, found)

    def begin(self, request: contents.Request) -> Permit:
        """Notes that a request that isn't held is about to be sent.

        Returns:
            What the caller passes to `note_answer`.
        """
        if not self._suspicions:
            return _UNSUSPECTED
        found = self._suspicions.get(request.digest)
        if found is None:
            return _UNSUSPECTED
        trial = _is_held_for(found, request)
        if trial:
            found.add_trial(self._now_ms())
            report = found.report(request.digest)
            self._parts.tell(request.service, report)
            self._parts.spread(report)
            self._parts.store()
            _log.info(
                "suspicion_trial",
                request_id=request.request_id,
                content=request.digest.hex(),
                trial=found.trials,
            )
        return Permit(found.open, trial)

    def note_crash(
        self, request: contents.Request, crash: str, instance: str
    ) -> None:
        """Records that a backend server crashed while it ran a request.

        Args:
            request: The request.
            crash: ID of the crash, the same for all requests that it hit.
            instance: ID of the backend server, for the log.
        """
        digest = request.digest
        found = self._suspicions.get(digest) or self._add(digest)
        was_held = _is_held(found)
        if not found.add_crash(crash, request.scope, self._now_ms()):
            return
        self._suspicions.move_to_end(digest)
        self._parts.tell(request.service, found.report(digest))
        if found.highest_count >= _MIN_SHARED_CRASHES:
            self._parts.store()
        _log.warning(
            "request_suspected",
            request_id=request.request_id,
            route=request.route,
            content=digest.hex(),
            instance=instance,
            deaths=len(found.open),
        )
        self._after_change(digest, found, was_held)

    def note_answer(
        self, request: contents.Request, permit: Permit, status: int
    ) -> None:
        """Records that a backend server answered a request.

        A failure doesn't show that the request ran to its end. Crashes during
        the run still count, since it doesn't show that they were by chance.

        Args:
            request: The request.
            permit: What `begin` returned.
            status: Status of the answer.
        """
        end = _FIRST_SERVER_ERROR if permit.trial else _FIRST_REDIRECT
        if not permit.crashes or not _FIRST_SUCCESS <= status < end:
            return
        digest = request.digest
        found = self._suspicions.get(digest)
        if found is None:
            return
        was_held = _is_held(found)
        spared = _CRASHES_BEFORE_HELD if permit.trial else 0
        if not found.acquit(permit.crashes, request.scope, spared):
            return
        self._parts.tell(request.service, found.report(digest))
        _log.info(
            "suspicion_cleared",
            request_id=request.request_id,
            content=digest.hex(),
            deaths=len(found.open),
            source="answer",
        )
        self._after_change(digest, found, was_held)

    def hear(self, report: frames.Suspicion, source: str) -> None:
        """Applies a report from another daemon or from the store.

        Args:
            report: The report.
            source: Name of the other daemon, for the log.
        """
        if self._is_forgotten(report):
            return
        found = self._suspicions.get(report.digest)
        if found is None:
            found = self._add(report.digest)
        was_held = _is_held(found)
        if not found.merge(report, self._now_ms()):
            return
        self._suspicions.move_to_end(report.digest)
        _log.info(
            "suspicion_heard",
            content=report.digest.hex(),
            deaths=len(found.open),
            told=report.crashes,
            source=source,
        )
        self._after_change(report.digest, found, was_held)

    def reports(self) -> list[frames.Suspicion]:
        """Returns what a daemon that connects must be told, newest first.

        A content with a single crash is left out: the report of its next crash
        names that one too.
        """
        found = (
            other.report(digest)
            for digest, other in reversed(self._suspicions.items())
            if other.crashes >= _MIN_SHARED_CRASHES
        )
        return list(itertools.islice(found, _MAX_TOLD_AT_ONCE))

    def sweep(self) -> None:
        """Forgets contents whose lifetime is over."""
        now_ms = self._now_ms()
        for digest, found in list(self._suspicions.items()):
            if now_ms - found.last_ms > _lifetime_s(found) * _MS_PER_S:
                del self._suspicions[digest]

    def _after_change(
        self, digest: bytes, found: suspicion.Suspicion, was_held: bool
    ) -> None:
        if _is_held(found) == was_held:
            return
        self._parts.spread(found.report(digest))
        if self._parts.is_lender():
            self._parts.store()

    def _is_trial_due(
        self, request: contents.Request, found: suspicion.Suspicion
    ) -> bool:
        if found.trials >= len(_TRIAL_DELAYS_S):
            return False
        delay_ms = _TRIAL_DELAYS_S[found.trials] * _MS_PER_S
        if self._now_ms() - found.last_ms < delay_ms:
            return False
        return self._parts.runs_trial(
            request.service, f"{request.digest.hex()}{found.trials}"
        )

    def _is_forgotten(self, report: frames.Suspicion) -> bool:
        """Returns whether a report is too old to be of use."""
        age_ms = self._now_ms() - report.last_ms
        return age_ms > _LIFETIME_S * _MS_PER_S

    def _add(self, digest: bytes) -> suspicion.Suspicion:
        found = self._suspicions[digest] = suspicion.Suspicion()
        if len(self._suspicions) > _MAX_SUSPECTS:
            oldest = next(iter(self._suspicions))
            not_held = (
                one
                for one, other in self._suspicions.items()
                if not _is_held(other) and one != digest
            )
            del self._suspicions[next(not_held, oldest)]
        return found

    def _now_ms(self) -> int:
        return int(self._parts.clock.now_s() * _MS_PER_S)


def _is_held(found: suspicion.Suspicion) -> bool:
    return found.highest_count >= _limit(found)


def _is_held_for(found: suspicion.Suspicion, request: contents.Request) -> bool:
    return found.count(request.scope) >= _limit(found)


def _limit(found: suspicion.Suspicion) -> int:
    # A content that was let go after a trial is held again at its next crash.
    return 1 if found.trials else _CRASHES_BEFORE_HELD


def _lifetime_s(found: suspicion.Suspicion) -> float:
    return _LIFETIME_S if found.open else _CLEARED_LIFETIME_S


def create_suspects(parts: Parts) -> Suspects:
    """Returns an empty set of suspects."""
    return Suspects(parts)
