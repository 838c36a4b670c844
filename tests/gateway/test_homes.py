"""Tests of requests that may run in some regions only."""

from __future__ import annotations

import asyncio

import pytest

from fakes_gateway import (
    BOOKINGS,
    FakeAnswer,
    FakeGateway,
    backend,
    catalogue,
    customer,
    route,
)
from guavajunction.errors import NoReplica
from guavajunction.gateway import Regions, RequestKind
from guavajunction.gateway._homes import homes_of, homes_of_host

REGIONS = Regions({"a": "north", "b": "north", "z": "south"})
NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})
BOTH = NORTH | SOUTH


def look(homes=frozenset(), **changes):
    return route(
        "look", RequestKind.SAFE, BOOKINGS, max_attempts=3, homes=homes, **changes
    )


def fleet_of(*places, homes=frozenset(), of_customer=frozenset()):
    """Return a gateway with a plain server in each data centre."""
    document = catalogue(routes=(look(homes),))
    document = document._replace(
        customers=tuple(c._replace(homes=of_customer) for c in document.customers)
    )
    backends = [
        backend(f"{place}{n}", BOOKINGS, data_centre=place)
        for n, place in enumerate(places)
    ]
    fleet = FakeGateway(*backends, document=document)
    fleet.queue.regions = REGIONS
    return fleet


class TestHomes:
    """Every restriction applies, and an empty list is none."""

    @pytest.mark.parametrize(
        ("of_route", "of_customer", "expected"),
        [
            ((), (), None),
            (NORTH, (), NORTH),
            ((), SOUTH, SOUTH),
            (BOTH, SOUTH, SOUTH),
            (NORTH, SOUTH, frozenset()),
        ],
    )
    def test_route_and_customer_restrict_together(
        self, of_route, of_customer, expected
    ):
        owner = customer("c", ["k"], homes=frozenset(of_customer))
        assert homes_of(look(frozenset(of_route)), owner) == expected

    def test_unknown_region_is_no_home(self):
        assert REGIONS.are_home("elsewhere", None)
        assert not REGIONS.are_home("elsewhere", NORTH)
        assert not REGIONS.are_home("a", frozenset())

    @pytest.mark.parametrize(
        ("homes", "expected"),
        [
            ((), None),
            ((NORTH, frozenset()), None),
            ((NORTH, BOTH), NORTH),
            ((NORTH, SOUTH), BOTH),
        ],
    )
    def test_host_is_directed_where_all_of_its_routes_may_run(self, homes, expected):
        assert homes_of_host([look(one) for one in homes]) == expected


class TestRequests:
    """A request runs in its homes or not at all."""

    async def test_first_sends_and_retries_stay_in_the_homes(self):
        fleet = fleet_of("a", "z", "b", "z", homes=NORTH)
        fleet.caller.script = [FakeAnswer(500) for _ in range(2)]
        for _ in range(10):
            await fleet.serve("/look/1")
        assert {sent.backend for sent in fleet.caller.sent} == {"a0", "b2"}

    async def test_homes_of_the_customer_restrict_as_well(self):
        fleet = fleet_of("a", "z", homes=BOTH, of_customer=SOUTH)
        for _ in range(5):
            await fleet.serve("/look/1")
        assert {sent.backend for sent in fleet.caller.sent} == {"z1"}

    @pytest.mark.parametrize("homes", [frozenset({"west"}), SOUTH])
    async def test_request_without_a_server_in_its_homes_is_refused_at_once(
        self, homes
    ):
        fleet = fleet_of("a", "elsewhere", homes=homes)
        with pytest.raises(NoReplica) as caught:
            await asyncio.wait_for(fleet.serve("/look/1"), 1.0)
        assert caught.value.not_run == "true"
        assert not fleet.caller.sent

    async def test_evacuated_homes_are_not_left(self):
        fleet = fleet_of("a", "z", homes=NORTH)
        fleet.registry.evacuations.begin("a")
        with pytest.raises(NoReplica) as caught:
            await fleet.serve("/look/1", seconds=1.0)
        assert caught.value.retry_after
        assert not fleet.caller.sent

    async def test_request_without_capacity_at_home_does_not_block_others(self):
        """Guards against sharing the result for one target with other homes."""
        fleet = fleet_of("a", "z")
        routes = (look(NORTH), look(SOUTH, prefix="/south/"))
        document = catalogue(routes=routes)._replace(version=9)
        fleet.gateway.configure(type(fleet.gateway.routes)(document))
        for name in ("a0", "z1"):
            for _ in range(100):
                fleet.loads.begin(name, None)
        held = asyncio.ensure_future(fleet.serve("/look/1"))
        await asyncio.sleep(0)
        served = asyncio.ensure_future(fleet.serve("/south/1"))
        await asyncio.sleep(0)
        for _ in range(100):
            fleet.loads.end("z1", None, prompt_pending=False)
        fleet.queue.schedule_dispatch()
        assert (await asyncio.wait_for(served, 1.0)).finished
        assert [sent.backend for sent in fleet.caller.sent] == ["z1"]
        held.cancel()
