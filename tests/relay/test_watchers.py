"""A few daemons of a data centre watch the store, whoever fails."""

import random

import pytest

from savorybend.relay import watchers
from tests import fakes

_STEP_S = 0.1
_PING_INTERVAL_S = 0.4
# Below it, the time to fetch a configuration must fit into the users' bound of
# two seconds at least.
_TAKEOVER_BOUND_S = 1.6
# The users' two seconds, and their three in which a machine may settle.
_MAX_READ_AGE_S = 5.0


class _Daemon:
    def __init__(self, site, name):
        self.site = site
        self.name = name
        self.state = watchers.State.IDLE
        self.attempts = 0
        self.read_s = 0.0
        self.heard_s = {}
        self.selection = watchers.Selection(False, ())
        self.watchers = watchers.create_watchers(
            watchers.Parts(
                own=name,
                nearby=lambda: [one for one in site.daemons if one != name],
                unreachable=lambda other: site.is_lost(name, other),
                clock=site.clock,
                random_fraction=site.rng.random,
            )
        )

    def step(self):
        self.selection = self.watchers.select(self.state)
        if not self.selection.watches:
            self.state = watchers.State.IDLE
        elif self.name in self.site.refused or self.site.down:
            self.state = watchers.State.FAILING
            self.attempts += 1
        else:
            self.state = watchers.State.WATCHING
            self._read()

    def _read(self):
        """Reads as the store watch does, unless its answers are lost."""
        now_s = self.site.clock.now_s()
        if self.name in self.site.unanswered:
            return
        if self.selection.primary or not self.read_s:
            self.read_s = now_s

    def listen(self):
        now_s = self.site.clock.now_s()
        for other in self.selection.followed:
            if self.site.is_lost(self.name, other):
                continue
            if now_s - self.heard_s.get(other, 0.0) >= _PING_INTERVAL_S:
                self.heard_s[other] = now_s
                daemon = self.site.daemons[other]
                age_s = now_s - daemon.read_s
                self.watchers.note(other, daemon.state, age_s)


class _Site:
    """The daemons of one data centre, driven by hand."""

    def __init__(self, count):
        self.clock = fakes.create_clock()
        self.rng = random.Random(1)
        self.lost = set()
        self.refused = set()
        self.unanswered = set()
        self.down = False
        self.daemons = {}
        for number in range(count):
            name = f"vm-{number}"
            self.daemons[name] = _Daemon(self, name)

    def is_lost(self, name, other):
        return other in self.lost or (name, other) in self.lost

    def advance(self, seconds):
        for _ in range(round(seconds / _STEP_S)):
            self.clock.advance(_STEP_S)
            for daemon in self.living():
                daemon.step()
            for daemon in self.living():
                daemon.listen()

    def living(self):
        return [
            one for one in self.daemons.values() if one.name not in self.lost
        ]

    def watching(self):
        state = watchers.State.WATCHING
        return {one.name for one in self.living() if one.state is state}

    def unserved(self):
        """Returns the daemons that neither watch nor follow a watcher."""
        watching = self.watching()
        return [
            one.name
            for one in self.living()
            if one.name not in watching
            and not watching
            & {
                other
                for other in one.selection.followed
                if not self.is_lost(one.name, other)
            }
        ]


@pytest.mark.parametrize("count", [1, 2, 3, 39, 200])
def test_few_daemons_watch_whatever_the_size(count):
    site = _Site(count)
    site.advance(5.0)
    assert 1 <= len(site.watching()) <= 2
    assert not site.unserved()


@pytest.mark.parametrize("how", ["lost", "refused"])
def test_others_take_over_from_watchers_that_fail(how):
    site = _Site(39)
    site.advance(5.0)
    getattr(site, how).update(site.watching())
    site.advance(_TAKEOVER_BOUND_S)
    assert site.watching()
    assert not site.unserved()
    site.advance(3.0)
    assert len(site.watching()) <= 4


def test_a_daemon_that_reaches_no_watcher_watches_by_itself():
    site = _Site(39)
    site.advance(5.0)
    lonely = next(one for one in site.daemons if one not in site.watching())
    site.lost.update((lonely, other) for other in site.daemons)
    site.advance(_TAKEOVER_BOUND_S)
    assert lonely in site.watching()


def test_a_store_that_is_down_is_tried_by_few():
    site = _Site(200)
    site.advance(5.0)
    site.down = True
    site.advance(10.0)
    trying = sum(one.attempts for one in site.daemons.values()) / (10 / _STEP_S)
    # Those that should watch, and now and then one of the others.
    assert trying < 4 + 200 * 0.15
    site.down = False
    site.advance(1.0)
    assert site.watching()
    site.advance(3.0)
    assert not site.unserved()
    assert len(site.watching()) <= 4


def test_a_third_that_the_store_turns_away_leaves_nobody_without_a_watcher():
    for seed in range(50):
        site = _Site(39)
        site.advance(3.0)
        names = sorted(site.daemons)
        site.refused.update(random.Random(seed).sample(names, 13))
        site.advance(3.0)
        assert not site.unserved(), seed


def test_half_of_a_data_centre_lost_at_once_leaves_few_watchers():
    for seed in range(50):
        site = _Site(39)
        site.advance(3.0)
        names = sorted(site.daemons)
        site.lost.update(random.Random(seed).sample(names, 19))
        site.advance(3.0)
        assert not site.unserved(), seed
        assert len(site.watching()) <= 4, seed


def test_a_state_of_a_later_version_counts_as_idle():
    assert watchers.parse_state(99) is watchers.State.IDLE
    assert watchers.parse_state(1) is watchers.State.WATCHING


@pytest.mark.parametrize("count", [3, 39, 200])
def test_watchers_that_tell_only_of_old_reads_are_replaced_by_few(count):
    site = _Site(count)
    site.advance(5.0)
    site.unanswered = set(site.watching())
    site.advance(_MAX_READ_AGE_S)
    fresh = [
        one
        for one in site.living()
        if site.clock.now_s() - one.read_s < _MAX_READ_AGE_S
    ]
    assert fresh
    assert len(site.watching()) <= 6


@pytest.mark.parametrize("count", [1, 2, 3, 39, 200])
def test_a_data_centre_has_one_primary_watcher(count):
    site = _Site(count)
    site.advance(20.0)
    primary = [one.name for one in site.living() if one.selection.primary]
    assert len(primary) == 1
    assert site.watching() >= set(primary)


def test_the_next_watcher_becomes_the_primary_one_as_the_first_is_lost():
    site = _Site(39)
    site.advance(5.0)
    site.lost = {one.name for one in site.living() if one.selection.primary}
    site.advance(_TAKEOVER_BOUND_S)
    primary = {one.name for one in site.living() if one.selection.primary}
    assert len(primary) == 1
    assert site.watching() >= primary
