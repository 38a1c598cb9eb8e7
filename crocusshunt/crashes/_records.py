"""Crashes as they are kept in a store, for hosts that start later."""

from collections.abc import Iterable, Mapping
from hashlib import blake2b

import msgspec
from result import Err, Ok, Result

from crocusshunt.core import DECODE_ERRORS
from crocusshunt.crashes._culprits import CrashSettings
from crocusshunt.crashes._errors import MalformedCrashRecordError
from crocusshunt.crashes._isolation import Origin
from crocusshunt.crashes._reports import CrashReport, History

_DIGEST_BYTES = 8
_KEY_SEPARATOR = '/'


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """One crash under a request.

    :param fingerprint: of the request.
    :param server: the server and its start.
    :param at: Unix time of the crash, in seconds.
    :param origin: of the request, None if unknown.
    """

    fingerprint: str
    server: str
    at: float
    origin: Origin | None = None

    @property
    def key(self) -> str:
        """Return what tells this crash from all others, in few bytes.

        >>> CrashRecord('f1', 's1@7', 0).key
        'f1/01dd961c5c6dbb20'
        """
        digest = blake2b(self.server.encode(), digest_size=_DIGEST_BYTES)
        return f'{self.fingerprint}{_KEY_SEPARATOR}{digest.hexdigest()}'


def create_records(
    histories: Mapping[str, History], offset_s: float
) -> dict[str, CrashRecord]:
    """Return the records of all crashes in some histories by their keys.

    :param histories: by the fingerprints of their requests.
    :param offset_s: Unix time when the monotonic clock was zero, in seconds.
    """
    records = [
        CrashRecord(fingerprint, server, at + offset_s, history.origin)
        for fingerprint, history in histories.items()
        for server, at in history.crashes.items()
    ]
    return {record.key: record for record in records}


def encode_record(record: CrashRecord) -> bytes:
    """Encode a record as the content of a row."""
    return msgspec.json.encode(record)


def decode_record(
    key: str, content: bytes
) -> Result[CrashRecord, MalformedCrashRecordError]:
    """Decode the content of a row; an error tells what is wrong with it."""
    try:
        record = msgspec.json.decode(content, type=CrashRecord)
    except DECODE_ERRORS as error:
        return Err(MalformedCrashRecordError(key, str(error)))
    if record.key != key:
        return Err(MalformedCrashRecordError(key, f'is about {record.key}'))
    return Ok(record)


def report_records(
    records: Iterable[CrashRecord], unix_time: float, settings: CrashSettings
) -> list[CrashReport]:
    """Return the reports that tell of records.

    The clock of the host that made a record may differ by any time. A crash
    whose age cannot be right counts as one of this moment, so that none is
    forgotten early.

    :param unix_time: now, in seconds.

    >>> record = CrashRecord('f1', 's1', at=1000)
    >>> settings = CrashSettings(window_s=600)
    >>> report_records([record], 1060, settings)[0].ages_s
    {'s1': 60}
    >>> report_records([record], 999, settings)[0].ages_s
    {'s1': 0}
    """
    ages_s: dict[str, dict[str, float]] = {}
    origins: dict[str, Origin | None] = {}
    for record in records:
        age_s = unix_time - record.at
        is_plausible = 0 <= age_s < settings.window_s
        found = ages_s.setdefault(record.fingerprint, {})
        found[record.server] = age_s if is_plausible else 0
        origins[record.fingerprint] = record.origin
    return [
        CrashReport(fingerprint, found, None, origins[fingerprint])
        for fingerprint, found in ages_s.items()
    ]
