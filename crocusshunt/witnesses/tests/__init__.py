"""Tests of the witnesses' decisions."""
