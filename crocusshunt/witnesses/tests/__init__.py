"""Tests of the witness protocol."""
