"""Tests of plans."""
