"""Audit trail of changes: its file format and its offline verification."""

from crocusshunt.audit._trail import (
    TrailError,
    UnreadableRecordError,
    VerifiedTrail,
    decode_record,
    encode_record,
    read_trail,
    verify_trail,
)

__all__ = (
    'TrailError',
    'UnreadableRecordError',
    'VerifiedTrail',
    'decode_record',
    'encode_record',
    'read_trail',
    'verify_trail',
)
