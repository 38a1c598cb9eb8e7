"""Settings of the stand-ins."""

from dataclasses import dataclass

from crocusshunt.settings import HostAddress, Port


@dataclass(frozen=True, slots=True)
class StandinSection:
    """Addresses of the stand-ins.

    :param declarations: directory that declares the backend servers; empty
        to serve the platform alone.
    """

    address: HostAddress
    port: Port
    declarations: str = ''


@dataclass(frozen=True, slots=True)
class StandinSettings:
    """Sections of the stand-ins' settings file."""

    standin: StandinSection
