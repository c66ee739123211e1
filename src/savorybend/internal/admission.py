"""Admission thresholds: how an overloaded daemon has calls refused upstream.

A threshold is a number from 0 to 10: how many priority classes to refuse, from
the least important one upwards. 0 refuses nothing, 2 refuses classes 8 and 9,
and 2.5 also refuses half of class 7. Within a class that is partly refused,
`fairshare` refuses what accounts send above an even share.
"""

import random

from savorybend.internal import calls
from savorybend.internal import outcomes
from savorybend.internal import timers

PRIORITY_CLASSES = 10
# A small part of the most important class is always admitted, since its replies
# tell remote daemons that the overload is over.
MAX_THRESHOLD = PRIORITY_CLASSES - 0.05

_WINDOW_S = 0.25
# Admits more than capacity, so that estimation errors never leave the queue
# beside the backend server empty; that queue orders calls exactly.
_HEADROOM = 1.05
# The counts decay by this factor after each window. Those of one window alone
# are too small: the threshold would oscillate, and accounts that send at the
# wrong moment would be refused whatever their share.
_DECAY_FACTOR = 0.7
_TIGHTENING_GAIN = 0.25
_MAX_TARGET_LOWERING = 0.2
_MIN_EASING = 0.05
_MAX_EASING = 2.0
# Multiplies the threshold after a window in which no call waited.
_IDLE_FACTOR = 0.1

_BASE_RETRY_AFTER_S = 0.5
_RETRY_AFTER_S_PER_CLASS = 0.5


def part_admitted(priority: int, threshold: float) -> float:
    """Returns the fraction of a class that a threshold admits, 0 to 1."""
    return min(1.0, max(0.0, PRIORITY_CLASSES - threshold - priority))


def retry_after_s(threshold: float, rng: random.Random) -> float:
    """Returns after how many seconds a refused caller may retry.

    The result is randomized, so that callers refused together don't retry
    together.
    """
    mean_s = _BASE_RETRY_AFTER_S + threshold * _RETRY_AFTER_S_PER_CLASS
    return mean_s * rng.uniform(0.5, 1.5)


def refusal(threshold: float, rng: random.Random) -> outcomes.Refuse:
    """Returns the refusal of a call that a threshold doesn't admit."""
    return outcomes.Refuse(outcomes.OVERLOADED, retry_after_s(threshold, rng))


class ThresholdController:
    """Sets a daemon's own threshold from what its gate admits and sheds.

    The threshold rises at once and falls slowly at first, then faster while
    nothing is shed: it doesn't oscillate with each burst, and is soon back at
    zero after a surge.
    """

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._threshold = calls.NO_THRESHOLD
        self._easing = _MIN_EASING
        self._previous_target = calls.NO_THRESHOLD
        self._offered: dict[int, float] = {}
        self._served = 0.0
        self._shed = 0
        self._queued = False
        self._window_ends_s = clock.now_s() + _WINDOW_S

    @property
    def threshold(self) -> float:
        """The threshold in force."""
        self._end_due_windows()
        return self._threshold

    def note_arrival(self, priority: int) -> None:
        """Counts a call that arrived."""
        self._end_due_windows()
        self._offered[priority] = self._offered.get(priority, 0.0) + 1

    def note_dispatch(self) -> None:
        """Counts a call that was sent to the backend server."""
        self._served += 1

    def shed(self) -> None:
        """Counts a call that was refused for lack of capacity."""
        self._shed += 1

    def note_queued_call(self) -> None:
        """Records that a call had to wait in this window."""
        self._queued = True

    def _end_due_windows(self) -> None:
        overdue_s = self._clock.now_s() - self._window_ends_s
        if overdue_s < 0:
            return
        self._end_window()
        # Ends the windows since then, in which nothing was shed or queued.
        for _ in range(min(int(overdue_s / _WINDOW_S), PRIORITY_CLASSES)):
            self._end_window()
        self._window_ends_s = self._clock.now_s() + _WINDOW_S

    def _end_window(self) -> None:
        if self._shed:
            self._tighten()
        elif not self._queued:
            # There is spare capacity, so refusing upstream saves nothing.
            self._set(self._threshold * _IDLE_FACTOR)
        else:
            self._ease()
        if not self._shed:
            self._previous_target = calls.NO_THRESHOLD
        for priority in self._offered:
            self._offered[priority] *= _DECAY_FACTOR
        self._served *= _DECAY_FACTOR
        self._shed = 0
        self._queued = False

    def _tighten(self) -> None:
        self._easing = _MIN_EASING
        target = PRIORITY_CLASSES - self._classes_that_fit(
            self._served * _HEADROOM
        )
        # Whole classes that can't be served are refused in one step, since any
        # work for them is wasted. Only the admitted fraction of one class is
        # approached in small steps. Two windows must agree, so that a burst of
        # the most important class doesn't refuse all the others.
        agreed = min(target, self._previous_target)
        self._previous_target = target
        base = max(self._threshold, agreed - 1)
        self._set(base + (target - base) * _TIGHTENING_GAIN)

    def _classes_that_fit(self, capacity: float) -> float:
        """Returns how many classes fit into `capacity`, parts included."""
        admitted_classes = PRIORITY_CLASSES - self._threshold
        highest = min(
            float(PRIORITY_CLASSES), admitted_classes + _MAX_TARGET_LOWERING
        )
        for priority in sorted(self._offered):
            count = self._offered[priority]
            if count > capacity or priority >= admitted_classes - 1:
                # Of a class that is partly refused already, only the admitted
                # part arrived here.
                part = part_admitted(priority, self._threshold)
                fitting = priority + part * capacity / max(
                    count, capacity / PRIORITY_CLASSES
                )
                return min(fitting, highest)
            capacity -= count
        return highest

    def _ease(self) -> None:
        if self._threshold <= 0:
            return
        self._set(self._threshold - self._easing)
        self._easing = min(_MAX_EASING, self._easing * 2)

    def _set(self, threshold: float) -> None:
        if threshold < _MIN_EASING:
            threshold = calls.NO_THRESHOLD
        self._threshold = min(MAX_THRESHOLD, threshold)


def create_controller(clock: timers.Clock) -> ThresholdController:
    """Returns a controller whose threshold is `NO_THRESHOLD`."""
    return ThresholdController(clock)
