"""Settings of the stand-ins."""

from dataclasses import dataclass

from crocusshunt.settings import HostAddress, Port


@dataclass(frozen=True, slots=True)
class StandinSection:
    """Addresses of the stand-ins.

    :param address: address that the platform listens on.
    :param port: port that the platform listens on.
    :param declarations: directory of the tables that declare the backend
        servers; empty to serve the platform alone.
    """

    address: HostAddress
    port: Port
    declarations: str = ''


@dataclass(frozen=True, slots=True)
class StandinSettings:
    """Sections of the settings file of the stand-ins."""

    standin: StandinSection
