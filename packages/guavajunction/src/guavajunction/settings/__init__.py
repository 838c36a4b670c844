"""Settings of one instance, read from an INI file and checked at start."""

from __future__ import annotations

from ._faults import SettingsFault
from ._model import (
    Count,
    InstanceSettings,
    LoggingSettings,
    MachineSettings,
    PlacementSettings,
    PlatformSettings,
    PolicySettings,
    Seconds,
    SecretSettings,
    ServingSettings,
    Settings,
    TimingSettings,
)
from ._reader import read_sections, read_settings
from ._values import parse_choice

__all__ = [
    "Count",
    "InstanceSettings",
    "LoggingSettings",
    "MachineSettings",
    "PlacementSettings",
    "PlatformSettings",
    "PolicySettings",
    "Seconds",
    "SecretSettings",
    "ServingSettings",
    "Settings",
    "SettingsFault",
    "TimingSettings",
    "parse_choice",
    "read_sections",
    "read_settings",
]
