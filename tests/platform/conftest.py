"""A small deployment of the adapter for the tests that need real processes."""

from __future__ import annotations

import pytest

from guavajunction_fakes.deployment import LocalDeployment

PORTS = [18221, 18224, 18220, 17600]
"""Front, readiness, directory and peer port; each deployment has addresses of its
own."""


@pytest.fixture
async def deployment(tmp_path):
    async with LocalDeployment(tmp_path, ports=PORTS) as running:
        yield running
