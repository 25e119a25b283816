"""Claims: one in a life, and none of any use once a newer one stands."""

from clementinebend_records.identifiers import Incarnation
from clementinebend_records.streams import FENCING_STREAM
from clementinebend_sidecar.fencing import FencingReader
from clementinebend_sidecar.orders import missing_models
from tests.lib.fake_log import FakeLog

OLD = Incarnation("engine-1#old")
NEW = Incarnation("engine-1#new")


async def test_only_the_newest_claimant_has_a_number() -> None:
    log = FakeLog()
    old = FencingReader(log.client(), "engine-1", OLD)
    new = FencingReader(log.client(), "engine-1", NEW)
    first = await old.number()
    second = await new.number()
    assert first is not None
    assert second is not None
    assert second > first
    await log.wait_until(lambda: old.tail.state.position > second)
    assert await old.number() is None
    assert await new.number() == second
    assert log.streams[FENCING_STREAM].end == second + 1
    await old.close()
    await new.close()


def test_only_what_the_engine_lacks_is_loaded() -> None:
    assert missing_models(("a", "b"), ("b", "c")) == ("a",)
