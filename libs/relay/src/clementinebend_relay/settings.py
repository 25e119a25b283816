"""Settings of an entry on the direct path."""

from typing import NamedTuple

from clementinebend_admission.retry_window import RetryLimits
from clementinebend_routing.cold_start import ColdBound
from clementinebend_transport.client_connection import Address


class RelaySettings(NamedTuple):
    """Checked settings. Times are in seconds.

    ``callers`` takes callers' requests, ``ready`` tells the balancer whether
    this entry is ready, ``peers`` takes datagrams of other entries.
    ``grace`` is the time between the order to stop and the kill. A new
    configuration must act ``max_change_delay`` its record, the leaving of an endpoint
    ``max_leaving_delay`` and the evacuation of a zone ``max_evacuation_delay``.
    ``cores`` is the processor that the host has, ``cold_bound`` the bound on calls a
    second to a cold endpoint.
    """

    name: str
    zone: str
    callers: Address
    ready: Address
    peers: Address
    retries: RetryLimits
    grace: float
    max_change_delay: float
    max_leaving_delay: float
    max_evacuation_delay: float
    cores: float
    cold_bound: ColdBound = ColdBound()
