"""Leases of hosts' parts of a rate to other hosts.

Each host has an equal part of a customer's rate. It uses it itself, or lends
fractions of it: to the keeper, the host with the bucket of their region, or to
hosts whose demand is higher. Each fraction has one user at any time, however
late messages arrive and whoever hears whom:

* The borrower puts its clock's time, a stamp, into its messages. A lease names
  the last stamp that the lender received, and ends for the borrower a fixed
  time after that stamp.
* For the lender, the lease ends the same time after it was given, which is
  later.
* A newer lease replaces those before it. Until the borrower says that it has
  the newer one, or they have ended, the lender counts the largest of them.
  Where several messages tell the leases of a version, the borrower says so
  once it has all of these; a lease that none of them names holds until then.
* A borrower that keeps more buckets than a message has space for tells them by
  ranges of names, so that a name that is missing is never one that is kept.
* A borrower that stops to keep a customer's bucket drops the leases, says so,
  and accepts only leases with later stamps should it keep the bucket again.
* A host that was started again does not know what it lent before. Each host
  that hears of the start drops the leases of earlier ones, says so, and accepts
  only leases with later stamps from that host. Once all others have said so, or
  the leases have ended, the host that started has its parts.

Both clocks also count the time in which their machine is suspended.

Reference: C. Gray, D. Cheriton, "Leases: an efficient fault-tolerant mechanism
for distributed file cache consistency", SOSP 1989.
"""

from typing import NamedTuple

# Three heartbeats and a margin: a stamp is up to one heartbeat old when a lease
# names it, the next lease comes a heartbeat later, and one may be lost.
LEASE_S = 3.5
NO_STAMP: float = 0


class LeaseVersion(NamedTuple):
    """Order of the leases from one host to another.

    :param stamp: time of the borrower's clock that the lease names.
    :param number: order of those with the same stamp; 0 for a lease of a whole
        part, which is never changed under its stamp.
    """

    stamp: float
    number: int = 0


NO_VERSION = LeaseVersion(NO_STAMP)


class LeasePart(NamedTuple):
    """Place of a message among those that tell all leases of a version.

    :param parts: how many these are.
    """

    number: int = 0
    parts: int = 1


WHOLE = LeasePart()


class NameRange(NamedTuple):
    """Customers whose names lie in a range.

    :param until: first name behind it, empty if it has no end.

    >>> NameRange('b', 'd').has('b'), NameRange('b', 'd').has('d')
    (True, False)
    """

    first: str = ''
    until: str = ''

    def has(self, name: str) -> bool:
        """Tell whether a name lies in the range."""
        return self.first <= name and (not self.until or name < self.until)


ALL_NAMES = NameRange()
