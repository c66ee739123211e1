"""Logs what becomes of a call, with the same first and last fields."""

import structlog

from savorybend.relay import calls

_log = structlog.get_logger()


def log_call(
    event: str, call: calls.Call, now_s: float, **fields: object
) -> None:
    """Logs an event about a call.

    Args:
        event: The event's name.
        call: The call.
        now_s: The time, in seconds of the call's clock.
        fields: Further fields of the line.
    """
    _log.info(
        event,
        request_id=call.request_id,
        route=call.route,
        client_account=call.client_account,
        **fields,
        left_s=round(call.deadline_s - now_s, 3),
    )
