"""Settings of an entry."""

from typing import NamedTuple

from clementinebend_admission.entry_load import EntryCapacity
from clementinebend_admission.retry_window import RetryLimits
from clementinebend_routing.cold_start import ColdBound
from clementinebend_transport.client_connection import Address


class RelaySettings(NamedTuple):
    """Validated settings. Times are in seconds.

    ``callers``, ``ready`` and ``peers`` are the addresses for callers' requests, for
    the load balancer's readiness checks and for datagrams from other entries.
    ``grace`` is the time between the stop signal and the kill. A new configuration must
    take effect at most ``max_change_delay`` after its record is written, the leaving of
    an endpoint ``max_leaving_delay`` and the evacuation of a zone
    ``max_evacuation_delay``. ``cores`` is the number of the host's CPU cores,
    ``cold_bound`` the bound on calls a second to a cold endpoint. The entry's own load
    is observed only if the ``capacity`` has a link rate.
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
    capacity: EntryCapacity = EntryCapacity()
