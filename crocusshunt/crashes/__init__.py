"""Requests under which backend servers crash, recognized when they return."""

from crocusshunt.crashes._culprits import (
    START_SEPARATOR,
    Crashes,
    CrashSettings,
    find_culprits,
)
from crocusshunt.crashes._errors import MalformedCrashRecordError
from crocusshunt.crashes._fingerprints import compute_fingerprint
from crocusshunt.crashes._isolation import (
    IsolationSettings,
    Origin,
    OriginIsolation,
)
from crocusshunt.crashes._keeping import RecordChanges, RecordKeeping
from crocusshunt.crashes._ledger import CrashLedger
from crocusshunt.crashes._records import (
    CrashRecord,
    create_records,
    decode_record,
    encode_record,
    report_records,
)
from crocusshunt.crashes._reports import CrashReport

__all__ = (
    'START_SEPARATOR',
    'CrashLedger',
    'CrashRecord',
    'CrashReport',
    'CrashSettings',
    'Crashes',
    'IsolationSettings',
    'MalformedCrashRecordError',
    'Origin',
    'OriginIsolation',
    'RecordChanges',
    'RecordKeeping',
    'compute_fingerprint',
    'create_records',
    'decode_record',
    'encode_record',
    'find_culprits',
    'report_records',
)
