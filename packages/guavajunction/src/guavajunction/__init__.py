"""Domain library of the guavajunction serving system.

Each subpackage is one aggregate: its public module names what other parts may
use, and its private modules hold the rules.
"""

from __future__ import annotations

__version__ = "0.1.0"
