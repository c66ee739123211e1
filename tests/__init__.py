"""Tests, grouped by purpose."""
