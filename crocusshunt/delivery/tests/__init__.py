"""Tests of the delivery package."""
