"""Messages about the hosts of the system."""

from enum import IntEnum

import msgspec

from crocusshunt.messages._bodies import Body, register_body
from crocusshunt.store import HostEntry


class MemberStatus(IntEnum):
    """What is believed of a host, in order of precedence.

    ``unreachable`` is the verdict of another region, which may itself be the
    one that is cut off; ``dead`` that of a host in the same region.
    """

    alive = 0
    suspect = 1
    unreachable = 2
    dead = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """What is believed of one host.

    :param gateway: base URL of its gateway, empty if not known.
    :param controller: address of its controller.
    :param incarnation: grows with each restart and each refutation; 0 for
        what only the platform's list says.
    :param is_leaving: True once the host announced a planned stop; holds
        for the rest of the incarnation.
    """

    name: str
    region: str
    failure_domain: str
    gateway: str
    controller: str
    incarnation: int = 0
    is_leaving: bool = False
    status: MemberStatus = MemberStatus.alive


@register_body('fetch-hosts')
class FetchHosts(Body, frozen=True):
    """Asks for the hosts that the sender's controller knows."""


@register_body('host-list')
class HostList(Body, frozen=True):
    """Hosts, with the states that the answering process believes.

    :param suspects: names of listed hosts that may have failed.
    """

    hosts: tuple[HostEntry, ...]
    suspects: tuple[str, ...] = ()


@register_body('probe')
class Probe(Body, frozen=True):
    """Asks a host whether it is alive, and passes on news.

    :param digest: digest of all that the sender believes.
    """

    digest: int
    news: tuple[Member, ...] = ()


@register_body('probe-answer')
class ProbeAnswer(Body, frozen=True):
    """Says that the sender is alive, and passes on news.

    :param digest: digest of all that the sender believes.
    """

    digest: int
    news: tuple[Member, ...] = ()


@register_body('relay-probe')
class RelayProbe(Body, frozen=True):
    """Asks a host to probe another, which the sender does not reach.

    :param address: controller address of the host to probe.
    """

    address: str


@register_body('fetch-members')
class FetchMembers(Body, frozen=True):
    """Asks for the members of those parts that differ.

    :param digests: digest of each part of the sender's table.
    """

    digests: tuple[int, ...]


@register_body('member-list')
class MemberList(Body, frozen=True):
    """Members of the parts that differ."""

    members: tuple[Member, ...]
