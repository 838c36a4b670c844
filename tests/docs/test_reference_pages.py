"""Tests that the reference pages match the code."""

from __future__ import annotations

import importlib.util
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent
_spec = importlib.util.spec_from_file_location(
    "reference_pages", ROOT / "tools" / "reference_pages.py"
)
pages = importlib.util.module_from_spec(_spec)
_spec.loader.exec_module(pages)


class TestReferencePages:
    """Generated pages are up to date, and links between pages have targets."""

    @pytest.mark.parametrize("name", sorted(pages.PAGES))
    def test_page_is_up_to_date(self, name):
        written = (ROOT / "docs" / "reference" / name).read_text()
        assert written == pages.PAGES[name](), "run `make docs`"

    def test_links_between_pages_exist(self):
        broken = [
            f"{page.relative_to(ROOT)}: {target}"
            for page in [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
            for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
            if not (page.parent / target).exists()
        ]
        assert not broken

    def test_every_log_event_is_declared_in_an_events_module(self):
        misplaced = [
            str(path.relative_to(ROOT))
            for path in (ROOT / "packages").rglob("*.py")
            if " = LogEvent(" in path.read_text() and path.name != "_events.py"
        ]
        assert not misplaced
