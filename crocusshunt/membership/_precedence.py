"""Precedence between two records of the same member."""

from hashlib import blake2b

import msgspec

from crocusshunt.messages import Member, MemberStatus
from crocusshunt.store import HostEntry, HostState

_DIGEST_BYTES = 8


def merge_members(current: Member, received: Member) -> Member:
    """Return the record that takes precedence, in whatever order they came.

    A higher incarnation wins, since only the host itself raises it. Within
    one incarnation leaving wins over staying, then the worse status. A gateway
    URL that the winning record lacks is taken from the other one.

    :param current: the record in the table.
    :param received: the record of the same host that another host sent.

    >>> current = Member('h1', 'addis', 'a', '', 'tcp://10.0.0.1:1', 3)
    >>> dead = msgspec.structs.replace(current, status=MemberStatus.dead)
    >>> merge_members(current, dead).status.name
    'dead'
    >>> again = msgspec.structs.replace(current, incarnation=4)
    >>> merge_members(dead, again).status.name
    'alive'
    """
    winner = max(current, received, key=_precedence_key)
    gateway = winner.gateway or current.gateway or received.gateway
    if gateway == winner.gateway:
        return winner
    return msgspec.structs.replace(winner, gateway=gateway)


def digest_member(member: Member) -> int:
    """Return the digest of a record; digests of a table combine by XOR."""
    fields = '\0'.join(str(part) for part in _precedence_key(member))
    text = f'{member.name}\0{fields}'.encode()
    digest = blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big')


def create_member(entry: HostEntry) -> Member:
    """Return the member that an entry of the platform's list describes."""
    return Member(
        name=entry.name,
        region=entry.region,
        failure_domain=entry.failure_domain,
        gateway=entry.gateway,
        controller=entry.controller,
        is_leaving=entry.state is HostState.leaving,
    )


def create_entry(member: Member) -> HostEntry:
    """Return the entry that describes a member to other processes."""
    state = HostState.leaving if member.is_leaving else HostState.live
    return HostEntry(
        member.name,
        member.region,
        member.failure_domain,
        member.gateway,
        member.controller,
        state,
    )


def _precedence_key(member: Member) -> tuple[int, bool, MemberStatus, str, str]:
    return (
        member.incarnation,
        member.is_leaving,
        member.status,
        member.controller,
        member.gateway,
    )
