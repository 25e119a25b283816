"""The decisions of a witness: whether a reserve may be opened or is fenced. Pure.

For each holder a witness remembers the newest epoch that it allowed to be opened and
the newest that it fenced. An epoch is never both. The memory is lost when the witness
ends: its next boot is a different witness, and proves nothing about this one.
"""

from typing import NamedTuple

from clementinebend_ledger.quotas import HolderRecord

NO_EPOCH = -1

WITNESS_COUNT = 2
"""Number of witnesses of one holder: one survivor is proof enough, and both must be
reachable to open a reserve."""


class Attestation(NamedTuple):
    """The newest epochs of a holder's reserve that were fenced and opened."""

    fenced: int = NO_EPOCH
    opened: int = NO_EPOCH

    def proves_unopened(self, epoch: int) -> bool:
        """Return whether the reserve of ``epoch`` can never be opened any more."""
        return self.opened < epoch <= self.fenced

    def proves_opened(self, epoch: int) -> bool:
        """Return whether this witness allowed ``epoch`` to be opened."""
        return self.fenced < epoch <= self.opened


class WitnessState:
    """The memory of one boot of a witness."""

    def __init__(self) -> None:
        self.attestations: dict[str, Attestation] = {}

    def known(self, holder: str) -> Attestation:
        """Return the attestation recorded for a holder."""
        return self.attestations.get(holder, Attestation())

    def open(self, holder: str, epoch: int) -> Attestation:
        """Allow a holder to open its reserve, unless that epoch is fenced."""
        known = self.known(holder)
        if epoch > known.fenced:
            known = known._replace(opened=max(known.opened, epoch))
        self.attestations[holder] = known
        return known

    def fence(self, holder: str, epoch: int) -> Attestation:
        """Fence a holder's reserve up to ``epoch``, unless that epoch is opened."""
        known = self.known(holder)
        if epoch > max(known.opened, NO_EPOCH):
            known = known._replace(fenced=max(known.fenced, epoch))
        self.attestations[holder] = known
        return known


def is_opened(record: HolderRecord, attestations: dict[str, Attestation]) -> bool:
    """Return whether all witnesses of a record agreed; ``attestations`` is by boot."""
    return bool(record.witnesses) and all(
        attestations.get(witness.boot, Attestation()).proves_opened(record.epoch)
        for witness in record.witnesses
    )


def is_unopened(record: HolderRecord, attestations: dict[str, Attestation]) -> bool:
    """Return whether a record's reserve can never be opened any more.

    One witness is proof enough. Without witnesses it can never be opened.
    """
    return not record.witnesses or any(
        attestations.get(witness.boot, Attestation()).proves_unopened(record.epoch)
        for witness in record.witnesses
    )
