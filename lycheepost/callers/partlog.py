"""Logs which parts of prompts are suspected of crashing targets, and when it ends."""

from collections.abc import Mapping

import structlog

from lycheepost.core.ids import PromptPartKey
from lycheepost.decide.partlosses import Judgement, PartBlame

_log = structlog.get_logger(part="dispatch")


class PartLog:
    """Compares each judgement with the one before."""

    def __init__(self) -> None:
        self._known: Mapping[PromptPartKey, PartBlame] = {}

    def update(self, judgement: Judgement) -> None:
        """Log the changes since the last call."""
        if judgement.parts is self._known:
            return
        before, self._known = self._known, judgement.parts
        for part, blame in judgement.parts.items():
            if part not in before or before[part].n_losses != blame.n_losses:
                _log.warning(
                    "dispatch: a prompt part was on lost targets",
                    prompt_part=f"{part:016x}",
                    n_losses=blame.n_losses,
                    is_blamed=blame.is_blamed,
                    always_with=sorted(f"{item:016x}" for item in blame.always_with),
                )
        for part in before.keys() - judgement.parts.keys():
            _log.info(
                "dispatch: a prompt part is not suspected any more",
                prompt_part=f"{part:016x}",
            )
