"""The settings of a relay daemon, independent of their file format."""

import typing


class Address(typing.NamedTuple):
    """A network address: host name or IP address, and port."""

    host: str
    port: int


class Settings(typing.NamedTuple):
    """The settings of a relay daemon.

    Attributes:
        name: The daemon's name, unique in the fleet.
        host: This VM's address.
        data_centre: The data centre of this VM.
        max_descriptors: Limit of open file descriptors of this process.
        max_memory_bytes: Memory that this process may use, in bytes.
        service: The service that the daemon's backend server provides.
        peer_port: Port on which other daemons connect.
        call_address: Address on which callers on this VM connect.
        ready_address: Address for the platform's readiness checks.
        announcement_address: Address to which the backend server announces
            itself.
        backend_server_address: Listening address of the backend server,
            `HOST:PORT`.
        announcement_interval_s: Interval between the backend server's
            announcements, in seconds.
        store_address: Address of the platform's store.
        grace_s: Grace period of a shutdown, in seconds.
        retry_ratio: Allowed retries per call over the whole fleet.
        retry_slack: Retries beyond that ratio in a window, over the whole
            fleet.
        retry_window_s: Window of the retry budget, in seconds.
    """

    name: str
    host: str
    data_centre: str
    max_descriptors: int
    max_memory_bytes: int
    service: str
    peer_port: int
    call_address: Address
    ready_address: Address
    announcement_address: Address
    backend_server_address: str
    announcement_interval_s: float
    store_address: Address
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
