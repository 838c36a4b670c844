"""Finds the route and the customer of a request."""

from __future__ import annotations

from collections import defaultdict

from guavajunction.errors import KeyRefused, UnknownRoute

from ._catalogue import Catalogue, Customer, Route
from ._homes import Homes, homes_of_host


class RouteTable:
    """Indexes the routes and keys of one configuration version."""

    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        """The indexed configuration version."""
        self._by_host: dict[str, list[Route]] = defaultdict(list)
        for route in catalogue.routes:
            self._by_host[route.host.lower()].append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self._by_key = {
            key: customer for customer in catalogue.customers for key in customer.keys
        }
        self.customers = {c.name: c for c in catalogue.customers}
        """Customers by name."""

    def find(self, host: str, path: str) -> Route:
        """Return the route with the longest prefix that matches the path.

        Raises:
            UnknownRoute: The host has no matching route.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        raise UnknownRoute(f"no route of host {host!r} begins path {path!r}")

    def homes_of_host(self, host: str) -> Homes:
        """Return where callers of a host should be directed; None for anywhere."""
        return homes_of_host(self._by_host.get(host.lower(), ()))

    def customer_of(self, route: Route, key: str | None) -> Customer | None:
        """Return the customer that a key belongs to.

        Returns:
            None for an unknown or missing key if the route is open to all, or no
            customers are configured.

        Raises:
            KeyRefused: The route requires the key of a customer.
        """
        customer = self._by_key.get(key) if key else None
        if customer is None and self.catalogue.customers and not route.open_to_all:
            raise KeyRefused("the key belongs to no customer")
        return customer
