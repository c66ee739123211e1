"""Calls that unit tests use."""

from savorybend.internal import calls

_USUAL = calls.Call(
    "front-1.1.1",
    client_account="maruyama",
    route="adjust",
    service="back",
    priority=0,
    idempotent=False,
    method="POST",
    target="/back/adjust",
    headers=[],
    deadline_s=2000.0,
    retries=0,
    depth=0,
)


def create_call(**fields) -> calls.Call:
    """Returns a non-idempotent call, but for the fields given."""
    return _USUAL._replace(**fields)


def create_lookup(**fields) -> calls.Call:
    """Returns an idempotent call, but for the fields given."""
    plain = _USUAL._replace(
        route="back",
        priority=5,
        idempotent=True,
        method="GET",
        target="/back",
        retries=3,
    )
    return plain._replace(**fields)
