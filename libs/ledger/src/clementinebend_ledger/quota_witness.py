"""What a witness of marks decides: whether a reserve is opened or fenced. Pure.

For each holder a witness remembers the newest epoch that it let be opened and
the newest that it fenced. An epoch is never both. All is lost when the witness
ends: its next boot is another witness, and proves nothing of this one.
"""

from typing import NamedTuple

from clementinebend_ledger.quotas import HolderRecord

NO_EPOCH = -1

WITNESS_COUNT = 2
"""Witnesses of one holder: one that survives is proof enough, and both must
be there to open a reserve."""


class Attestation(NamedTuple):
    """Up to which epoch a holder's reserve was fenced, and opened."""

    fenced: int = NO_EPOCH
    opened: int = NO_EPOCH

    def proves_unopened(self, epoch: int) -> bool:
        """Tell whether the reserve of ``epoch`` is unopened for good."""
        return self.opened < epoch <= self.fenced

    def proves_opened(self, epoch: int) -> bool:
        """Tell whether this witness agreed that ``epoch`` be opened."""
        return self.fenced < epoch <= self.opened


class WitnessState:
    """The memory of one boot of a witness."""

    def __init__(self) -> None:
        self.attestations: dict[str, Attestation] = {}

    def known(self, holder: str) -> Attestation:
        """Return what is remembered of a holder."""
        return self.attestations.get(holder, Attestation())

    def open(self, holder: str, epoch: int) -> Attestation:
        """Let a holder open its reserve, unless that epoch is fenced."""
        known = self.known(holder)
        if epoch > known.fenced:
            known = known._replace(opened=max(known.opened, epoch))
        self.attestations[holder] = known
        return known

    def fence(self, holder: str, epoch: int) -> Attestation:
        """Never let a holder open its reserve of ``epoch`` or before."""
        known = self.known(holder)
        if epoch > max(known.opened, NO_EPOCH):
            known = known._replace(fenced=max(known.fenced, epoch))
        self.attestations[holder] = known
        return known


def is_opened(record: HolderRecord, attestations: dict[str, Attestation]) -> bool:
    """Tell whether all witnesses of a record agreed; ``attestations`` by boot."""
    return bool(record.witnesses) and all(
        attestations.get(witness.boot, Attestation()).proves_opened(record.epoch)
        for witness in record.witnesses
    )


def is_unopened(record: HolderRecord, attestations: dict[str, Attestation]) -> bool:
    """Tell whether a record's reserve is unopened for good.

    One witness is proof enough. Without witnesses it can never be opened.
    """
    return not record.witnesses or any(
        attestations.get(witness.boot, Attestation()).proves_unopened(record.epoch)
        for witness in record.witnesses
    )
