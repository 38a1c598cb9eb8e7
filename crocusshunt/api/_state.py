"""Endpoints that return the status and the configuration in force."""

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
    """Return the status of this API process."""
    feed = call.context.feed
    age = feed.measure_evidence_age()
    return json_response(
        StatusDocument(
            host=call.context.settings.host.name,
            revision=feed.configuration.revision,
            evidence_age_s=None if age == float('inf') else age,
        ),
    )


@register_endpoint('GET', '/v1/configuration', Role.read)
async def show_configuration(call: Call) -> web.Response:
    """Return all rows of the newest configuration."""
    await call.context.store_poller.poll()
    configuration = call.context.feed.configuration
    rows = tuple(
        RowDocument(table, name, encode_row(row))
        for table, named in sorted(configuration.tables.rows.items())
        for name, row in sorted(named.items())
    )
    return json_response(
        ConfigurationDocument(
            configuration.revision, configuration.digest, rows
        ),
    )
