"""Tests of the keys package."""
