"""Fingerprints of requests, by which repeated requests are recognized."""

from hashlib import blake2b

_DIGEST_BYTES = 8
_LENGTH_BYTES = 8


def compute_fingerprint(
    customer: str, method: str, host: str, target: str, body: bytes | None
) -> str:
    """Return a digest that is the same for each repeat of a request.

    A caller that repeats a request gives it a new id, so the digest covers
    what a server acts on.

    :param customer: name of the customer, empty on a public route.
    :param target: path and query.

    >>> first = compute_fingerprint('court', 'GET', 'a.example', '/a/1', None)
    >>> first == compute_fingerprint('court', 'GET', 'A.example', '/a/1', b'')
    True
    >>> first == compute_fingerprint('bank', 'GET', 'a.example', '/a/1', None)
    False
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (customer, method, host.lower(), target):
        encoded = part.encode('utf-8', 'surrogateescape')
        digest.update(len(encoded).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(encoded)
    digest.update(body or b'')
    return digest.hexdigest()
