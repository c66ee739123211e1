"""Checks that losing an allocator refuses no account within its rate."""

import pytest

from tests import limitsite

_RATE_PER_S = 100.0
_FILL_S = 10.0
_NAMES = ("east-1", "east-2", "east-3", "west-1", "west-2")
_CALLS = dict.fromkeys(_NAMES, 0.8 * _RATE_PER_S / len(_NAMES))


def test_a_new_account_has_its_burst_while_parts_change_hands():
    # Guards against a new account starting with an empty bucket, which refuses
    # a burst right after `config submit`.
    site = limitsite.Site(1)
    for name in _NAMES:
        site.add(name, name.split("-")[0])
    site.run(3.5, {})
    site.configure(_RATE_PER_S, 2 * _RATE_PER_S)
    for name in _NAMES:
        site.tell(name)
    for name in _NAMES:
        for _ in range(int(0.7 * 2 * _RATE_PER_S / len(_NAMES))):
            site.offer(name)
    site.run(1.0, {})
    assert all(admitted for _, admitted in site.verdicts)
    site.close()


def _kill(site, name):
    # The daemon is removed from the directory, so nobody suspects it. Guards
    # against owners that keep entrusting their parts to it forever.
    site.remove(name)


def _freeze(site, name):
    site.daemons[name].paused = True


def _cut(site, name):
    site.cut({name})


def _replace(site, name):
    site.remove(name)
    site.add(name, "east", name)


@pytest.mark.parametrize("lose", [_kill, _freeze, _cut, _replace])
def test_calls_inside_the_rate_go_on_when_an_allocator_is_lost(lose):
    site = limitsite.Site(1)
    site.configure(_RATE_PER_S, 2 * _RATE_PER_S)
    for name in _NAMES:
        site.add(name, name.split("-")[0])
    site.run(_FILL_S, {})
    allocator = site.allocator("east")
    calls = {
        n: calls_per_s for n, calls_per_s in _CALLS.items() if n != allocator
    }
    site.run(1.0, calls)
    lose(site, allocator)
    site.run(6.0, calls)
    assert len(site.verdicts) > 0.9 * 7.0 * sum(calls.values())
    assert all(admitted for _, admitted in site.verdicts)
    site.close()
