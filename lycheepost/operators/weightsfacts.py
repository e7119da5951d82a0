"""Read the facts about weights versions that a plan needs."""

import asyncio
from collections.abc import Iterable

from returns.result import Success

from lycheepost.core.ids import ModelId
from lycheepost.generated.operators import (
    WeightsFact,
)
from lycheepost.operators.capacity_estimates import WeightsKey
from lycheepost.ports.weights import WeightsInfo, WeightsPort


async def ask_weights(
    port: WeightsPort | None, keys: Iterable[WeightsKey]
) -> tuple[WeightsFact, ...]:
    """Return what the weight store reports about each version.

    If the store does not respond, this is recorded as well: the plan then states that
    its durations are unknown, and the operator decides.
    """
    facts = [_ask(port, model, version) for model, version in sorted(keys)]
    return tuple(await asyncio.gather(*facts))


async def _ask(port: WeightsPort | None, model: str, version: str) -> WeightsFact:
    unknown = WeightsFact(model=model, weights_version=version, is_known=False)
    if port is None:
        return unknown
    listed = await port.list_versions(ModelId(model))
    if not isinstance(listed, Success):
        return unknown
    found = [info for info in listed.unwrap() if info.weights_version == version]
    if not found:
        return WeightsFact(model=model, weights_version=version, is_known=True)
    return _describe(found[0])


def _describe(info: WeightsInfo) -> WeightsFact:
    return WeightsFact(
        model=info.model,
        weights_version=info.weights_version,
        is_known=True,
        is_present=True,
        size_bytes=info.size_bytes,
        load_seconds=info.load_seconds,
    )
