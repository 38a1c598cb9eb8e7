"""Tests of the api package."""
