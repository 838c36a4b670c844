"""Tests on a fleet of real processes."""
