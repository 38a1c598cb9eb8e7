"""Records of the audit trail as JSON lines, and their hash chain.

Each record is a change, whose digest covers its content and the digest of the
record before it. A record that is removed, altered or moved breaks the chain.

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

    :param faults: one fault for each place where the chain is broken.
    """

    code = 'trail-broken'

    faults: tuple[Fault, ...]

    def describe(self) -> str:
        """Return all faults, one a line."""
        return '\n'.join(str(fault) for fault in self.faults)


@dataclass(unsafe_hash=True)
class UnreadableRecordError(CrocusError):
    """A line that is not a valid record.

    :param line: number of the line, from 1.
    :param detail: description of the decoding error.
    """

    code = 'record-unreadable'

    line: int
    detail: str


@dataclass(frozen=True, slots=True)
class VerifiedTrail:
    """Summary of a trail whose hash chain is unbroken.

    :param records: number of records.
    :param revision: revision of the last record, 0 if there is none.
    :param digest: digest of the last record, which covers all before it.
    """

    records: int
    revision: int
    digest: str


def encode_record(change: Change) -> str:
    """Return a change as one line of JSON."""
    return msgspec.json.encode(change, order='sorted').decode()


def decode_record(text: str) -> Change:
    """Return the change that a line contains.

    :raises msgspec.DecodeError: the line is not a valid record.
    """
    return msgspec.json.decode(text, type=Change)


def read_trail(
    lines: Iterable[str],
) -> Result[tuple[Change, ...], UnreadableRecordError]:
    """Decode the lines of a trail file, in the order of the file."""
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
) -> Result[VerifiedTrail, TrailError]:
    """Verify that records are complete, unaltered and in order.

    :param head: expected digest of the last record, from a source other than
        the trail; without it, records removed from the end and a chain with
        recomputed digests are not detected.

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
    return Ok(VerifiedTrail(count, revision, digest))


def _find_breaks(
    record: Change,
    revision: int,
    digest: str,
) -> Iterator[Fault]:
    place = f'revision {record.revision}'
    expected = revision + 1
    if record.revision > expected:
        missing = f'revisions {expected} to {record.revision - 1}'
        yield Fault(place, f'{missing} were removed or moved before it')
    elif record.revision < expected:
        yield Fault(place, f'out of order: it follows revision {revision}')
    elif record.previous != digest:
        yield Fault(
            place, 'does not refer to the digest of the record before it'
        )
    if attach_digest(record).digest != record.digest:
        yield Fault(place, 'was altered: its content does not match its digest')
