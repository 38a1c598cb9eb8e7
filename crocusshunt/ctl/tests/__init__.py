"""Tests of the ctl package."""
