"""Callers' API keys: their form, digests and authentication."""

from crocusshunt.keys._digests import create_key, digest_key, extract_key_name
from crocusshunt.keys._keyring import (
    Digest,
    Key,
    Keyring,
    KeyState,
    MissingKeyError,
    RefusedKeyError,
    UnknownKeyError,
    WithdrawnKeyError,
)

__all__ = (
    'Digest',
    'Key',
    'KeyState',
    'Keyring',
    'MissingKeyError',
    'RefusedKeyError',
    'UnknownKeyError',
    'WithdrawnKeyError',
    'create_key',
    'digest_key',
    'extract_key_name',
)
