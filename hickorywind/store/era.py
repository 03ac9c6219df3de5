"""Eras of a store, which tell apart the revisions that it gives out twice.

A store that comes back from an older copy gives its revisions out again, for other changes. It
counts its eras, and a revision is unique only together with the era in which it was given out.
Within the system both are one integer, the era in its upper bits, so that a revision of a later era
is greater than all of earlier ones. A store without eras is in era 0, in which revisions are the
store's own.
"""

from __future__ import annotations

from hickorywind.ids import Revision, StoreEra

_NUMBER_BITS = 44  # a token of the first 511 eras fits into a double
_MAX_NUMBER = (1 << _NUMBER_BITS) - 1
_MAX_ERA = (1 << (63 - _NUMBER_BITS)) - 1


def make_revision(number: int, era: StoreEra) -> Revision:
    """Return a store's own revision with its era; raise ``ValueError`` if it is out of range."""
    if not 0 <= number <= _MAX_NUMBER or not 0 <= era <= _MAX_ERA:
        raise ValueError(f"revision {number} of store era {era} is out of range")
    return Revision(era << _NUMBER_BITS | number)


def era_of(revision: Revision) -> StoreEra:
    """Return the era in which a revision was given out."""
    return StoreEra(revision >> _NUMBER_BITS)


def number_of(revision: Revision) -> int:
    """Return the store's own number of a revision."""
    return revision & _MAX_NUMBER
