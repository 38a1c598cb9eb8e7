"""What of a caller's request is sent on, to servers or to another host."""

from dataclasses import replace

from aiohttp import web

from crocusshunt.crashes import compute_fingerprint
from crocusshunt.front._admission import Admission
from crocusshunt.front._attempts import RequestTemplate
from crocusshunt.front._headers import (
    RequestInfo,
    select_headers,
    select_relay_headers,
)
from crocusshunt.front._settings import HeaderNames


def create_template(
    request: web.BaseRequest,
    request_info: RequestInfo,
    admission: Admission,
    body: bytes | None,
    names: HeaderNames,
) -> RequestTemplate:
    """Return what backend servers get, without the caller's key."""
    headers = select_headers(request.headers, names, request_info.key)
    customer = admission.customer
    fingerprint = compute_fingerprint(
        '' if customer is None else customer.name,
        request_info.method,
        request_info.host,
        request_info.target,
        body,
    )
    return RequestTemplate(
        request_info.request_id,
        request_info.method,
        request_info.target,
        tuple(headers),
        body,
        fingerprint,
    )


def create_relay_template(
    request: web.BaseRequest, template: RequestTemplate, names: HeaderNames
) -> RequestTemplate:
    """Return what another host gets, with the caller's key.

    :param template: what backend servers get.
    """
    headers = select_relay_headers(request.headers, names)
    return replace(template, headers=tuple(headers))
