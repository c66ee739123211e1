"""Checks that no schedule of faults lets an account exceed its limit."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from savorybend.internal import terms
from tests import limitsite
from tests import meters

_NAMES = ("east-1", "east-2", "east-3", "west-1", "west-2")
# The rate is small relative to the burst, so that little of the burst is
# reserved for outstanding loans and even a small excess is detected.
_RATE_PER_S = 20.0
_BURST = 200.0
_FILL_S = 12.0

names = strategies.sampled_from(_NAMES)


class Fleet(stateful.RuleBasedStateMachine):
    @stateful.initialize(
        seed=strategies.integers(0, 1000),
        head_start_s=strategies.sampled_from((0.0, 0.4, 1.2, 4.0)),
        first=strategies.sets(names, min_size=1),
        fill_s=strategies.sampled_from((0.0, _FILL_S)),
    )
    def start(self, seed, head_start_s, first, fill_s):
        self._site = limitsite.Site(seed)
        for name in _NAMES:
            self._site.add(name, name.split("-")[0])
        self._calls = dict.fromkeys(_NAMES, 60)
        self._checked = 0
        self._meters = []
        self._limits = None
        self._burst = 0.0
        self._settled_s = float("inf")
        self._replaced = 0
        # The account is added while parts are being entrusted, at some daemons
        # before others.
        self._site.run(head_start_s, {})
        self._site.configure(_RATE_PER_S, _BURST)
        for name in first:
            self._site.tell(name)
        self._pass()
        for name in _NAMES:
            self._site.tell(name)
        self._site.run(fill_s, {})

    @stateful.rule(
        seconds=strategies.sampled_from((0.4, 1.0, 2.0, 10.0)),
        calls=strategies.dictionaries(
            names, strategies.sampled_from((10, 60, 200)), max_size=5
        ),
    )
    def traffic(self, seconds, calls):
        self._calls = calls
        self._run(seconds)

    @stateful.rule(name=names, calls=strategies.integers(50, 300))
    def crowd(self, name, calls):
        self._note_limits()
        for _ in range(calls):
            self._site.offer(name)
        self._run(0.05)

    @stateful.rule(some=strategies.sets(names, min_size=1, max_size=4))
    def cut(self, some):
        self._site.cut(some & set(self._site.daemons))
        self._pass()

    @stateful.rule()
    def heal(self):
        self._site.heal()
        self._site.loss = self._site.repeats = self._site.delay_s = 0.0
        self._site.store.mode = "up"
        for daemon in self._site.daemons.values():
            daemon.paused = False
        self._pass()

    @stateful.rule(name=names, paused=strategies.booleans())
    def pause(self, name, paused):
        if name in self._site.daemons:
            self._site.daemons[name].paused = paused
        self._pass()

    @stateful.rule(name=names)
    def kill(self, name):
        if len(self._site.daemons) > 1 and name in self._site.daemons:
            self._site.remove(name)
        self._pass()

    @stateful.rule(name=names, same_address=strategies.booleans())
    def replace(self, name, same_address):
        self._replaced += 1
        if name in self._site.daemons:
            self._site.remove(name)
        address = name if same_address else f"{name}-{self._replaced}"
        self._site.add(name, name.split("-")[0], address)
        self._pass()

    @stateful.rule(name=names, other=names)
    def lose_sight(self, name, other):
        found = self._site.daemons
        if name in found and other in found:
            record = found[other].record
            found[name].directory.remove(other, record.incarnation)
        self._pass()

    @stateful.rule(name=names, other=names)
    def regain_sight(self, name, other):
        found = self._site.daemons
        if name in found and other in found:
            found[name].directory.put(found[other].record)
        self._pass()

    @stateful.rule(mode=strategies.sampled_from(("up", "down", "reply-lost")))
    def platform(self, mode):
        self._site.store.mode = mode
        self._pass()

    @stateful.rule(
        loss=strategies.sampled_from((0.0, 0.2)),
        repeats=strategies.sampled_from((0.0, 0.3)),
        delay_s=strategies.sampled_from((0.0, 0.3, 3.0)),
    )
    def network(self, loss, repeats, delay_s):
        self._site.loss = loss
        self._site.repeats = repeats
        self._site.delay_s = delay_s
        self._pass()

    @stateful.rule(
        rate=strategies.sampled_from((10.0, 20.0, 40.0)),
        burst=strategies.sampled_from((20.0, 100.0, 200.0)),
    )
    def submit(self, rate, burst):
        self._site.configure(rate, burst)
        self._pass()

    @stateful.rule(some=strategies.sets(names, min_size=1))
    def tell(self, some):
        for name in some & set(self._site.daemons):
            self._site.tell(name)
        self._pass()

    def _pass(self):
        # Long enough for the effects of parts entrusted and tokens lent earlier
        # to show.
        for seconds in (0.3, 0.6):
            self._run(seconds)

    def _run(self, seconds):
        self._note_limits()
        self._site.run(seconds, self._calls)
        self._check()

    def _note_limits(self):
        now_s = self._site.clock.now_s()
        limits = self._site.in_force()
        burst = max(account.burst for account in limits)
        if limits != self._limits:
            # A window that begins after a change is bounded by the new limits
            # and the tokens lent before; one that began earlier may use the
            # larger burst.
            self._limits = limits
            self._meters.append(meters.Meter(now_s))
            self._meters[-1].burst = self._burst
            self._settled_s = now_s + terms.LONGEST_LOAN_S
        if now_s >= self._settled_s:
            self._settled_s = float("inf")
            self._meters.append(meters.Meter(now_s))
        self._burst = burst
        for meter in self._meters:
            meter.burst = max(meter.burst, burst)

    def _check(self):
        new = self._site.admissions[self._checked :]
        self._checked = len(self._site.admissions)
        rate_per_s = max(account.rate_per_s for account in self._limits)
        for meter in self._meters:
            meter.check(new, rate_per_s)

    def teardown(self):
        if hasattr(self, "_site"):
            self._site.close()


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=20
)
