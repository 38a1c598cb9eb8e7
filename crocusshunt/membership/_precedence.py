"""Which of two beliefs about a host holds."""

from hashlib import blake2b

import msgspec

from crocusshunt.messages import Member, MemberStatus
from crocusshunt.store import HostEntry, HostState

_DIGEST_BYTES = 8


def merge_members(held: Member, heard: Member) -> Member:
    """Return the belief that holds, whatever the order of arrival.

    A higher incarnation wins, since only the host itself raises it. Within
    one incarnation leaving wins over staying, then the worse status.

    :param held: what was believed.
    :param heard: what was heard of the same host.

    >>> held = Member('h1', 'addis', 'a', '', 'tcp://10.0.0.1:1', 3)
    >>> dead = msgspec.structs.replace(held, status=MemberStatus.dead)
    >>> merge_members(held, dead).status.name
    'dead'
    >>> again = msgspec.structs.replace(held, incarnation=4)
    >>> merge_members(dead, again).status.name
    'alive'
    """
    winner = max(held, heard, key=_rank)
    gateway = winner.gateway or held.gateway or heard.gateway
    if gateway == winner.gateway:
        return winner
    return msgspec.structs.replace(winner, gateway=gateway)


def digest_member(member: Member) -> int:
    """Return a digest of a belief; digests of a table combine by XOR."""
    beliefs = '\0'.join(str(part) for part in _rank(member))
    text = f'{member.name}\0{beliefs}'.encode()
    digest = blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def create_member(entry: HostEntry) -> Member:
    """Return what an entry of the platform's list says of a host."""
    return Member(
        name=entry.name,
        region=entry.region,
        failure_domain=entry.failure_domain,
        gateway=entry.gateway,
        controller=entry.controller,
        is_leaving=entry.state is HostState.leaving,
    )


def create_entry(member: Member) -> HostEntry:
    """Return a member as an entry for the other processes."""
    state = HostState.leaving if member.is_leaving else HostState.live
    return HostEntry(
        member.name,
        member.region,
        member.failure_domain,
        member.gateway,
        member.controller,
        state,
    )


def _rank(member: Member) -> tuple[int, bool, MemberStatus, str, str]:
    return (
        member.incarnation,
        member.is_leaving,
        member.status,
        member.controller,
        member.gateway,
    )
