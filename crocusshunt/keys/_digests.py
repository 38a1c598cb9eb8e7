"""Form of API keys, and the digests that are stored in their place."""

from hashlib import sha256
from secrets import token_hex

_PREFIX = 'ck'
_SEPARATOR = '_'
_SECRET_BYTES = 32
_PARTS = 3


def create_key(name: str) -> str:
    """Return a new key, made of its public name and a random secret.

    :param name: name of the key's row, without underscores.
    """
    return _SEPARATOR.join((_PREFIX, name, token_hex(_SECRET_BYTES)))


def digest_key(key: str) -> str:
    """Return the SHA-256 digest that the key table holds in place of the key.

    The secret has 256 random bits, so a plain hash resists guessing. Header
    bytes that are not valid text arrive as surrogates and are hashed as such.

    >>> digest_key('ck_court-1_00')[:16]
    'fcca94480198d07b'
    """
    return sha256(key.encode(errors='surrogatepass')).hexdigest()


def extract_key_name(key: str) -> str:
    """Return the public name in a key, empty if the key has another form.

    >>> extract_key_name('ck_court-1_00'), extract_key_name('letmein')
    ('court-1', '')
    """
    parts = key.split(_SEPARATOR)
    if len(parts) != _PARTS or parts[0] != _PREFIX:
        return ''
    return parts[1]
