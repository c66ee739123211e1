"""Admission thresholds: how an overloaded daemon has calls refused upstream.

A threshold is a number from 0 to 10 that says how much to refuse, from the
least important class upwards: 0 refuses nothing, 2 refuses the classes 8 and
9, and 2.5 refuses half of class 7 as well. Which half that is, `shares`
decides: what accounts send above an even share.
"""

import random

from savorybend.internal import calls
from savorybend.internal import outcomes
from savorybend.internal import timers

PRIORITY_CLASSES = 10
# A little of the most important class always gets through, since its replies
# are how daemons far away learn that the overload is over.
MAX_THRESHOLD = PRIORITY_CLASSES - 0.05

_WINDOW_S = 0.25
# More than capacity is let through, so that the queue beside the backend
# server, which orders calls exactly, is never empty for want of knowledge.
_HEADROOM = 1.05
# Counts of earlier windows still weigh so much, since those of one window
# are too few to steer by: the threshold would swing, and accounts that come
# at the wrong moment would be refused whatever their share.
_KEPT_PART = 0.7
_GAIN = 0.25
_LARGEST_OPENING = 0.2
_SMALLEST_EASING = 0.05
_LARGEST_EASING = 2.0
# What is left of a threshold after a window in which nobody waited.
_IDLE_PART = 0.1

_SOONEST_RETURN_S = 0.5
_RETURN_S_PER_LEVEL = 0.5


def part_admitted(priority: int, threshold: float) -> float:
    """Returns the part of a class that a threshold lets through, 0 to 1."""
    return min(1.0, max(0.0, PRIORITY_CLASSES - threshold - priority))


def retry_after_s(threshold: float, rng: random.Random) -> float:
    """Returns when a refused caller may come back, in seconds.

    The times are spread, so that callers which were refused together don't
    come back together.
    """
    usual_s = _SOONEST_RETURN_S + threshold * _RETURN_S_PER_LEVEL
    return usual_s * rng.uniform(0.5, 1.5)


def refusal(threshold: float, rng: random.Random) -> outcomes.Refuse:
    """Returns the refusal of a call that a threshold doesn't let through."""
    return outcomes.Refuse(outcomes.OVERLOADED, retry_after_s(threshold, rng))


class ThresholdController:
    """Sets a daemon's own threshold from what its gate takes and sheds.

    It tightens at once and eases slowly, then faster while nothing is shed,
    so that it doesn't swing with each burst but is gone soon after a surge.
    """

    def __init__(self, clock: timers.Clock):
        self._clock = clock
        self._threshold = calls.NO_THRESHOLD
        self._easing = _SMALLEST_EASING
        self._wanted_before = calls.NO_THRESHOLD
        self._offered: dict[int, float] = {}
        self._served = 0.0
        self._shed = 0
        self._queued = False
        self._window_ends_s = clock.now_s() + _WINDOW_S

    @property
    def threshold(self) -> float:
        """The threshold in force."""
        self._roll()
        return self._threshold

    def note_arrival(self, priority: int) -> None:
        """Notes that a call arrived."""
        self._roll()
        self._offered[priority] = self._offered.get(priority, 0.0) + 1

    def note_dispatch(self) -> None:
        """Notes that a call was given to the backend server."""
        self._served += 1

    def shed(self) -> None:
        """Notes that a call was refused for want of capacity."""
        self._shed += 1

    def note_queued_call(self) -> None:
        """Notes that a call had to wait."""
        self._queued = True

    def _roll(self) -> None:
        late_s = self._clock.now_s() - self._window_ends_s
        if late_s < 0:
            return
        self._end_window()
        # Windows in which nothing happened were calm ones.
        for _ in range(min(int(late_s / _WINDOW_S), PRIORITY_CLASSES)):
            self._end_window()
        self._window_ends_s = self._clock.now_s() + _WINDOW_S

    def _end_window(self) -> None:
        if self._shed:
            self._steer()
        elif not self._queued:
            # There is room to spare, so refusing upstream saves nothing.
            self._set(self._threshold * _IDLE_PART)
        else:
            self._ease()
        if not self._shed:
            self._wanted_before = calls.NO_THRESHOLD
        for priority in self._offered:
            self._offered[priority] *= _KEPT_PART
        self._served *= _KEPT_PART
        self._shed = 0
        self._queued = False

    def _steer(self) -> None:
        self._easing = _SMALLEST_EASING
        wanted = PRIORITY_CLASSES - self._cut(self._served * _HEADROOM)
        # Whole classes that can't be served are refused at once, since all
        # that is done for them meanwhile is wasted. Only how much of a class
        # fits is found by small steps. Two windows must agree, lest a burst
        # of the most important class cuts all the others.
        sure = min(wanted, self._wanted_before)
        self._wanted_before = wanted
        near = max(self._threshold, sure - 1)
        self._set(near + (wanted - near) * _GAIN)

    def _cut(self, room: float) -> float:
        """Returns how many classes, parts included, fit into `room`."""
        present = PRIORITY_CLASSES - self._threshold
        highest = min(float(PRIORITY_CLASSES), present + _LARGEST_OPENING)
        for priority in sorted(self._offered):
            count = self._offered[priority]
            if count > room or priority >= present - 1:
                # What arrived of a class that is cut already is only its
                # admitted part.
                part = part_admitted(priority, self._threshold)
                fitting = priority + part * room / max(
                    count, room / PRIORITY_CLASSES
                )
                return min(fitting, highest)
            room -= count
        return highest

    def _ease(self) -> None:
        if self._threshold <= 0:
            return
        self._set(self._threshold - self._easing)
        self._easing = min(_LARGEST_EASING, self._easing * 2)

    def _set(self, threshold: float) -> None:
        if threshold < _SMALLEST_EASING:
            threshold = calls.NO_THRESHOLD
        self._threshold = min(MAX_THRESHOLD, threshold)


def create_controller(clock: timers.Clock) -> ThresholdController:
    """Returns a controller that refuses nothing yet."""
    return ThresholdController(clock)
