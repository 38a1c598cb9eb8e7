"""Settings of the control process."""

from dataclasses import dataclass

from crocusshunt.core import HostIdentity
from crocusshunt.settings import TcpAddress


@dataclass(frozen=True, slots=True)
class ControllerSection:
    """Addresses of the controller.

    :param listen: ``tcp://ip:port`` for processes of this host and peers.
    :param sources: addresses asked for changes, in order of preference.
    """

    listen: TcpAddress
    sources: tuple[TcpAddress, ...]


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """Sections of the controller's settings file."""

    host: HostIdentity
    controller: ControllerSection
