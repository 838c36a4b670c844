"""Stand-ins of the review's cases: clients, runners, the store and the launcher."""

from __future__ import annotations
