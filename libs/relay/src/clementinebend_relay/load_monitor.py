"""Observes this entry's load; leaves and returns to rotation, and sheds calls.

The decisions are made in ``clementinebend_admission``. The load is sampled only if the
rate of the entry's link is known.
"""

from asyncio import Event, sleep
from collections.abc import Callable, Iterable
from itertools import count
from random import random

from clementinebend_admission.entry_load import (
    ENTER,
    FREEZE_SECONDS,
    EntryCapacity,
    EntryLoad,
    LoadSample,
    on_sample,
)
from clementinebend_admission.load_shedding import (
    CallMix,
    chance,
    max_share,
    next_share,
    retry_after_seconds,
)
from clementinebend_admission.rotation import EntryState, Rotation, on_load
from clementinebend_admission.team_rates import TeamRates
from clementinebend_relay.admission import Admitted
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.departed_load import DepartedLoad
from clementinebend_relay.messages import EntryLoadMessage, Message, TeamRateMessage
from clementinebend_relay.metrics import (
    entry_overloaded,
    entry_utilization,
    rotation_departures,
    shed_calls,
)
from clementinebend_relay.models import Reason, Rejection
from clementinebend_relay.process_usage import memory_bytes, open_descriptors
from clementinebend_relay.zone_loads import ZoneLoads
from clementinebend_transport.client_connection import Address
from clementinebend_transport.traffic import traffic

SAMPLE_SECONDS = 0.1
"""Interval in seconds of the samples."""

DISABLED_CHECK_SECONDS = 1.0
"""Interval in seconds at which an entry without a link rate checks whether changed
settings name one."""

USAGE_SAMPLES = 10
"""Memory and descriptors are read with every tenth sample, as they change slowly."""

REPEAT_SECONDS = 0.5
"""Interval in seconds at which the state is sent while the entry is overloaded or out
of rotation."""

EARLY_REPEATS = 3
"""Number of samples after a change with which the state is sent again while the entry
is overloaded or out, so that one lost message does not let two entries leave."""

Send = Callable[[Message, Iterable[Address]], None]


class LoadMonitor:
    """The load of this entry, and what follows from it.

    ``on_rotation`` is called with each change of ``is_out``, ``while_out`` after each
    sample while the entry is out, with the seconds since its departure.
    """

    def __init__(
        self,
        boot: str,
        capacity: EntryCapacity,
        zone: ZoneLoads,
        send_all: Send,
        clock: Callable[[], float],
    ) -> None:
        self.boot = boot
        self.capacity = capacity
        self.zone = zone
        self.send_all = send_all
        self.clock = clock
        self.load = EntryLoad()
        self.rotation = Rotation()
        self.share = 0.0
        self.mix = CallMix()
        self.teams = TeamRates()
        self.shed_teams = TeamRates()
        self.departed = DepartedLoad(clock)
        self.others: list[EntryState] = []
        self.memory = 0
        self.descriptors = 0
        self.sampled_at = clock()
        self.received, self.sent = traffic.received, traffic.sent
        self.samples = count()
        self.numbers = count(1)
        self.send_at = 0.0
        self.early_repeats = 0
        self.on_rotation: Callable[[bool], None] = lambda is_out: None
        self.while_out: Callable[[float], None] = lambda seconds: None

    def is_saturated(self) -> bool:
        """Return whether missing answers may be due to this entry's own load.

        It is overloaded, or past the threshold but not for long enough yet.
        """
        return self.load.is_saturated

    async def run(self, is_loaded: Event) -> None:
        """Sample forever, once the entry has loaded what it needs for calls."""
        await is_loaded.wait()
        self._skip_to_now()
        while True:
            if self.capacity.link_rate is None:
                self._stop_sampling()
                await sleep(DISABLED_CHECK_SECONDS)
                self._skip_to_now()
                continue
            due = self.clock() + SAMPLE_SECONDS
            await sleep(SAMPLE_SECONDS)
            now = self.clock()
            self.on_sample(self._measure(now)._replace(loop_delay=now - due))

    def _skip_to_now(self) -> None:
        """Let the next sample cover the time from now on only."""
        self.sampled_at = self.clock()
        self.received, self.sent = traffic.received, traffic.sent

    def _stop_sampling(self) -> None:
        """Return to rest, as the settings no longer name the link's rate."""
        was_out = self.rotation.is_out
        self.load, self.rotation, self.share = EntryLoad(), Rotation(), 0.0
        self.zone.on_saturation(False)
        if was_out:
            self._on_rotation()

    def on_sample(self, sample: LoadSample) -> None:
        """Update the state by a sample, and act on its changes."""
        elapsed = SAMPLE_SECONDS + min(FREEZE_SECONDS, max(0.0, sample.loop_delay))
        before, was_out = self.load, self.rotation.is_out
        self.load = on_sample(before, sample, self.capacity)
        self.zone.on_saturation(self.load.is_saturated)
        self._update_gauges()
        if self._is_at_rest(before):
            return
        self.others = self.zone.others()
        self._update_rotation(sample.at)
        self._update_share(elapsed)
        is_changed = before.is_overloaded != self.load.is_overloaded
        if is_changed:
            is_overloaded = self.load.is_overloaded
            self._log("entry overloaded" if is_overloaded else "entry has room again")
        if was_out != self.rotation.is_out:
            is_changed = True
            self._on_rotation()
        self._send_if_due(sample.at, is_changed)
        if self.rotation.is_out:
            self.while_out(sample.at - self.rotation.changed_at)

    def on_message(
        self, message: EntryLoadMessage | TeamRateMessage, sender: Address
    ) -> None:
        """Apply another entry's state, or its answer about this one's former load."""
        match message:
            case EntryLoadMessage():
                self.zone.on_message(message)
                self._answer(message, sender)
            case TeamRateMessage():
                self.departed.on_message(message)

    def rejection(self, admitted: Admitted) -> Rejection | None:
        """Return the rejection of a new call if it is to be shed, else None."""
        if self.capacity.link_rate is not None:
            self.teams.add(admitted.team.name, self.clock())
        if not self.share or admitted.call.is_resumption:
            return None
        self.mix.add(admitted.priority, self.clock())
        probability = chance(self.share, self.mix, admitted.priority)
        if random() >= probability:
            return None
        with_room = self._with_room()
        pause = retry_after_seconds(with_room > 0, random())
        shed_calls.labels(admitted.priority).inc()
        self.shed_teams.add(admitted.team.name, self.clock())
        log_decision(
            "call shed",
            request_id=admitted.call.request_id,
            priority=admitted.priority,
            probability=round(probability, 3),
            with_room=with_room,
            **self._logged(),
        )
        message = "this entry is overloaded; others have room"
        return Rejection(Reason.OVERLOADED, message, pause, is_last=True)

    def _answer(self, message: EntryLoadMessage, sender: Address) -> None:
        """Tell an entry that is out how much its heaviest team calls here."""
        if not message.team or message.zone != self.zone.zone:
            return
        rate = self.teams.rate(message.team, self.clock())
        answer = TeamRateMessage(self.boot, message.team, rate)
        self.send_all(answer, (sender,))

    def _is_at_rest(self, before: EntryLoad) -> bool:
        """Return whether nothing has to be decided, told or undone."""
        is_overloaded = before.is_overloaded or self.load.is_overloaded
        return not (is_overloaded or self.rotation.is_out or self.share)

    def _measure(self, now: float) -> LoadSample:
        """Return what was measured since the previous sample, without its delay."""
        elapsed = max(SAMPLE_SECONDS / 2, now - self.sampled_at)
        received, sent = traffic.received, traffic.sent
        if next(self.samples) % USAGE_SAMPLES == 0:
            self._measure_usage()
        sample = LoadSample(
            now,
            0.0,
            (received - self.received) / elapsed,
            (sent - self.sent) / elapsed,
            self.memory,
            self.descriptors,
        )
        self.sampled_at, self.received, self.sent = now, received, sent
        return sample

    def _measure_usage(self) -> None:
        if self.capacity.memory is not None:
            self.memory = memory_bytes()
        if self.capacity.descriptors is not None:
            self.descriptors = open_descriptors()

    def _update_rotation(self, now: float) -> None:
        self.rotation = on_load(
            self.rotation,
            self.zone.name,
            self.load.is_overloaded,
            self.load.utilization.highest,
            self.zone.entries(),
            self.others,
            self.departed.persists(),
            now,
        )

    def _update_share(self, elapsed: float) -> None:
        overloaded = 1 + sum(other.is_overloaded for other in self.others)
        self.share = next_share(
            self.share,
            self.load.is_overloaded,
            self.load.utilization.highest < ENTER,
            max_share(self._with_room(), overloaded),
            elapsed,
        )

    def _with_room(self) -> int:
        """Return how many other entries of the zone may have spare capacity."""
        return max(0, self.zone.entries() - 1 - len(self.others))

    def _on_rotation(self) -> None:
        is_out = self.rotation.is_out
        if is_out:
            rotation_departures.inc()
            self._remember_load()
        elif not self.load.is_overloaded:
            self.share = 0.0
        self._log("left rotation" if is_out else "returned to rotation")
        if not is_out:
            self.departed.on_return()
        self.on_rotation(is_out)

    def _remember_load(self) -> None:
        """Remember what took this entry out of rotation."""
        now = self.clock()
        heaviest = self.teams.heaviest(now)
        team = "" if heaviest is None else heaviest.team
        self.departed.on_departure(heaviest, self.shed_teams.rate(team, now))

    def _send_if_due(self, now: float, is_changed: bool) -> None:
        """Send the state at a change, and repeatedly while it matters to others."""
        is_notable = self.load.is_overloaded or self.rotation.is_out
        if is_changed:
            self.early_repeats = EARLY_REPEATS
        elif not is_notable:
            return
        elif self.early_repeats:
            self.early_repeats -= 1
        elif now < self.send_at:
            return
        self.send_at = now + REPEAT_SECONDS
        message = EntryLoadMessage(
            self.boot,
            self.zone.zone,
            self.rotation.rank,
            self.load.is_overloaded,
            self.rotation.is_out,
            next(self.numbers),
            self.departed.team,
        )
        self.send_all(message, self.zone.addresses())

    def _log(self, decision: str) -> None:
        moved = self.departed.moved_rate()
        log_decision(
            decision,
            entries=self.zone.entries(),
            others_overloaded=sum(other.is_overloaded for other in self.others),
            others_out=sum(other.is_out for other in self.others),
            backoff_s=self.rotation.backoff,
            team=self.departed.team,
            moved_calls_per_s=None if moved is None else round(moved, 1),
            **self._logged(),
        )

    def _logged(self) -> dict[str, float | bool]:
        """Return the fields of log lines that tell of this entry's own load."""
        utilization = self.load.utilization._asdict()
        rounded = {name: round(value, 3) for name, value in utilization.items()}
        share = round(self.share, 3)
        return {**rounded, "share": share, "is_out": self.rotation.is_out}

    def _update_gauges(self) -> None:
        for name, value in self.load.utilization._asdict().items():
            entry_utilization.labels(name).set(value)
        entry_overloaded.set(self.load.is_overloaded)
