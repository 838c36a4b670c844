"""The `guavajunction` command: runs the daemon of one entry instance."""

from __future__ import annotations

import sys

import aiomisc
from absl import flags

from guavajunction import __version__
from guavajunction.errors import SettingsInvalid
from guavajunction.settings import Settings, read_settings

from ._daemon_service import DaemonService
from .log_output import open_log

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

USAGE = "usage: guavajunction --settings FILE [--check]"

_SETTINGS = flags.DEFINE_string("settings", None, "Settings file (INI).")
_CHECK = flags.DEFINE_bool("check", False, "Check the settings, start nothing.")
_HELP = flags.DEFINE_bool("help", False, "Print this help.", short_name="h")
_VERSION = flags.DEFINE_bool("version", False, "Print the version.")


def main(argv: list[str]) -> int:
    """Run the command.

    Args:
        argv: The program's name and the positional arguments.

    Returns:
        Exit status: 0 after a planned stop, 1 if the daemon failed, 2 if a flag or
        a setting is invalid.
    """
    if _HELP.value:
        print(USAGE, flags.FLAGS.module_help(__name__), sep="\n\n")
        return EXIT_OK
    if _VERSION.value:
        print(__version__)
        return EXIT_OK
    if len(argv) > 1 or not _SETTINGS.value:
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    try:
        settings = read_settings(_SETTINGS.value)
    except SettingsInvalid as exc:
        print(exc.message, file=sys.stderr)
        return EXIT_USAGE
    if _CHECK.value:
        print(f"{_SETTINGS.value}: settings are valid")
        return EXIT_OK
    return _serve(settings)


def _serve(settings: Settings) -> int:
    with open_log(settings.logging.destination):
        service = DaemonService(settings)
        with aiomisc.entrypoint(service, catch_signals=(), log_config=False) as loop:
            return loop.run_until_complete(service.finished())


def run_command() -> int:
    """Parse the command line, run the command and return its exit status."""
    try:
        argv = flags.FLAGS(sys.argv)
    except flags.Error as exc:
        print(f"guavajunction: {exc}", file=sys.stderr)
        return EXIT_USAGE
    return main(argv)
