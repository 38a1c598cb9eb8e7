"""All services and stand-ins of a deployment, as tasks of one process."""

import asyncio
import random
from dataclasses import dataclass, field, replace
from pathlib import Path

from result import Err

from crocusshunt.api import ApiSection, ApiService, ApiSettings
from crocusshunt.client import OperatorClient, Proposal
from crocusshunt.configuration import EditRequest, encode_row
from crocusshunt.controller import (
    ControllerSection,
    ControllerService,
    ControllerSettings,
)
from crocusshunt.core import Clock, HostIdentity, SystemClock
from crocusshunt.declarations import compare_tables, read_declarations
from crocusshunt.gateway import GatewaySection, GatewayService, GatewaySettings
from crocusshunt.keys import Key, create_key, digest_key
from crocusshunt.locator import LocatorSection, LocatorService, LocatorSettings
from crocusshunt.storeclient import PlatformSettings
from crocusshunt.routing import Customer, FailureDomain, Server, Tables
from crocusshunt.standin import BackendService, PlatformService, RunCounter
from crocusshunt.store import HostEntry
from crocusshunt.witnesses import Witness

_LOOPBACK = '127.0.0.1'
_ANY_PORT = 0
_ANSWER_LIFETIME_S = 1
_ANY_ADDRESS = f'tcp://{_LOOPBACK}:{_ANY_PORT}'
_OPERATOR_KEY_NAME = 'bootstrap'


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """What a fleet consists of.

    :param declarations: directory of the deployment's tables.
    :param seed: seed of the gateways' randomness.
    """

    declarations: Path
    seed: int = 1


@dataclass(frozen=True, slots=True)
class HostServices:
    """Services of one entry host; in production, separate processes."""

    identity: HostIdentity
    controller: ControllerService
    gateway: GatewayService
    locator: LocatorService

    async def stop(self) -> None:
        """Stop the services that callers reach, then the controller."""
        await self.locator.stop()
        await self.gateway.stop()
        await self.controller.stop()


@dataclass(slots=True)
class Fleet:
    """Services and stand-ins of a deployment in one process.

    :param settings: the deployment to run.
    :param clock: clock of all services.
    :param platform: stand-in of the platform, which stores the tables.
    :param operator_key: bootstrap key of the operators' interface.
    :param runs: counts the requests that the backend servers executed.
    :param apis: API services, one per failure domain.
    :param hosts: entry hosts, one per failure domain.
    :param backends: stand-ins of the backend servers.
    :param tables: declared tables, with the actual addresses of the services.
    :param keys: callers' keys by customer name.
    """

    settings: FleetSettings
    clock: Clock = field(default_factory=SystemClock)
    platform: PlatformService = field(
        default_factory=lambda: PlatformService(_LOOPBACK, _ANY_PORT),
    )
    operator_key: str = field(
        default_factory=lambda: create_key(_OPERATOR_KEY_NAME),
    )
    runs: RunCounter = field(default_factory=RunCounter)
    apis: list[ApiService] = field(default_factory=list)
    hosts: list[HostServices] = field(default_factory=list)
    backends: list[BackendService] = field(default_factory=list)
    tables: Tables = field(default_factory=Tables)
    keys: dict[str, str] = field(default_factory=dict)

    async def start(self) -> None:
        """Start the stand-ins, then the services, then apply the tables."""
        await self.platform.start()
        await self._start_backends()
        await self._start_apis()
        await self._start_hosts()
        await self._apply_tables()

    async def stop(self) -> None:
        """Stop the hosts, then the API services, then the stand-ins."""
        await asyncio.gather(*(host.stop() for host in self.hosts))
        for service in (*self.apis, *self.backends, self.platform):
            await service.stop()

    def create_client(self) -> OperatorClient:
        """Return a client of the operators' interface."""
        return OperatorClient(self.apis[0].url, self.operator_key)

    async def _start_backends(self) -> None:
        declared_tables = _read_tables(self.settings.declarations)
        servers: list[Server] = []
        for server in declared_tables.select(Server):
            backend = BackendService(server.name, _LOOPBACK, _ANY_PORT)
            backend.counter = self.runs
            await backend.start()
            self.backends.append(backend)
            address = f'{_LOOPBACK}:{backend.port}'
            servers.append(replace(server, address=address))
        self.tables = declared_tables.put(*servers)

    async def _start_apis(self) -> None:
        addresses: dict[str, str] = {}
        for domain in self.tables.select(FailureDomain):
            service = ApiService(
                ApiSettings(
                    HostIdentity(
                        f'{domain.name}-1',
                        domain.region,
                        domain.name,
                    ),
                    ApiSection(
                        _LOOPBACK,
                        _ANY_PORT,
                        _ANY_ADDRESS,
                        digest_key(self.operator_key),
                    ),
                    PlatformSettings(self.platform.url),
                ),
                self.clock,
            )
            await service.start()
            self.apis.append(service)
            addresses[domain.name] = service.address
        self.tables = self.tables.put(
            *(
                replace(witness, address=addresses[witness.failure_domain])
                for witness in self.tables.select(Witness)
            ),
        )

    async def _start_hosts(self) -> None:
        for position, domain in enumerate(self.tables.select(FailureDomain)):
            identity = HostIdentity(
                f'{domain.name}-1',
                domain.region,
                domain.name,
            )
            ordered = self.apis[position:] + self.apis[:position]
            sources = tuple(api.address for api in ordered)
            self.hosts.append(await self._start_host(identity, sources))
        self.platform.platform.hosts = tuple(
            _create_entry(host) for host in self.hosts
        )

    async def _start_host(
        self,
        identity: HostIdentity,
        sources: tuple[str, ...],
    ) -> HostServices:
        controller = ControllerService(
            ControllerSettings(
                identity,
                ControllerSection(_ANY_ADDRESS, sources),
            ),
            self.clock,
        )
        await controller.start()
        address = controller.replier.address
        gateway = GatewayService(
            GatewaySettings(
                identity,
                GatewaySection(
                    _LOOPBACK,
                    _ANY_PORT,
                    address,
                    answer_lifetime_s=_ANSWER_LIFETIME_S,
                ),
                PlatformSettings(self.platform.url),
            ),
            self.clock,
            random.Random(self.settings.seed),
        )
        await gateway.start()
        locator = LocatorService(
            LocatorSettings(
                identity,
                LocatorSection(
                    _LOOPBACK,
                    _ANY_PORT,
                    address,
                    _ANSWER_LIFETIME_S,
                ),
            ),
            self.clock,
        )
        await locator.start()
        return HostServices(identity, controller, gateway, locator)

    async def _apply_tables(self) -> None:
        rows: list[Key] = []
        for customer in self.tables.select(Customer):
            secret = create_key(customer.name)
            self.keys[customer.name] = secret
            rows.append(Key(customer.name, customer.name, digest_key(secret)))
        edits = compare_tables(Tables(), self.tables, self.tables.rows)
        key_edits = tuple(
            EditRequest('key', row.name, encode_row(row)) for row in rows
        )
        client = self.create_client()
        proposal = Proposal('demo-tables', 0, 'first tables', edits + key_edits)
        accepted = await client.propose(proposal)
        await client.close()
        accepted.expect('the API accepts the initial tables')


def _create_entry(host: HostServices) -> HostEntry:
    identity = host.identity
    return HostEntry(
        identity.name,
        identity.region,
        identity.failure_domain,
        host.gateway.url,
        host.controller.replier.address,
    )


def _read_tables(directory: Path) -> Tables:
    tables = read_declarations(directory)
    if isinstance(tables, Err):
        raise tables.err_value
    return tables.ok_value
