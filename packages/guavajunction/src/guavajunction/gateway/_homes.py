"""Decides in which regions a request may run.

Designed for: fleets over a few regions, in which the routes of some hosts and the
customers of some contracts may not leave theirs, while servers, data centres and whole
regions fail. A region is then never replaced by another one: the request is refused.

Homes are the names of regions; None stands for no restriction, and an empty set allows
no region.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ._catalogue import Customer, Route

Homes = frozenset[str] | None


class Regions:
    """The regions of the data centres, from the settings of the deployment."""

    def __init__(self, by_data_centre: Mapping[str, str] | None = None) -> None:
        self._by_data_centre = dict(by_data_centre or {})

    def region_of(self, data_centre: str | None) -> str | None:
        """Return the region of a data centre, or None if it is unknown."""
        return self._by_data_centre.get(data_centre or "")

    def are_home(self, data_centre: str, homes: Homes) -> bool:
        """Return whether a data centre is in one of the homes.

        One without a known region is in no home.
        """
        return homes is None or self.region_of(data_centre) in homes


def homes_of(route: Route, customer: Customer | None) -> Homes:
    """Return the homes of a request: those of its route and of its customer."""
    restrictions = [route.homes]
    if customer is not None:
        restrictions.append(customer.homes)
    return _all_of(restrictions)


def homes_of_host(routes: Iterable[Route]) -> Homes:
    """Return where the callers of a host should be directed.

    Args:
        routes: All routes of the host.

    Returns:
        The homes that all routes have, or those of any if there are none; None if a
        route has no homes, or there is no route.
    """
    homes = [route.homes for route in routes]
    if not homes or not all(homes):
        return None
    return _all_of(homes) or frozenset().union(*homes)


def _all_of(restrictions: Iterable[frozenset[str]]) -> Homes:
    named = [homes for homes in restrictions if homes]
    return frozenset.intersection(*named) if named else None
