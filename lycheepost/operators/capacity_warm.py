"""Import stored KV into a target before it receives traffic.

The daemon that drives the change knows the most used prefixes of its own requests. For
each of them it asks a few targets with the same weights for the stored blocks and
passes them on. An engine refuses blocks of other weights, so nothing computed with
older weights can be imported. Importing is an optimization: a prefix that no target
holds any more is skipped, and the target computes it on request.
"""

import asyncio
import urllib.parse
from collections.abc import Callable

from returns.result import Result, Success

from lycheepost.core.errors import LycheepostError
from lycheepost.core.hashing import rendezvous_order
from lycheepost.core.ids import ModelId, TargetGroupId, WeightsVersion
from lycheepost.decide.hotprefixes import HotPrefix, HotPrefixes
from lycheepost.generated.configuration import Target, TargetDesiredState
from lycheepost.generated.engine import KvExport, KvImport, KvImportAnswer
from lycheepost.operators.capacity_records import held_version
from lycheepost.state.view import ConfigurationView
from lycheepost.targets.control import ControlClient

MAX_WARMED_PREFIXES = 32
"""Importing more would not end before the target's share is first increased."""
_MAX_DONORS_ASKED = 3
"""Only the first targets in a prefix's rendezvous order are asked: they own it."""
_WARM_TIMEOUT_SECONDS = 10.0


class KvWarmer:
    """Implements ``WarmPort`` with the engines' KV calls.

    Args:
        control: Sends the calls.
        get_view: Returns the configuration, which says which targets hold which
            weights.
        hot: The most used prefixes of this daemon's callers.
    """

    def __init__(
        self,
        control: ControlClient,
        get_view: Callable[[], ConfigurationView],
        hot: HotPrefixes,
    ) -> None:
        self._control = control
        self._get_view = get_view
        self._hot = hot

    async def warm(
        self, target: Target, model: ModelId, weights_version: WeightsVersion
    ) -> Result[int, LycheepostError]:
        """Import the most used stored prefixes; return the number of tokens."""
        prefixes = self._hot.top(model, weights_version, MAX_WARMED_PREFIXES)
        donors = self._find_donors(target, model, weights_version)
        n_tokens = 0
        try:
            async with asyncio.timeout(_WARM_TIMEOUT_SECONDS):
                for prefix in prefixes:
                    n_tokens += await self._import(target, prefix, donors)
        except TimeoutError:
            # Imported prefixes stay; the rest are computed on request.
            pass
        return Success(n_tokens)

    def _find_donors(
        self, target: Target, model: ModelId, weights_version: WeightsVersion
    ) -> dict[str, Target]:
        view = self._get_view()
        group = TargetGroupId(target.target_group)
        return {
            other.target: other
            for other in view.targets_by_group.get(group, ())
            if other.target != target.target
            and other.desired_state is TargetDesiredState.SERVING
            and held_version(other, view.models.get(model)) == weights_version
        }

    async def _import(
        self, target: Target, prefix: HotPrefix, donors: dict[str, Target]
    ) -> int:
        for name in rendezvous_order(prefix.digest, donors)[:_MAX_DONORS_ASKED]:
            kept = await self._export(donors[name], prefix)
            if kept is None:
                continue
            body = KvImport(
                cache_salt=prefix.cache_salt,
                digest=prefix.digest,
                n_tokens=kept.n_tokens,
                weights_version=prefix.weights_version,
            )
            url = f"{target.url}/kv/import"
            answer = await self._control.send(url, body, KvImportAnswer)
            return answer.map(lambda taken: taken.n_tokens).value_or(0)
        return 0

    async def _export(self, donor: Target, prefix: HotPrefix) -> KvExport | None:
        salt = urllib.parse.quote(prefix.cache_salt, safe="")
        url = f"{donor.url}/kv/{prefix.digest}?cache_salt={salt}"
        kept = await self._control.read(url, KvExport)
        found = kept.value_or(None)
        if found is None or found.weights_version != prefix.weights_version:
            return None
        return found
