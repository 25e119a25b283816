"""Fingerprints of requests and of their repetitions."""

from clementinebend_relay.fingerprints import fingerprint_of
from tests.unit.relay.calls import CALL


def test_a_repetition_with_another_id_and_headers_is_the_same_request() -> None:
    repeated = CALL._replace(
        request_id="other", headers=(("x", "y"),), time_limit=1.0, last_event="4"
    )
    assert fingerprint_of(CALL, "desk") == fingerprint_of(repeated, "desk")


def test_another_method_host_target_team_or_body_makes_another_request() -> None:
    others = [
        CALL._replace(method="GET"),
        CALL._replace(host="g"),
        CALL._replace(target="/s/?a"),
        CALL._replace(body=b"x"),
        CALL._replace(host="h/s", target="/"),
    ]
    fingerprints = {fingerprint_of(call, "desk") for call in (CALL, *others)}
    fingerprints.add(fingerprint_of(CALL, "other"))
    assert len(fingerprints) == len(others) + 2
