"""Names of the platform's wire formats, each defined once."""

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
        ValueError: The text isn't a duration.
    """
    if not isinstance(text, str):
        raise ValueError(
            f"{text!r} isn't a duration: write it like 1500ms or 2.5s"
        )
    if text.endswith("ms"):
        return float(text[:-2]) / MILLISECONDS_PER_S
    if text.endswith("s"):
        return float(text[:-1])
    raise ValueError(f"{text!r} isn't a duration: write it like 1500ms or 2.5s")
