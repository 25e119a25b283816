"""The witnesses of this entry's quotas: selection, liveness and attestations."""

from asyncio import sleep
from collections.abc import Callable, Iterable

from clementinebend_ledger.quota_witness import NO_EPOCH, WITNESS_COUNT, Attestation
from clementinebend_ledger.quotas import HolderRecord, Witness
from clementinebend_membership.rendezvous import rendezvous
from clementinebend_relay.discovery import Announcement, Directory
from clementinebend_relay.messages import (
    AttestationMessage,
    FenceMessage,
    Message,
    OpenMessage,
)
from clementinebend_transport.client_connection import Address

PING_INTERVAL = 0.5
"""Seconds between liveness checks of witnesses."""

LIVE_SECONDS = 1.8
"""Seconds for which a witness counts as live after its last answer: three checks, so
that one lost datagram has no effect."""

Send = Callable[[Message, Address], None]


class Witnesses:
    """Chooses witnesses, sends them requests and stores what they attest."""

    def __init__(
        self,
        boot: str,
        zone: str,
        directory: Directory,
        send: Send,
        clock: Callable[[], float],
    ) -> None:
        self.boot = boot
        self.zone = zone
        self.directory = directory
        self.send = send
        self.clock = clock
        self.heard: dict[str, float] = {}
        self.attestations: dict[str, dict[str, Attestation]] = {}
        self.on_attestation: list[Callable[[str], None]] = []
        self.is_needed: Callable[[], bool] = lambda: True
        """Returns whether this entry may have reserves; other entries need no
        witnesses."""

    def choose(self, current: tuple[Witness, ...]) -> tuple[Witness, ...]:
        """Return this entry's witnesses; those in ``current`` stay while they are live.

        They are in different availability zones, none of them this entry's own, as far
        as live witnesses allow.
        """
        live = [item for item in self._ranked() if self._is_live(item.boot)]
        boots = {item.boot for item in live}
        kept = [witness for witness in current if witness.boot in boots]
        kept_boots = {witness.boot for witness in kept}
        zones = {item.zone for item in live if item.boot in kept_boots}
        for item in sorted(live, key=lambda item: item.zone == self.zone):
            if len(kept) >= WITNESS_COUNT:
                break
            is_only = not any(
                other.zone not in zones and other.zone != self.zone for other in live
            )
            if item.boot not in kept_boots and (item.zone not in zones or is_only):
                kept.append(Witness(item.boot, item.host, item.port))
                kept_boots.add(item.boot)
                zones.add(item.zone)
        return tuple(kept)

    def of(self, holder: str) -> dict[str, Attestation]:
        """Return what witnesses have attested of a holder, by the witness's boot."""
        return self.attestations.get(holder, {})

    def open(self, holder: str, record: HolderRecord) -> None:
        """Ask the witnesses of a record for permission to open its reserve."""
        for witness in record.witnesses:
            message = OpenMessage(witness.boot, holder, record.epoch)
            self.send(message, Address(witness.host, witness.port))

    def fence(self, holder: str, record: HolderRecord) -> None:
        """Ask the witnesses of a record to refuse opening its reserve from now on."""
        for witness in record.witnesses:
            message = FenceMessage(witness.boot, holder, record.epoch)
            self.send(message, Address(witness.host, witness.port))

    def on_answer(self, message: AttestationMessage) -> None:
        """Record the attestation of a witness."""
        self.heard[message.witness] = self.clock()
        if message.attestation == Attestation():
            return
        self.attestations.setdefault(message.holder, {})[message.witness] = (
            message.attestation
        )
        for listener in self.on_attestation:
            listener(message.holder)

    async def run(self) -> None:
        """Check the liveness of witnesses until cancelled."""
        while True:
            for item in self._pinged() if self.is_needed() else ():
                ping = FenceMessage(item.boot, self.boot, NO_EPOCH)
                self.send(ping, item.address)
            await sleep(PING_INTERVAL)

    def _ranked(self) -> list[Announcement]:
        """Return the announced witnesses in this entry's own ranking."""
        announced = self.directory.announcements
        order = rendezvous(self.boot, announced, len(announced))
        ranked = [announced[name] for name in order]
        return [item for item in ranked if item.boot != self.boot]

    def _pinged(self) -> Iterable[Announcement]:
        """Yield the first witnesses in the ranking until enough of them are live."""
        live = 0
        for item in self._ranked():
            yield item
            live += self._is_live(item.boot)
            if live >= 2 * WITNESS_COUNT:
                return

    def _is_live(self, boot: str) -> bool:
        heard_at = self.heard.get(boot)
        return heard_at is not None and self.clock() - heard_at < LIVE_SECONDS
