"""Messages of the membership protocol, which tracks live hosts."""

from enum import IntEnum

import msgspec

from crocusshunt.messages._bodies import Body, register_body
from crocusshunt.store import HostEntry


class MemberStatus(IntEnum):
    """State assumed for a host, in ascending order of precedence.

    ``unreachable`` is set by a host of another region, which may itself be
    the one that is cut off; ``dead`` by a host of the same region.
    """

    alive = 0
    suspect = 1
    unreachable = 2
    dead = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Membership record of one host.

    :param gateway: base URL of its gateway, empty if not known.
    :param controller: address of its controller.
    :param incarnation: raised by the host at each restart and whenever it
        refutes a wrong status; 0 for a host that is known only from the
        platform's list.
    :param is_leaving: True once the host announced a planned stop; stays
        set for the rest of the incarnation.
    :param status: state assumed for the host.
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
    """Requests the list of known hosts."""


@register_body('host-list')
class HostList(Body, frozen=True):
    """Returns the hosts that the answering process knows.

    :param suspects: names of listed hosts that may have failed.
    """

    hosts: tuple[HostEntry, ...]
    suspects: tuple[str, ...] = ()


@register_body('probe')
class Probe(Body, frozen=True):
    """Checks that a host is alive.

    :param digest: digest of the sender's whole member table.
    :param news: recently changed members, piggybacked on the probe.
    """

    digest: int
    news: tuple[Member, ...] = ()


@register_body('probe-answer')
class ProbeAnswer(Body, frozen=True):
    """Confirms that the sender is alive.

    :param digest: digest of the sender's whole member table; if it differs
        from the prober's, the prober fetches the differing members.
    :param news: recently changed members, piggybacked on the answer.
    """

    digest: int
    news: tuple[Member, ...] = ()


@register_body('relay-probe')
class RelayProbe(Body, frozen=True):
    """Requests an indirect probe of a host that the sender cannot reach.

    :param address: controller address of the host to probe.
    """

    address: str


@register_body('fetch-members')
class FetchMembers(Body, frozen=True):
    """Requests the members of the table partitions that differ.

    :param digests: digest of each partition of the sender's member table.
    """

    digests: tuple[int, ...]


@register_body('member-list')
class MemberList(Body, frozen=True):
    """Returns all members of the partitions that differ."""

    members: tuple[Member, ...]
