"""Requests as the connections of the HTTP library expect them."""

from aiohttp.http import HttpVersion
from aiohttp.http_parser import RawRequestMessage
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from crocusshunt.http1 import MalformedRequestError, RequestHead

_HTTP_MAJOR = 1


def create_message(head: RequestHead) -> RawRequestMessage:
    """Return a request without its body.

    :raises MalformedRequestError: its target isn't one.
    """
    headers = CIMultiDictProxy(CIMultiDict(head.fields))
    raw_headers = tuple(
        (name.encode(), text.encode('utf-8', 'surrogateescape'))
        for name, text in head.fields
    )
    return RawRequestMessage(
        head.method,
        head.target,
        HttpVersion(_HTTP_MAJOR, head.minor_version),
        headers,
        raw_headers,
        not head.is_persistent,
        None,
        False,
        head.body_bytes is None,
        _create_url(head.target),
    )


def _create_url(target: str) -> URL:
    path, _separator, query = target.partition('?')
    if not path.startswith('/'):
        return URL('/')
    try:
        return URL.build(path=path, query_string=query, encoded=True)
    except ValueError as error:
        raise MalformedRequestError('target') from error
