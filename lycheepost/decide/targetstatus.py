"""One target as the status page shows it."""

from lycheepost.decide.load import TargetLoad


def target_status(
    load: TargetLoad, is_reading_engine: bool, now_seconds: float
) -> dict[str, object]:
    """Return what the decisions know of a target.

    Args:
        load: Its state in the scheduler.
        is_reading_engine: Whether long prompts are sent to it first.
        now_seconds: The current time.
    """
    state = load.machine_state
    age_seconds = now_seconds - state.stated_seconds if state.is_known() else None
    return {
        "state": load.view.state.value,
        "zone": load.view.availability_zone,
        "n_in_flight": len(load.in_flight),
        "n_estimated": round(load.estimate(now_seconds)[1], 1),
        "n_slots": load.view.concurrency_limit,
        "max_requests": load.max_requests(),
        "own_slots": load.own_slots,
        "n_streams": load.all_streams(),
        "reading_seconds": round(load.reading_seconds(now_seconds), 3),
        "is_reading_engine": is_reading_engine,
        "held_tokens": load.all_held_tokens(now_seconds),
        "memory_tokens": load.view.memory_tokens,
        "n_believed_levels": len(load.cache_estimate),
        "window_tokens": round(load.window.tokens),
        "slowness": round(load.slowness.now(now_seconds), 3),
        "rate_ratio": round(load.rate_ratio, 3),
        "momentary_ratio": round(state.momentary_ratio(now_seconds), 3),
        "stated_age_seconds": None if age_seconds is None else round(age_seconds, 3),
    }
