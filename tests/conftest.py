"""Command-line options of the test suite."""

from __future__ import annotations


def pytest_addoption(parser):
    """Add the option that rewrites golden files."""
    parser.addoption(
        "--update-golden",
        action="store_true",
        help="rewrite the golden files of whole sessions; review the diff afterwards",
    )
