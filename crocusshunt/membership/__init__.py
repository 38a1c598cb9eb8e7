"""Which hosts are there and which of them live."""

from crocusshunt.membership._hosts import HostTable

__all__ = ('HostTable',)
