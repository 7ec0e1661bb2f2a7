"""Revisions of the platform's store, as integers that never go back.

The store numbers its changes. After it has come back from an older copy it gives numbers out again,
and counts this as a new *era*. A revision has the era in its upper bits and the number in its lower
`NUMBER_BITS`, so revisions of a later era are greater, and no revision stands for two changes.
"""

# Numbers of 400 changes a second for 80 years; with eras below 2**13 a revision is exact as a
# floating-point number too.
NUMBER_BITS = 40
MAX_NUMBER = (1 << NUMBER_BITS) - 1
# A revision fits into a signed integer of 64 bits.
MAX_ERA = (1 << 63 - NUMBER_BITS) - 1


def build_revision(era: int, number: int) -> int:
    """Return the revision of change `number` in `era`.

    Raises `ValueError` if one of them is negative or exceeds `MAX_ERA` or `MAX_NUMBER`.
    """
    if not 0 <= era <= MAX_ERA or not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"no revision: era {era}, number {number}")
    return era << NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number of a revision within its era, as the store gave it out."""
    return revision & MAX_NUMBER
