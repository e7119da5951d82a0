"""Generates the traffic of the two deployments from a seed, without I/O or clock.

A mix holds the parameters of one deployment. ``generate`` turns a mix and a numpy
generator into requests in order of arrival. The same seed gives the same requests on
every machine.

Arrivals are an open-loop Poisson process: callers do not wait for each other's
answers, so that an overloaded system builds up the same queue as in production. A
closed loop would slow down with the system and hide the queue.
"""

import functools
import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import numpy as np

from lycheepost.core.ids import CustomerId, IdempotencyKey
from lycheepost.loadgen.requests import (
    Completion,
    Repeat,
    Request,
    Section,
    ServiceCall,
)

_WORD_TEXT = """
    album border caption date frame gloss order paper photo print roll shop
    agency appeal benefit claim court form hostel letter notice office post
    address answer before change family summer winter school garden river
"""
_WORDS = tuple(_WORD_TEXT.split())


class Deployment(Enum):
    """Deployments whose traffic can be generated."""

    PRAIRIE = "prairie"
    MERCIA = "mercia"


@dataclass(frozen=True, slots=True)
class Mix:
    """Parameters of one deployment's traffic.

    Attributes:
        tenant_words, template_words, batch_words: Lengths of the three shared
            prompt levels.
        own_words: Range of lengths of the part that only one request has.
        short_tokens, long_tokens: Range of answer lengths, in tokens.
        long_share: Share of completions with a long answer.
        short_first_token_timeout_seconds, long_first_token_timeout_seconds: Time
            that a caller waits for the first token.
        call_share: Share of requests that are plain-service calls.
        lost_answer_share, duplicate_send_share: Shares of those calls whose caller
            loses the answer, or sends the call twice at the same time.
        customer_skew: Zipf exponent of the customers' shares.
        hot_share: Share of completions that use the hot batch.
        hot_shift_share: Share of a day after which another batch becomes hot.
        night_share: Lowest rate of the day relative to the highest.
    """

    deployment: Deployment
    service_group: str
    tenant_words: int
    template_words: int
    batch_words: int
    own_words: tuple[int, int]
    n_templates: int
    n_batches: int
    short_tokens: tuple[int, int]
    long_tokens: tuple[int, int]
    long_share: float
    short_first_token_timeout_seconds: float
    long_first_token_timeout_seconds: float
    streamed_share: float
    call_share: float
    call_timeout_seconds: float
    lost_answer_share: float
    duplicate_send_share: float
    customer_skew: float
    hot_share: float
    hot_shift_share: float
    night_share: float


def make_prairie_mix() -> Mix:
    """Return kiosk traffic: short captions, many print orders, short time-outs."""
    return Mix(
        deployment=Deployment.PRAIRIE,
        service_group="kiosk-orders",
        # A retailer's wording rules fill a page, a template half a page, and an
        # album's description has a few lines for each of about twenty photos.
        tenant_words=400,
        template_words=200,
        batch_words=300,
        own_words=(20, 60),
        n_templates=4,
        n_batches=24,
        # A caption is one line, the titles of an album are one paragraph.
        short_tokens=(6, 20),
        long_tokens=(40, 90),
        long_share=0.2,
        # A shopper waits at the screen for a caption, but reads the album's titles
        # only after the payment.
        short_first_token_timeout_seconds=5.0,
        long_first_token_timeout_seconds=15.0,
        streamed_share=0.8,
        # A visit has about three captions and one order.
        call_share=0.25,
        call_timeout_seconds=20.0,
        # Kiosks use unreliable shop networks: one order in twenty loses its answer.
        # One order in fifty is sent twice by a double tap.
        lost_answer_share=0.05,
        duplicate_send_share=0.02,
        # The deployment has 8 customers, a few of them large.
        customer_skew=1.2,
        # A seasonal template with its sample album is used in a third of the visits.
        hot_share=0.3,
        hot_shift_share=0.25,
        night_share=0.5,
    )


def make_mercia_mix() -> Mix:
    """Return letter traffic: long shared prompts, longer answers and time-outs."""
    return Mix(
        deployment=Deployment.MERCIA,
        service_group="postroom-app",
        # Sorting rules and a glossary of agencies fill several pages; a batch holds
        # the letters of one recipient or one office.
        tenant_words=800,
        template_words=400,
        batch_words=900,
        own_words=(80, 300),
        n_templates=3,
        n_batches=30,
        # A sorting answer is one line, a summary one or two paragraphs.
        short_tokens=(8, 24),
        long_tokens=(60, 160),
        long_share=0.6,
        # A caseworker waits for a sorting answer, while summaries may take longer.
        short_first_token_timeout_seconds=15.0,
        long_first_token_timeout_seconds=60.0,
        streamed_share=0.6,
        # One letter in ten is forwarded immediately.
        call_share=0.1,
        call_timeout_seconds=30.0,
        lost_answer_share=0.05,
        duplicate_send_share=0.02,
        customer_skew=1.2,
        hot_share=0.2,
        hot_shift_share=0.25,
        night_share=0.5,
    )


def make_mix(deployment: Deployment) -> Mix:
    """Return the mix of ``deployment``."""
    match deployment:
        case Deployment.PRAIRIE:
            return make_prairie_mix()
        case Deployment.MERCIA:
            return make_mercia_mix()


@functools.lru_cache(maxsize=4096)
def _shared_text(name: str, n_words: int) -> str:
    """Return the words of the shared section ``name``, the same on every call."""
    rng = np.random.default_rng(list(name.encode()))
    return " ".join(_WORDS[index] for index in rng.integers(len(_WORDS), size=n_words))


def relative_rate(mix: Mix, day_share: float) -> float:
    """Return the rate at ``day_share`` (0 and 1 are midnight) relative to the peak."""
    daylight = 0.5 - 0.5 * math.cos(2 * math.pi * day_share)
    return mix.night_share + (1 - mix.night_share) * daylight


def _customer_weights(mix: Mix, n_customers: int) -> np.ndarray:
    weights = np.arange(1, n_customers + 1, dtype=float) ** -mix.customer_skew
    return weights / weights.sum()


def _random_between(rng: np.random.Generator, bounds: tuple[int, int]) -> int:
    return int(rng.integers(bounds[0], bounds[1] + 1))


def _make_sections(
    mix: Mix,
    customer: CustomerId,
    day_share: float,
    number: int,
    rng: np.random.Generator,
) -> tuple[Section, ...]:
    if rng.random() < mix.hot_share:
        template = 0
        batch = int(day_share / mix.hot_shift_share) % mix.n_batches
    else:
        template = int(rng.integers(mix.n_templates))
        batch = int(rng.integers(mix.n_batches))
    tenant_name = f"{mix.deployment.value}/{customer}"
    template_name = f"{tenant_name}/{template}"
    batch_name = f"{template_name}/{batch}"
    n_own_words = _random_between(rng, mix.own_words)
    own = " ".join(
        _WORDS[index] for index in rng.integers(len(_WORDS), size=n_own_words)
    )
    return (
        Section(tenant_name, _shared_text(tenant_name, mix.tenant_words)),
        Section(template_name, _shared_text(template_name, mix.template_words)),
        Section(batch_name, _shared_text(batch_name, mix.batch_words)),
        Section(f"{batch_name}/{number}", f"request {number} {own}"),
    )


def _make_completion(
    mix: Mix,
    number: int,
    arrive_seconds: float,
    customer: CustomerId,
    day_share: float,
    rng: np.random.Generator,
) -> Completion:
    is_long = rng.random() < mix.long_share
    tokens = mix.long_tokens if is_long else mix.short_tokens
    first_token_timeout_seconds = (
        mix.long_first_token_timeout_seconds
        if is_long
        else mix.short_first_token_timeout_seconds
    )
    return Completion(
        number=number,
        arrive_seconds=arrive_seconds,
        customer=customer,
        sections=_make_sections(mix, customer, day_share, number, rng),
        max_tokens=_random_between(rng, tokens),
        first_token_timeout_seconds=first_token_timeout_seconds,
        is_streamed=bool(rng.random() < mix.streamed_share),
    )


def _make_call(
    mix: Mix,
    number: int,
    arrive_seconds: float,
    customer: CustomerId,
    rng: np.random.Generator,
) -> ServiceCall:
    # The random part makes keys unique over several runs against one system.
    order = f"{mix.deployment.value}-{number}-{rng.integers(2**48):012x}"
    draw = rng.random()
    repeat = Repeat.NEVER
    if draw < mix.lost_answer_share:
        repeat = Repeat.AFTER_LOST_ANSWER
    elif draw < mix.lost_answer_share + mix.duplicate_send_share:
        repeat = Repeat.AT_ONCE
    body = {"order_id": order, "n_prints": _random_between(rng, (1, 40))}
    return ServiceCall(
        number=number,
        arrive_seconds=arrive_seconds,
        customer=customer,
        order=order,
        key=IdempotencyKey(order),
        body=json.dumps(body).encode(),
        timeout_seconds=mix.call_timeout_seconds,
        repeat=repeat,
    )


def generate(
    mix: Mix,
    customers: tuple[CustomerId, ...],
    rate_per_second: float,
    day_seconds: float,
    rng: np.random.Generator,
) -> Iterator[Request]:
    """Yield an endless sequence of requests in order of arrival.

    Args:
        mix: The deployment's parameters.
        customers: Customers, the largest first.
        rate_per_second: Arrival rate at the peak of the day.
        day_seconds: Length of a day, which starts at noon; a short run can thus
            cover a full day.
        rng: The only source of randomness.
    """
    weights = _customer_weights(mix, len(customers))
    now_seconds = 0.0
    number = 0
    while True:
        now_seconds += rng.exponential(1 / rate_per_second)
        day_share = (now_seconds / day_seconds + 0.5) % 1.0
        # Thinning of the Poisson process of the peak rate gives the exact daily
        # curve.
        if rng.random() >= relative_rate(mix, day_share):
            continue
        number += 1
        customer = customers[int(rng.choice(len(customers), p=weights))]
        if rng.random() < mix.call_share:
            yield _make_call(mix, number, now_seconds, customer, rng)
        else:
            yield _make_completion(mix, number, now_seconds, customer, day_share, rng)
