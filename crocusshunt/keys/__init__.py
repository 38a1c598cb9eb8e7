"""Callers' keys: digests, extraction from requests, authentication."""

from crocusshunt.keys._digests import create_key, digest_key, split_key
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
    'RefusedKeyError',
    'KeyState',
    'Keyring',
    'MissingKeyError',
    'UnknownKeyError',
    'WithdrawnKeyError',
    'create_key',
    'digest_key',
    'split_key',
)
