"""Settings of one instance, read from an INI file and checked at start."""

from __future__ import annotations

from ._faults import SettingsFault
from ._model import (
    InstanceSettings,
    LoggingSettings,
    PlacementSettings,
    PlatformSettings,
    PolicySettings,
    SecretSettings,
    ServingSettings,
    Settings,
    TimingSettings,
)
from ._reader import read_settings

__all__ = [
    "InstanceSettings",
    "LoggingSettings",
    "PlacementSettings",
    "PlatformSettings",
    "PolicySettings",
    "SecretSettings",
    "ServingSettings",
    "Settings",
    "SettingsFault",
    "TimingSettings",
    "read_settings",
]
