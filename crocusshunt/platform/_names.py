"""Names of headers and tables on the users' platform."""

from crocusshunt.front import HeaderNames, SourceFormat, TableNames
from crocusshunt.platform._configuration import decode_catalog
from crocusshunt.platform._servers import decode_server

_HEADERS = HeaderNames(
    request_id='X-Crocusshunt-Attempt-Id',
    deadline_ms='X-Crocusshunt-Deadline-Remaining',
    # A cookie, not a header.
    affinity_cookie='X-Crocusshunt-Affinity-Key',
    customer='X-Crocusshunt-Tenant',
    expected_server='X-Crocusshunt-Expected-Instance',
    # "running,waiting,slots" of the server that answers.
    load='X-Crocusshunt-Backend-Load',
    not_run='X-Crocusshunt-Not-Executed',
    # Shows that the bytes are a backend server's own answer.
    signature='X-Crocusshunt-Response-Seal',
    key_scheme='Token ',
)

SOURCE_FORMAT = SourceFormat(
    # The operator's table holds the configuration and emptied zones.
    tables=TableNames(configuration='op', servers='servers', hosts='hosts'),
    headers=_HEADERS,
    configuration_key='config',
    evacuation_prefix='evacuate/',
    decode_catalog=decode_catalog,
    decode_server=decode_server,
)
