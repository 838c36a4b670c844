"""Tests of the sizes of the kernel's buffers."""

from __future__ import annotations

import pytest

from guavajunction.memory import KernelBuffers

MB = 1024 * 1024


class TestKernelBuffers:
    """The buffers of all connections stay within their share of the machine."""

    @pytest.mark.parametrize(
        ("memory_mb", "connections"), [(160, 948), (300, 2_574), (552, 6_633)]
    )
    def test_full_buffers_stay_within_their_share(self, memory_mb, connections):
        buffers = KernelBuffers(memory_mb * MB, connections)
        sizes = [buffers.size_for(number + 1) for number in range(connections)]
        held = sum(sizes) * KernelBuffers.OVERHEAD
        assert held <= memory_mb * MB * KernelBuffers.SHARE
        assert min(sizes) == buffers.least >= KernelBuffers.MIN_BYTES

    def test_few_connections_have_buffers_of_the_usual_size(self):
        buffers = KernelBuffers(160 * MB, 948)
        assert buffers.size_for(100) == KernelBuffers.USUAL_BYTES

    @pytest.mark.parametrize("bounds", [(None, 948), (160 * MB, None)])
    def test_machine_without_limits_has_buffers_of_the_usual_size(self, bounds):
        buffers = KernelBuffers(*bounds)
        assert buffers.size_for(10_000) == buffers.least == KernelBuffers.USUAL_BYTES
