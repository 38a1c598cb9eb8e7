"""HTTP service for operators, and source of changes for controllers."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from crocusshunt.api._documents import (
    AcceptedDocument,
    ChangeDocument,
    ConfigurationDocument,
    ErrorDocument,
    HistoryDocument,
    RowDocument,
    StatusDocument,
)
from crocusshunt.api._settings import ApiSettings
from crocusshunt.configuration import (
    Change,
    ChangeRequest,
    InvalidChangeError,
    ProposalError,
    Repository,
    RevisionConflictError,
    encode_row,
)
from crocusshunt.core import Clock, CrocusError
from crocusshunt.messages import (
    Body,
    FetchChanges,
    FetchHosts,
    Handlers,
    HostList,
    Refusal,
    Replier,
)
from crocusshunt.operators import (
    Operator,
    OperatorError,
    Operators,
    Role,
    UnknownOperatorError,
)
from crocusshunt.relay import register_relay
from crocusshunt.replication import Feed, Origin
from crocusshunt.services import HttpService, TaskGroup, json_response
from crocusshunt.store import HttpPlatform

_STATUS_BAD_REQUEST = 400
_STATUS_UNAUTHORIZED = 401
_STATUS_FORBIDDEN = 403
_STATUS_NOT_FOUND = 404
_STATUS_CONFLICT = 409
_STATUS_UNAVAILABLE = 503
_MAX_BODY_BYTES = 16_777_216
_BOOTSTRAP_NAME = 'bootstrap'
_BEARER = 'Bearer '

_Handler = Callable[[web.Request, Operator], Awaitable[web.Response]]


class ApiService(HttpService):
    """Takes changes from operators and reads them back from the store."""

    def __init__(self, settings: ApiSettings, clock: Clock) -> None:
        """Assemble the parts; nothing runs yet."""
        super().__init__(settings.api.address, settings.api.port)
        self._settings = settings
        self._tasks = TaskGroup()
        self._platform = HttpPlatform(settings.platform)
        self._repository = Repository(self._platform, clock)
        self.feed = Feed(clock)
        self._origin = Origin(self._repository, self.feed, clock)
        self._replier = Replier(settings.api.listen, self._register())

    @property
    def address(self) -> str:
        """Return where controllers ask for changes."""
        return self._replier.address

    def create_application(self) -> web.Application:
        """Return the operators' application."""
        application = web.Application(client_max_size=_MAX_BODY_BYTES)
        routes = application.router
        guard = self._guard
        routes.add_get('/v1/status', guard(Role.read, self._show_status))
        routes.add_get('/v1/configuration', guard(Role.read, self._show_rows))
        routes.add_get('/v1/changes', guard(Role.read, self._show_changes))
        routes.add_get('/v1/changes/{id}', guard(Role.read, self._show_change))
        routes.add_post('/v1/changes', guard(Role.operate, self._propose))
        return application

    async def start(self) -> None:
        """Read the store, listen for controllers and operators."""
        await self._replier.start()
        self._tasks.start(self._origin.run())
        await super().start()

    async def stop(self, exception: Exception | None = None) -> Any:
        """Stop listening, then polling."""
        await super().stop(exception)
        await self._tasks.stop()
        await self._replier.stop()
        await self._platform.close()

    def _register(self) -> Handlers:
        handlers = Handlers()
        handlers.register(FetchChanges)(self.feed.answer)
        handlers.register(FetchHosts)(self._list_hosts)
        register_relay(handlers, self._platform)
        return handlers

    async def _list_hosts(self, question: FetchHosts) -> Body:
        hosts = await self._platform.list_hosts()
        if isinstance(hosts, Err):
            return Refusal(hosts.err_value.code, hosts.err_value.describe())
        return HostList(hosts.ok_value)

    def _guard(
        self,
        needed: Role,
        handler: _Handler,
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def authorize(request: web.Request) -> web.Response:
            operator = self._authorize(request, needed)
            if isinstance(operator, Err):
                error = operator.err_value
                is_unknown = isinstance(error, UnknownOperatorError)
                status = (
                    _STATUS_UNAUTHORIZED if is_unknown else _STATUS_FORBIDDEN
                )
                return _respond_error(error, status)
            return await handler(request, operator.ok_value)

        return authorize

    def _authorize(
        self,
        request: web.Request,
        needed: Role,
    ) -> Result[Operator, OperatorError]:
        key = request.headers.get('Authorization', '').removeprefix(_BEARER)
        rows = self.feed.configuration.tables.select(Operator)
        if not rows and self._settings.api.bootstrap_digest:
            digest = self._settings.api.bootstrap_digest
            rows = (Operator(_BOOTSTRAP_NAME, Role.administer, digest),)
        return Operators(rows).authorize(key, needed)

    async def _show_status(
        self,
        request: web.Request,
        operator: Operator,
    ) -> web.Response:
        age = self.feed.measure_age()
        return json_response(
            StatusDocument(
                host=self._settings.host.name,
                revision=self.feed.configuration.revision,
                evidence_age_s=None if age == float('inf') else age,
            ),
        )

    async def _show_rows(
        self,
        request: web.Request,
        operator: Operator,
    ) -> web.Response:
        await self._origin.poll()
        held = self.feed.configuration
        rows = tuple(
            RowDocument(table, name, encode_row(row))
            for table, named in sorted(held.tables.rows.items())
            for name, row in sorted(named.items())
        )
        return json_response(
            ConfigurationDocument(held.revision, held.digest, rows),
        )

    async def _show_changes(
        self,
        request: web.Request,
        operator: Operator,
    ) -> web.Response:
        after = request.query.get('after', '0')
        if not after.isdecimal():
            document = ErrorDocument('bad-request', 'after: a whole number')
            return json_response(document, _STATUS_BAD_REQUEST)
        changes = await self._repository.read_changes(int(after))
        if isinstance(changes, Err):
            return _respond_error(changes.err_value, _STATUS_UNAVAILABLE)
        return json_response(HistoryDocument(changes.ok_value))

    async def _show_change(
        self,
        request: web.Request,
        operator: Operator,
    ) -> web.Response:
        change_id = request.match_info['id']
        change = await self._repository.find_change(change_id)
        if isinstance(change, Err):
            return _respond_error(change.err_value, _STATUS_UNAVAILABLE)
        if change.ok_value is None:
            document = ErrorDocument('not-accepted', 'no change has this id')
            return json_response(document, _STATUS_NOT_FOUND)
        return _respond_accepted(change.ok_value)

    async def _propose(
        self,
        request: web.Request,
        operator: Operator,
    ) -> web.Response:
        body = await request.read()
        try:
            document = msgspec.json.decode(body, type=ChangeDocument)
        except msgspec.DecodeError as error:
            bad = ErrorDocument('bad-request', str(error))
            return json_response(bad, _STATUS_BAD_REQUEST)
        proposal = ChangeRequest(
            change_id=document.change_id,
            expected=document.expected,
            author=operator.name,
            reason=document.reason,
            edits=document.edits,
        )
        await self._origin.poll()
        written = await self._repository.propose(
            proposal,
            self.feed.configuration,
        )
        if isinstance(written, Ok):
            await self._origin.poll()
            return _respond_accepted(written.ok_value)
        return _respond_error(
            written.err_value,
            _find_status(written.err_value),
        )


def _find_status(error: ProposalError) -> int:
    if isinstance(error, InvalidChangeError):
        return _STATUS_BAD_REQUEST
    if isinstance(error, RevisionConflictError):
        return _STATUS_CONFLICT
    return _STATUS_UNAVAILABLE


def _respond_accepted(change: Change) -> web.Response:
    return json_response(
        AcceptedDocument(change.revision, change.change_id, change.digest),
    )


def _respond_error(error: CrocusError, status: int) -> web.Response:
    faults: tuple[str, ...] = ()
    if isinstance(error, InvalidChangeError):
        faults = tuple(str(fault) for fault in error.faults)
    document = ErrorDocument(error.code, error.describe(), faults)
    return json_response(document, status)
