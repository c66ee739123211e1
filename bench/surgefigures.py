"""Figures of a surge, from what callers and backend servers recorded."""

import collections
import math
import typing

from bench import surgecallers
from bench import surgeplans
from savorybend.internal import fairshare

_BIN_S = 1.0
# Recovery must hold for so many bins, so that a lucky second isn't one.
_STEADY_BINS = 3
RECOVERED_PART = 0.95


class Times(typing.NamedTuple):
    """How long each part of a run lasts, in seconds."""

    before_s: float
    surge_s: float
    after_s: float

    @property
    def surge_ends_s(self) -> float:
        """When the surge ends, from the start of the load."""
        return self.before_s + self.surge_s


class Surge(typing.NamedTuple):
    """What one run recorded.

    Attributes:
        plan: What was run.
        times: For how long.
        records: What callers saw.
        runs: What backend servers ran: request IDs, by service.
    """

    plan: surgeplans.Plan
    times: Times
    records: list[surgecallers.Record]
    runs: dict[str, list[str]]

    def during(self) -> list[surgecallers.Record]:
        """Returns the requests that arrived during the surge."""
        start_s, end_s = self.times.before_s, self.times.surge_ends_s
        return [r for r in self.records if start_s <= r.arrived_s < end_s]


def goodput_part(surge: Surge) -> float:
    """Returns goodput during the surge as a part of capacity.

    An answer counts when it came, so that a queue which is worked off later
    isn't taken for capacity.
    """
    start_s, end_s = surge.times.before_s, surge.times.surge_ends_s
    whole = sum(
        record.whole and start_s <= record.ended_s < end_s
        for record in surge.records
    )
    return whole / surge.times.surge_s / surge.plan.capacity_per_s()


def bins(surge: Surge) -> list[tuple[int, int]]:
    """Returns (requests, whole ones) by the second of their arrival."""
    count = math.ceil(sum(surge.times) / _BIN_S)
    found = [[0, 0] for _ in range(count)]
    for record in surge.records:
        one = found[min(count - 1, int(record.arrived_s / _BIN_S))]
        one[0] += 1
        one[1] += record.whole
    return [(asked, whole) for asked, whole in found]


def recovery_s(surge: Surge) -> float:
    """Returns the seconds from the surge's end until goodput is back.

    That is when at least 95% of the part that was answered before the surge
    is answered again, for three seconds running; infinite where it isn't.
    """
    found = bins(surge)
    first = int(surge.times.before_s / _BIN_S)
    asked = sum(one[0] for one in found[:first])
    usual = sum(one[1] for one in found[:first]) / max(1, asked)
    start = math.ceil(surge.times.surge_ends_s / _BIN_S)
    steady = [
        whole >= RECOVERED_PART * usual * asked
        for asked, whole in found[start:]
    ]
    for number in range(len(steady) - _STEADY_BINS + 1):
        if all(steady[number : number + _STEADY_BINS]):
            return number * _BIN_S
    return math.inf


def worst_account(surge: Surge) -> float:
    """Returns the worst-served account's goodput over its fair share.

    Fair is, class by class, an even (max-min) share of what was answered of
    the class, since priority goes before fairness.
    """
    asked = collections.defaultdict(collections.Counter)
    whole = collections.Counter()
    for record in surge.during():
        asked[record.priority][record.account] += 1
        whole[record.account] += record.whole
    room = collections.Counter()
    for record in surge.during():
        room[record.priority] += record.whole
    fair = collections.Counter()
    for priority, counts in asked.items():
        demands = [fairshare.Demand(count, 1.0) for count in counts.values()]
        level = fairshare.water_level(demands, room[priority])
        for account, count in counts.items():
            fair[account] += min(count, level)
    return min(whole[a] / fair[a] for a in fair if fair[a] > 0)


def kept_by_class(surge: Surge) -> dict[int, float]:
    """Returns the part of each class that was answered during the surge.

    Only requests that need the slowed service count: the others don't
    compete with them.
    """
    deep = {ask.route for ask in surge.plan.asks if ask.deep}
    asked, whole = collections.Counter(), collections.Counter()
    for record in surge.during():
        if record.route in deep:
            asked[record.priority] += 1
            whole[record.priority] += record.whole
    return {one: whole[one] / asked[one] for one in sorted(asked)}


def wrongful_part(surge: Surge) -> float:
    """Returns the part refused although there was capacity for it.

    Every request is inside its account's rate, and outside the surge there is
    room for all of them; so each one refused then is refused wrongfully.
    """
    end_s = surge.times.surge_ends_s
    calm = [
        record
        for record in surge.records
        if not surge.times.before_s <= record.arrived_s < end_s
    ]
    refused = [one for one in calm if one.outcome == "not-run"]
    return len(refused) / max(1, len(calm))


def refused_part(surge: Surge) -> float:
    """Returns the part of the surge's requests whose last try was refused."""
    during = surge.during()
    refused = sum(record.outcome == "not-run" for record in during)
    return refused / max(1, len(during))


def wasted_part(surge: Surge) -> float:
    """Returns the part of all work that was done for failed requests."""
    whole = {r.request_id for r in surge.records if r.whole}
    work_ms = {s.name: s.work_ms for s in surge.plan.deployment.services}
    done = wasted = 0.0
    for service, request_ids in surge.runs.items():
        for request_id in request_ids:
            done += work_ms[service]
            if request_id.partition("/")[0] not in whole:
                wasted += work_ms[service]
    return wasted / max(1.0, done)


def row(policy: str, surge: Surge) -> dict[str, typing.Any]:
    """Returns a row of the table."""
    kept = kept_by_class(surge)
    classes = list(kept.values())
    inversion = max(
        (
            worse - better
            for number, better in enumerate(classes)
            for worse in classes[number + 1 :]
        ),
        default=0.0,
    )
    return {
        "policy": policy,
        "goodput_%": 100 * goodput_part(surge),
        "recovery_s": recovery_s(surge),
        "worst_account_%": 100 * worst_account(surge),
        "wrongful_%": 100 * wrongful_part(surge),
        "refused_%": 100 * refused_part(surge),
        "class0_kept_%": 100 * kept.get(0, 0.0),
        "inversion_%": 100 * max(0.0, inversion),
        "wasted_%": 100 * wasted_part(surge),
        "kept": " ".join(f"{k}:{100 * v:.0f}" for k, v in kept.items()),
    }
