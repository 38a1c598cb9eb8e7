"""Audit trail: its file form, and its verification without the store."""

from crocusshunt.audit._trail import (
    Trail,
    TrailError,
    UnreadableRecordError,
    decode_record,
    encode_record,
    read_trail,
    verify_trail,
)

__all__ = (
    'Trail',
    'TrailError',
    'UnreadableRecordError',
    'decode_record',
    'encode_record',
    'read_trail',
    'verify_trail',
)
