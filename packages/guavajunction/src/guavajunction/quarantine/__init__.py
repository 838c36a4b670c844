"""Keeps requests that crash backend servers away from them."""

from __future__ import annotations

from ._blame import BlamedParts, JoinedEvidence, find_blamed
from ._evidence import BackendId, CrashReport, Evidence, SoundPart
from ._fingerprint import RequestFingerprint
from ._part_quarantine import PartQuarantine

__all__ = [
    "BackendId",
    "BlamedParts",
    "CrashReport",
    "Evidence",
    "JoinedEvidence",
    "PartQuarantine",
    "RequestFingerprint",
    "SoundPart",
    "find_blamed",
]
