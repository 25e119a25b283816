"""What an entry knows of the calls that other entries have at an endpoint."""

from clementinebend_relay.endpoint_state import OTHERS_VALID_SECONDS, EndpointState
from clementinebend_relay.models import Endpoint
from clementinebend_transport.client_connection import Address

ENDPOINT = Endpoint("e0", "pool", Address("10.9.0.0", 80), "z", 4, False)
NOW = 100.0


def test_calls_that_are_sent_after_a_report_are_added_to_it() -> None:
    state = EndpointState(ENDPOINT, NOW)
    assert state.all_in_flight(NOW) is None
    state.in_flight = 3
    state.on_queue_report(5, NOW)
    state.in_flight = 4
    assert state.all_in_flight(NOW + OTHERS_VALID_SECONDS) == 6


def test_a_report_is_used_for_some_time_only() -> None:
    state = EndpointState(ENDPOINT, NOW)
    state.on_queue_report(5, NOW)
    assert state.all_in_flight(NOW + OTHERS_VALID_SECONDS + 0.01) is None


def test_a_report_that_lacks_calls_of_this_entry_tells_of_no_others() -> None:
    state = EndpointState(ENDPOINT, NOW)
    state.in_flight = 3
    state.on_queue_report(1, NOW)
    assert state.all_in_flight(NOW) == 3
