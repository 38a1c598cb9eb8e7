"""Endpoints that show the state in force."""

from aiohttp import web

from crocusshunt.api._documents import (
    ConfigurationDocument,
    RowDocument,
    StatusDocument,
)
from crocusshunt.api._endpoints import Call, register_endpoint
from crocusshunt.configuration import encode_row
from crocusshunt.operators import Role
from crocusshunt.web import json_response


@register_endpoint('GET', '/v1/status', Role.read)
async def show_status(call: Call) -> web.Response:
    """Return the state of this process."""
    feed = call.parts.feed
    age = feed.measure_evidence_age()
    return json_response(
        StatusDocument(
            host=call.parts.settings.host.name,
            revision=feed.configuration.revision,
            evidence_age_s=None if age == float('inf') else age,
        ),
    )


@register_endpoint('GET', '/v1/configuration', Role.read)
async def show_rows(call: Call) -> web.Response:
    """Return all rows in force."""
    await call.parts.origin.poll()
    held = call.parts.feed.configuration
    rows = tuple(
        RowDocument(table, name, encode_row(row))
        for table, named in sorted(held.tables.rows.items())
        for name, row in sorted(named.items())
    )
    return json_response(
        ConfigurationDocument(held.revision, held.digest, rows),
    )
