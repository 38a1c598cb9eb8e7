"""Tests of standin."""
