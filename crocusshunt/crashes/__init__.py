"""Requests under which backend servers crash, recognized when they return."""

from crocusshunt.crashes._fingerprints import compute_fingerprint

__all__ = ('compute_fingerprint',)
