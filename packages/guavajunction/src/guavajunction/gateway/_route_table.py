"""Finds the route and the customer of a request."""

from __future__ import annotations

from collections import defaultdict

from guavajunction.errors import KeyRefused, UnknownRoute

from ._catalogue import Catalogue, Customer, Route


class RouteTable:
    """Look-ups over one version of the configuration."""

    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        """The version that the look-ups follow."""
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
        """Return the route with the longest prefix that begins the path.

        Raises:
            UnknownRoute: The host has no such route.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        raise UnknownRoute(f"no route of host {host!r} begins path {path!r}")

    def customer_of(self, route: Route, key: str | None) -> Customer | None:
        """Return the customer that a key belongs to.

        Returns:
            None if the route is open to all, or no customers are configured, and no
            known key came.

        Raises:
            KeyRefused: The route needs a key and this is none of a customer's.
        """
        customer = self._by_key.get(key) if key else None
        if customer is None and self.catalogue.customers and not route.open_to_all:
            raise KeyRefused("the key belongs to no customer")
        return customer
