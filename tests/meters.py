"""Measures by how many calls admissions exceed a rate."""


class Meter:
    """A leaky bucket that fills with each call and drains at the rate.

    Its level is the largest excess over the rate in any window that ends now.
    """

    def __init__(self, now_s):
        self._time_s = now_s
        self._level = 0.0
        self.worst = 0.0
        self.burst = 0.0

    def add(self, admissions, rate_per_s):
        for at_s in admissions:
            drained = (at_s - self._time_s) * rate_per_s
            self._level = max(0.0, self._level - drained) + 1
            self._time_s = at_s
            self.worst = max(self.worst, self._level)

    def drain(self, to_s, rate_per_s):
        drained = max(0.0, to_s - self._time_s) * rate_per_s
        self._level = max(0.0, self._level - drained)
        self._time_s = max(self._time_s, to_s)

    def check(self, admissions, rate_per_s):
        self.add(admissions, rate_per_s)
        assert self._level <= self.burst + 1e-6
