"""Find the route and the sender of a forwarded request, and check its key."""

from lycheepost.callers.forwardcalls import route_table
from lycheepost.callers.forwarddeps import ForwardDeps, ForwardRequest
from lycheepost.callers.forwarderrors import from_route_fault, key_unconfirmed
from lycheepost.decide.freshness import may_trust_key
from lycheepost.decide.routes import RouteFault, RouteMatch, match_route


def identify(deps: ForwardDeps, request: ForwardRequest) -> RouteMatch:
    """Return a request's route and sender under the current configuration.

    Raises:
        CallerError: No route matches, or the key is unknown or cannot be trusted now.
    """
    table = route_table(deps)
    route_match = match_route(table, request.host, request.path, request.key)
    if isinstance(route_match, RouteFault):
        _check_fresh(deps, route_match is RouteFault.UNKNOWN_KEY)
        raise from_route_fault(route_match)
    _check_fresh(deps, route_match.is_keyed)
    return route_match


def _check_fresh(deps: ForwardDeps, needs_key: bool) -> None:
    """Refuse to decide by a key while the configuration may be outdated."""
    if not needs_key:
        return
    now_seconds = deps.clock.now_seconds()
    if not may_trust_key(deps.key_rule(), deps.routing.confirmed_seconds, now_seconds):
        raise key_unconfirmed()
