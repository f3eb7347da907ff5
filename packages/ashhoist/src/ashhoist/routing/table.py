"""Finds the route of a request, by host and longest matching path prefix."""

from ..customers import CustomerTable
from .configuration import Route, ServingConfiguration


class RouteTable:
    """The routes of one configuration, indexed for lookup.

    Parameters
    ----------
    configuration : ServingConfiguration
        Provides the version, the routes and the customers.
    """

    def __init__(self, configuration: ServingConfiguration) -> None:
        self.configuration = configuration
        self.customers = CustomerTable(configuration.customers)
        self._by_prefix: dict[tuple[str, str], Route] = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request, or None.

        Parameters
        ----------
        host : str
            The value of the ``Host`` header.
        target : str
            The request target: path and query, or the absolute form.
        """
        name = _host_name(host)
        path = _path(target)
        end = path.rfind("/")
        while end >= 0:
            route = self._by_prefix.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _host_name(host: str) -> str:
    name, separator, port = host.strip().lower().rpartition(":")
    if separator and port.isdigit():
        return name
    return host.strip().lower()


def _path(target: str) -> str:
    path = target.partition("?")[0].partition("#")[0]
    if not path.startswith("/") and "://" in path:
        path = "/" + path.partition("://")[2].partition("/")[2]
    return path
