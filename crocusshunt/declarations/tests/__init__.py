"""Tests of the declarations package."""
