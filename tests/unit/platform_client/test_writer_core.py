"""Pace, batches and backoff of a writer, without a clock."""

from clementinebend_platform_client.exceptions import PostRefusal
from clementinebend_platform_client.log_client import LogFailure
from clementinebend_platform_client.schedule import backoff
from clementinebend_platform_client.writer_core import (
    WriterSettings,
    WriterState,
    advance_writer,
    delay_of,
    new_writer,
    wake_at,
)
from clementinebend_platform_client.writer_events import (
    Acknowledged,
    Append,
    AppendFailed,
    Closing,
    Posted,
    ReadBack,
    Refuse,
    Resolve,
    Restored,
    Ticked,
    WriterEffect,
    WriterEvent,
)
from clementinebend_records.codec import decode_batch
from clementinebend_records.identifiers import Incarnation
from clementinebend_records.records import Batch
from tests.lib.replica import top_up

WRITER = Incarnation("w#1")
SETTINGS = WriterSettings(appends_per_second=100.0, share=0.1, longest_interval=3.0)
INTERVAL = 0.1
LOST = LogFailure(True, "lost")
THROTTLED = LogFailure(False, "busy", throttled=True)


class Driver:
    """Feeds a writer and keeps its effects."""

    def __init__(self, settings: WriterSettings = SETTINGS) -> None:
        self.state: WriterState = new_writer("s", WRITER, settings)
        self.tickets = 0

    def tell(self, event: WriterEvent, now: float) -> list[WriterEffect]:
        self.state, effects = advance_writer(self.state, event, now)
        return list(effects)

    def post(self, now: float, name: str = "r") -> list[WriterEffect]:
        self.tickets += 1
        return self.tell(Posted(self.tickets, (top_up(name),)), now)

    def done(self, sequence: int, now: float) -> list[WriterEffect]:
        """Acknowledge a batch and read it back."""
        self.tell(Acknowledged(sequence, 0.01), now)
        return self.tell(ReadBack(sequence, sequence - 1), now)


def records_of(effect: WriterEffect) -> int:
    assert isinstance(effect, Append)
    batch = decode_batch(effect.data)
    assert isinstance(batch, Batch)
    return len(batch.records)


def test_posts_are_grouped_while_a_batch_is_in_flight() -> None:
    writer = Driver()
    (first,) = writer.post(0.0)
    assert records_of(first) == 1
    assert [writer.post(0.01 * i) for i in range(5)] == [[]] * 5
    assert writer.done(1, 0.05) == [Resolve((1,), 0)]
    wake = wake_at(writer.state)
    assert wake == INTERVAL
    assert writer.tell(Ticked(), 0.09) == []
    (second,) = writer.tell(Ticked(), wake)
    assert records_of(second) == 5


def test_an_idle_writer_sends_at_once() -> None:
    writer = Driver()
    writer.post(0.0)
    writer.done(1, 0.05)
    assert records_of(writer.post(10.0)[0]) == 1


def test_batches_are_bounded_in_bytes_and_posts_stay_whole() -> None:
    writer = Driver(SETTINGS._replace(batch_bytes=60, post_bytes=400))
    writer.post(0.0)
    for _ in range(4):
        writer.post(0.01)
    writer.tell(Posted(90, tuple(top_up(f"r{i}") for i in range(8))), 0.02)
    (refusal,) = writer.tell(Posted(91, (top_up("x" * 400),)), 0.02)
    assert isinstance(refusal, Refuse)
    assert refusal.failure.reason is PostRefusal.TOO_LARGE
    sizes: list[int] = []
    now, sequence = 1.0, 1
    while writer.state.in_flight is not None:
        (_, *sent) = writer.done(sequence, now)
        sent = sent or writer.tell(Ticked(), now + 1.0)
        sizes.extend(records_of(effect) for effect in sent)
        now, sequence = now + 2.0, sequence + 1
    assert sizes == [2, 2, 8]


def test_the_interval_grows_when_throttled_and_shrinks_again() -> None:
    writer = Driver()
    writer.post(0.0)
    intervals = []
    for attempt in range(8):
        writer.tell(AppendFailed(1, THROTTLED), float(attempt * 100))
        intervals.append(writer.state.interval)
        writer.tell(Ticked(), float(attempt * 100 + 50))
    assert intervals[:3] == [0.2, 0.4, 0.8]
    assert intervals[-1] == SETTINGS.longest_interval
    for sequence in range(1, 60):
        writer.done(sequence, 1000.0 * sequence)
        writer.post(1000.0 * sequence + 500.0)
    assert writer.state.interval == INTERVAL


def test_a_slow_log_makes_the_interval_longer_than_the_share() -> None:
    writer = Driver()
    for sequence in range(1, 40):
        writer.post(100.0 * sequence)
        writer.tell(Acknowledged(sequence, 2.0), 100.0 * sequence + 2.0)
        writer.tell(ReadBack(sequence, sequence), 100.0 * sequence + 2.0)
    assert 0.9 < writer.state.interval <= 1.0


def test_the_same_batch_is_sent_again_after_a_growing_backoff() -> None:
    writer = Driver()
    (first,) = writer.post(0.0)
    now, waits = 0.0, []
    for _ in range(12):
        writer.tell(AppendFailed(1, LOST), now)
        wake = wake_at(writer.state)
        assert wake is not None
        assert writer.tell(Ticked(), wake - 0.001) == []
        assert writer.tell(Ticked(), wake) == [first]
        waits.append(wake - now)
        now = wake
    assert writer.state.failing_since == 0.0
    assert waits[4] > 2 * waits[0]
    assert max(waits) <= SETTINGS.longest_backoff
    assert min(waits[-3:]) >= SETTINGS.longest_backoff / 2
    other = [backoff(0.1, 10.0, n, "other", 1) for n in range(1, 13)]
    assert [round(wait, 6) for wait in waits] != [round(wait, 6) for wait in other]


def test_no_second_append_while_the_first_has_no_answer() -> None:
    writer = Driver()
    writer.post(0.0)
    assert wake_at(writer.state) is None
    assert writer.tell(Ticked(), 1000.0) == []


def test_a_batch_acknowledged_but_never_read_is_sent_again_late() -> None:
    writer = Driver()
    (first,) = writer.post(0.0)
    writer.tell(Acknowledged(1, 0.01), 0.0)
    assert writer.tell(Ticked(), SETTINGS.read_back_patience) == []
    assert writer.tell(Ticked(), SETTINGS.read_back_patience + 0.2) == [first]


def test_delay_rises_quickly_and_falls_slowly() -> None:
    writer = Driver()
    writer.post(0.0)
    assert delay_of(writer.state, 7.0) == 7.0
    writer.done(1, 8.0)
    assert delay_of(writer.state, 100.0) == 4.0
    writer.post(100.0)
    writer.done(2, 100.0)
    assert 3.0 < delay_of(writer.state, 100.0) < 4.0


def test_a_checkpoint_that_holds_the_batch_resolves_it() -> None:
    writer = Driver()
    (first,) = writer.post(0.0)
    assert writer.tell(Restored(0, 40), 1.0) == []
    writer.tell(AppendFailed(1, LOST), 1.0)
    assert writer.tell(Restored(0, 41), 1.0) == [first]
    assert writer.tell(Restored(1, 42), 1.0) == [Resolve((1,), 42)]


def test_late_news_of_an_earlier_batch_changes_nothing() -> None:
    writer = Driver()
    writer.post(0.0)
    writer.done(1, 0.0)
    writer.post(1.0)
    assert writer.tell(ReadBack(1, 5), 1.0) == []
    assert writer.tell(AppendFailed(1, LOST), 1.0) == []
    assert writer.state.failing_since is None
    assert wake_at(writer.state) is None


def test_the_queue_has_room_again_once_batches_are_read_back() -> None:
    writer = Driver(SETTINGS._replace(queue_bytes=100))
    for sequence in range(1, 20):
        (effect,) = writer.post(100.0 * sequence)
        assert isinstance(effect, Append)
        writer.done(sequence, 100.0 * sequence)


def test_closing_sends_without_waiting_for_company() -> None:
    writer = Driver(SETTINGS._replace(batch_bytes=1))
    writer.post(0.0)
    writer.post(0.0)
    writer.post(0.0)
    writer.tell(Closing(), 0.0)
    for sequence in (1, 2):
        (_, sent) = writer.done(sequence, 0.0)
        assert records_of(sent) == 1
