"""Records of the audit trail as JSON lines, and their hash chain.

Reference: S. Haber and W. S. Stornetta, "How to Time-Stamp a Digital
Document", Journal of Cryptology 3, 1991.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from crocusshunt.configuration import GENESIS_DIGEST, Change, attach_digest
from crocusshunt.core import CrocusError, Fault


@dataclass(unsafe_hash=True)
class TrailError(CrocusError):
    """A trail with records that were removed, altered or reordered.

    :param faults: every break of the chain.
    """

    code = 'trail-broken'

    faults: tuple[Fault, ...]

    def describe(self) -> str:
        """Return all faults, one a line."""
        return '\n'.join(str(fault) for fault in self.faults)


@dataclass(unsafe_hash=True)
class UnreadableRecordError(CrocusError):
    """A line that holds no record.

    :param line: number of the line, from 1.
    """

    code = 'record-unreadable'

    line: int
    detail: str


@dataclass(frozen=True, slots=True)
class Trail:
    """What a verified trail covers.

    :param digest: digest of the last record; it stands for all before it.
    """

    records: int
    revision: int
    digest: str


def encode_record(change: Change) -> str:
    """Return a record as one line of JSON."""
    return msgspec.json.encode(change, order='sorted').decode()


def decode_record(text: str) -> Change:
    """Return the record of a line.

    :raises msgspec.DecodeError: the line holds no record.
    """
    return msgspec.json.decode(text, type=Change)


def read_trail(
    lines: Iterable[str],
) -> Result[tuple[Change, ...], UnreadableRecordError]:
    """Return the records of a file, in the file's order."""
    records: list[Change] = []
    for number, line in enumerate(lines, start=1):
        try:
            records.append(decode_record(line))
        except msgspec.DecodeError as error:
            return Err(UnreadableRecordError(number, str(error)))
    return Ok(tuple(records))


def verify_trail(
    records: Iterable[Change],
    head: str = '',
) -> Result[Trail, TrailError]:
    """Check that records are all there, unaltered and in order.

    :param head: digest that the last record must have, from a source other
        than the trail; without it, records removed from the end, or a chain
        that was computed anew, go unnoticed.

    >>> first = Change(1, 'c1', 'mina', 'first', 0, (), GENESIS_DIGEST)
    >>> first = attach_digest(first)
    >>> verify_trail((first,)).unwrap().revision
    1
    >>> verify_trail((first,), head=GENESIS_DIGEST).is_err()
    True
    """
    faults: list[Fault] = []
    revision = 0
    digest = GENESIS_DIGEST
    count = 0
    for record in records:
        faults.extend(_find_breaks(record, revision, digest))
        revision = record.revision
        digest = record.digest
        count += 1
    if head and digest != head:
        problem = f'the trail ends at revision {revision}, digest {digest}'
        faults.append(Fault('end', problem, f'digest {head}'))
    if faults:
        return Err(TrailError(tuple(faults)))
    return Ok(Trail(count, revision, digest))


def _find_breaks(
    record: Change,
    revision: int,
    digest: str,
) -> Iterator[Fault]:
    place = f'revision {record.revision}'
    following = revision + 1
    if record.revision > following:
        gone = f'revisions {following} to {record.revision - 1}'
        yield Fault(place, f'{gone} were removed or moved before it')
    elif record.revision < following:
        yield Fault(place, f'out of order: it stands after {revision}')
    elif record.previous != digest:
        yield Fault(place, 'does not continue the record before it')
    if attach_digest(record).digest != record.digest:
        yield Fault(place, 'was altered: its content has another digest')
