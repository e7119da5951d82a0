"""Find the route and the sender of a forwarded request, and check its key."""

from lycheepost.callers.forwardcalls import route_table
from lycheepost.callers.forwarddeps import ForwardDeps, ForwardRequest
from lycheepost.callers.forwarderrors import (
    configuration_behind,
    from_route_fault,
    key_unconfirmed,
)
from lycheepost.decide.freshness import may_refuse, may_trust_key
from lycheepost.decide.routes import RouteFault, RouteMatch, match_route


def identify(deps: ForwardDeps, request: ForwardRequest) -> RouteMatch:
    """Return a request's route and sender under the current configuration.

    Raises:
        CallerError: No route matches, the key is unknown or cannot be trusted now, or
            the configuration is too old to tell, or older than the one by which a peer
            has found the route.
    """
    table = route_table(deps)
    if request.relayed is not None and request.relayed.configuration > table.version:
        raise configuration_behind()
    route_match = match_route(table, request.host, request.path, request.key)
    rule, confirmed_seconds = deps.key_rule(), deps.routing.confirmed_seconds
    now_seconds = deps.clock.now_seconds()
    if isinstance(route_match, RouteFault):
        if not may_refuse(rule, confirmed_seconds, now_seconds):
            raise key_unconfirmed()
        raise from_route_fault(route_match)
    if route_match.is_keyed and not may_trust_key(rule, confirmed_seconds, now_seconds):
        raise key_unconfirmed()
    return route_match
