"""The share of calls to a service that its backend servers can handle."""

from savorybend.relay import admission
from savorybend.relay import outcomes

_MIN_RATE_PER_S = 0.01


def mean_share(
    service: str, route: str, loads: list[outcomes.Load]
) -> outcomes.Share:
    """Returns the share of a route's calls to a service to admit.

    This is the mean over the service's backend servers: the maximum would admit
    calls that the others have no capacity for. Those that name a limit are left
    out while others name none, since the others take what they refuse.

    Args:
        service: The service.
        route: The route of the calls.
        loads: Load of each of the service's backend servers.
    """
    loads = [load for load in loads if not load.rate_limited] or loads
    if not loads:
        return outcomes.Share(admission.FULL_SHARE, service)
    own = _mean_part(loads)
    callees = [load.shares[route] for load in loads if route in load.shares]
    if callees:
        total = sum(share.part for share in callees)
        total += admission.FULL_SHARE * (len(loads) - len(callees))
        mean = total / len(loads)
        if mean < own:
            return outcomes.Share(mean, callees[0].service)
    return outcomes.Share(own, service)


def _mean_part(loads: list[outcomes.Load]) -> float:
    if not all(load.rate_limited for load in loads):
        return sum(load.part for load in loads) / len(loads)
    if any(load.part >= admission.FULL_SHARE for load in loads):
        # It has room for what the others refuse.
        return admission.FULL_SHARE
    # The limits of one service's servers may be far apart, or all 0.
    rates = [max(_MIN_RATE_PER_S, load.terms.rate_per_s) for load in loads]
    parts = zip(loads, rates, strict=True)
    return sum(load.part * rate for load, rate in parts) / sum(rates)
