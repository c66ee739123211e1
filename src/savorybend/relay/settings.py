"""The settings of a daemon that relays calls, whatever file they came from."""

import typing


class Address(typing.NamedTuple):
    """Where something listens."""

    host: str
    port: int


class Settings(typing.NamedTuple):
    """The settings.

    Attributes:
        name: The daemon's name, unique in the fleet.
        host: This VM's address.
        data_centre: Where this VM is.
        max_descriptors: How many descriptors this process may have.
        service: The service of the backend server beside it.
        peer_port: Where other daemons connect.
        call_address: Where callers on this VM connect.
        ready_address: Where the platform asks whether it is ready.
        announcement_address: Where the backend server announces itself.
        backend_server_address: Where the backend server listens.
        announcement_interval_s: How often it does, in seconds.
        store_address: Where the platform's store listens.
        grace_s: How long a stop may take, in seconds.
        retry_ratio: Repeats that each call may cause, over the whole fleet.
        retry_window_s: The window, in seconds.
    """

    name: str
    host: str
    data_centre: str
    max_descriptors: int
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
    retry_window_s: float
