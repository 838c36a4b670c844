"""Domain library of the guavajunction serving system.

Each subpackage is one aggregate. Its `__init__` module exports the public names, and
its private modules implement them.
"""

from __future__ import annotations

__version__ = "0.1.0"
