"""Writes the settings files and secret files of entry instances."""

from __future__ import annotations

import configparser
import secrets
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

import zmq

from ._ports import HOST


class SecretFiles(NamedTuple):
    """Secret files that all entry instances of a fleet share."""

    peer_keys: Path
    pepper: Path
    operator_token: Path


class PlatformUrls(NamedTuple):
    """URLs of the platform stand-ins."""

    table: str
    objects: str
    weights: str
    instances: str


class EntryPlan(NamedTuple):
    """Name, data centre and ports of one entry instance."""

    name: str
    data_centre: str
    http_port: int
    peer_port: int

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{HOST}:{self.http_port}"


def write_secrets(folder: Path) -> SecretFiles:
    """Generate the secrets of a fleet and write them to a folder."""
    public, secret = zmq.curve_keypair()
    files = SecretFiles(*(folder / name for name in SecretFiles._fields))
    _write_secret(files.peer_keys, f"{public.decode()}\n{secret.decode()}\n")
    _write_secret(files.pepper, secrets.token_hex(32))
    _write_secret(files.operator_token, secrets.token_hex(24))
    return files


def write_settings(
    path: Path,
    entry: EntryPlan,
    platform: PlatformUrls,
    files: SecretFiles,
    overrides: Mapping[str, Mapping[str, str]],
) -> None:
    """Write the settings file of one entry instance.

    Args:
        path: File to write.
        entry: The instance.
        platform: URLs of the platform stand-ins.
        files: Secret files of the fleet.
        overrides: Additional or replacing values by section and key.
    """
    sections = {
        "instance": {
            "name": entry.name,
            "data_centre": entry.data_centre,
            "address": HOST,
            "http_port": str(entry.http_port),
            "peer_port": str(entry.peer_port),
        },
        "platform": {
            "table_url": platform.table,
            "object_url": platform.objects,
            "instances_url": platform.instances,
        },
        "secrets": {
            "peer_keys_file": str(files.peer_keys),
            "pepper_file": str(files.pepper),
            "operator_token_file": str(files.operator_token),
        },
    }
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    for section, values in sections.items():
        parser[section] = values
    for section, values in overrides.items():
        if not parser.has_section(section):
            parser.add_section(section)
        parser[section].update(values)
    with path.open("w", encoding="utf-8") as file:
        parser.write(file)


def _write_secret(path: Path, text: str) -> None:
    path.touch(mode=0o600)
    path.write_text(text, encoding="utf-8")
