"""A small deployment of gateway processes on fake platform services."""

from __future__ import annotations

import pytest

from guavajunction_fakes.deployment import LocalDeployment

PORTS = [18221, 18224, 18220, 17600]
"""Front, readiness, directory and peer port. Deployments use different addresses, so
they can share the port numbers."""


@pytest.fixture
async def deployment(tmp_path):
    async with LocalDeployment(tmp_path, ports=PORTS) as running:
        yield running
