"""Form of a key and the digest that is stored of it."""

from hashlib import sha256
from secrets import token_hex

_PREFIX = 'ck'
_SEPARATOR = '_'
_SECRET_BYTES = 32
_PARTS = 3


def create_key(name: str) -> str:
    """Return a new key that carries its public name and a random secret.

    :param name: name of the key's row, without underscores.
    """
    return _SEPARATOR.join((_PREFIX, name, token_hex(_SECRET_BYTES)))


def digest_key(key: str) -> str:
    """Return the digest that the key table holds in place of the key.

    The secret has 256 random bits, so a plain hash resists guessing. Bytes of
    a header that are no text arrive as surrogates and are hashed as such.

    >>> digest_key('ck_court-1_00')[:16]
    'fcca94480198d07b'
    """
    return sha256(key.encode(errors='surrogatepass')).hexdigest()


def extract_key_name(key: str) -> str:
    """Return the public name inside a key, or an empty text.

    >>> extract_key_name('ck_court-1_00'), extract_key_name('letmein')
    ('court-1', '')
    """
    parts = key.split(_SEPARATOR)
    if len(parts) != _PARTS or parts[0] != _PREFIX:
        return ''
    return parts[1]
