"""Headers, tables and row formats of the users' platform."""

from crocusshunt.front import HeaderNames, SourceFormat, TableNames
from crocusshunt.platform._configuration import decode_catalog
from crocusshunt.platform._servers import decode_server

_HEADERS = HeaderNames(
    request_id='X-Crocusshunt-Attempt-Id',
    deadline_ms='X-Crocusshunt-Deadline-Remaining',
    # The name of a cookie, not of a header.
    affinity_cookie='X-Crocusshunt-Affinity-Key',
    customer='X-Crocusshunt-Tenant',
    expected_server='X-Crocusshunt-Expected-Instance',
    # Load of the server that answers: "running,waiting,slots".
    load='X-Crocusshunt-Backend-Load',
    # Requests a second that the server takes from all hosts together.
    rate_limit='Server-Limit',
    # With status 503: seconds in which the server wants nothing from this host.
    retry_after='Retry-After',
    # "1" in every answer of a server that is draining.
    draining='Server-Leaving',
    not_run='X-Crocusshunt-Not-Executed',
    # Marks an answer as sent by a backend server itself.
    signature='X-Crocusshunt-Response-Seal',
    key_scheme='Token ',
)

SOURCE_FORMAT = SourceFormat(
    # The operator's table "op" holds the configuration and the zones, that is
    # failure domains, whose servers get no requests.
    tables=TableNames(
        configuration='op',
        servers='servers',
        hosts='hosts',
        crashes='crashes',
    ),
    headers=_HEADERS,
    configuration_key='config',
    evacuation_prefix='evacuate/',
    decode_catalog=decode_catalog,
    decode_server=decode_server,
)
