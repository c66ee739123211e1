"""Names of the platform's wire formats, each defined once."""

import math
import typing

REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
KEY = b"api-key"
CALLER_SERVICE = b"caller-service"
CLIENT_ACCOUNT = b"tenant-id"
INSTANCE = b"target-instance"
SIGNATURE = b"response-signature"
NOT_EXECUTED = b"not-executed"
INSTANCE_ID = b"instance-id"
LOAD = b"server-load"
LIMIT = b"server-limit"
LEAVING = b"server-leaving"
STORE_ERA = b"store-era"

HEARTBEAT_PATH = b"/heartbeat"
DEREGISTER_PATH = b"/deregister"
INSTANCES_PATH = b"/instances/"
READY_PATH = b"/ready"

SETTINGS_VARIABLE = "SAVORYBEND_CONFIG"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
DAEMONS_KIND = "savorybend-daemons"

MILLISECONDS_PER_S = 1000.0


def parse_duration(text: str) -> float:
    """Returns a duration such as `1500ms` or `2.5s`, in seconds.

    Raises:
        ValueError: The text isn't a duration, or not a finite one from 0.
    """
    if not isinstance(text, str) or not text.endswith("s"):
        raise _no_duration(text)
    if text.endswith("ms"):
        found_s = float(text[:-2]) / MILLISECONDS_PER_S
    else:
        found_s = float(text[:-1])
    if not 0 <= found_s < math.inf:
        raise _no_duration(text)
    return found_s


def _no_duration(text: typing.Any) -> ValueError:
    return ValueError(
        f"{text!r} isn't a duration: write it like 1500ms or 2.5s"
    )
