"""The two deployments' traffic as seeded generators without I/O or clock.

A mix is a frozen record of numbers, each with its reason beside it, and
``generate`` turns a mix and a numpy generator into requests in order of
arrival. The same seed gives the same requests on every machine.

Arrivals are an open-loop Poisson process: a caller does not wait for another
caller's answer, so a system that falls behind meets the queue that it would
meet in service. A closed loop would slow down with the system and hide it.
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
    """Whose traffic is generated."""

    PRAIRIE = "prairie"
    MERCIA = "mercia"


@dataclass(frozen=True, slots=True)
class Mix:
    """The numbers of one deployment's traffic.

    Attributes:
        tenant_words, template_words, batch_words: Length of the three shared
            prompt levels.
        own_words: Shortest and longest part that belongs to one request alone.
        short_tokens, long_tokens: Range of answer lengths, in tokens.
        long_share: Share of completions with a long answer.
        short_patience_seconds, long_patience_seconds: Wait for a first token.
        call_share: Share of requests that are plain-service calls.
        lost_answer_share, double_send_share: Shares of those calls whose caller
            loses the answer, or sends twice at once.
        customer_skew: Zipf exponent of the customers' shares.
        hot_share: Share of completions that use the one hot batch.
        hot_shift_share: Part of a day after which another batch is hot.
        night_share: Lowest rate of the day as a share of the highest.
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
    short_patience_seconds: float
    long_patience_seconds: float
    streamed_share: float
    call_share: float
    call_patience_seconds: float
    lost_answer_share: float
    double_send_share: float
    customer_skew: float
    hot_share: float
    hot_shift_share: float
    night_share: float


def make_prairie_mix() -> Mix:
    """Return kiosk traffic: short captions, many print orders, no patience."""
    return Mix(
        deployment=Deployment.PRAIRIE,
        service_group="kiosk-orders",
        # A retailer's wording rules are a page, a template half of that, and an
        # album's description a few lines for each of some twenty photos.
        tenant_words=400,
        template_words=200,
        batch_words=300,
        own_words=(20, 60),
        n_templates=4,
        n_batches=24,
        # A caption is a line; an album's set of titles is a paragraph.
        short_tokens=(6, 20),
        long_tokens=(40, 90),
        long_share=0.2,
        # A shopper stands at the screen for the caption; the album's titles
        # are read after the payment.
        short_patience_seconds=5.0,
        long_patience_seconds=15.0,
        streamed_share=0.8,
        # A visit makes about three captions and one order.
        call_share=0.25,
        call_patience_seconds=20.0,
        # Kiosks hang on shop networks: one order in twenty loses its answer,
        # and one in fifty is tapped twice.
        lost_answer_share=0.05,
        double_send_share=0.02,
        # "8 customers, a few of them large".
        customer_skew=1.2,
        # A seasonal template with its sample album is in a third of visits.
        hot_share=0.3,
        hot_shift_share=0.25,
        night_share=0.5,
    )


def make_mercia_mix() -> Mix:
    """Return letter traffic: long shared prompts, longer answers, patience."""
    return Mix(
        deployment=Deployment.MERCIA,
        service_group="postroom-app",
        # Sorting rules and a glossary of agencies are several pages; a batch
        # holds the history of one recipient's or one office's letters.
        tenant_words=800,
        template_words=400,
        batch_words=900,
        own_words=(80, 300),
        n_templates=3,
        n_batches=30,
        # Sorting answers in a line; a plain summary takes a paragraph or two.
        short_tokens=(8, 24),
        long_tokens=(60, 160),
        long_share=0.6,
        # A caseworker waits for a sorting answer; summaries may be timely
        # rather than instant.
        short_patience_seconds=15.0,
        long_patience_seconds=60.0,
        streamed_share=0.6,
        # One letter in ten is forwarded at once.
        call_share=0.1,
        call_patience_seconds=30.0,
        lost_answer_share=0.05,
        double_send_share=0.02,
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
    """Return the words of the shared section ``name``, equal on every call."""
    rng = np.random.default_rng(list(name.encode()))
    return " ".join(_WORDS[index] for index in rng.integers(len(_WORDS), size=n_words))


def rate_share(mix: Mix, day_share: float) -> float:
    """Return the rate at ``day_share`` (0 and 1 are midnight) over the peak's."""
    daylight = 0.5 - 0.5 * math.cos(2 * math.pi * day_share)
    return mix.night_share + (1 - mix.night_share) * daylight


def _customer_weights(mix: Mix, n_customers: int) -> np.ndarray:
    weights = np.arange(1, n_customers + 1, dtype=float) ** -mix.customer_skew
    return weights / weights.sum()


def _between(rng: np.random.Generator, bounds: tuple[int, int]) -> int:
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
    n_own = _between(rng, mix.own_words)
    own = " ".join(_WORDS[index] for index in rng.integers(len(_WORDS), size=n_own))
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
    patience = mix.long_patience_seconds if is_long else mix.short_patience_seconds
    return Completion(
        number=number,
        arrive_seconds=arrive_seconds,
        customer=customer,
        sections=_make_sections(mix, customer, day_share, number, rng),
        max_tokens=_between(rng, tokens),
        patience_seconds=patience,
        is_streamed=bool(rng.random() < mix.streamed_share),
    )


def _make_call(
    mix: Mix,
    number: int,
    arrive_seconds: float,
    customer: CustomerId,
    rng: np.random.Generator,
) -> ServiceCall:
    # The random part keeps the keys of two runs against one system apart.
    order = f"{mix.deployment.value}-{number}-{rng.integers(2**48):012x}"
    draw = rng.random()
    repeat = Repeat.NEVER
    if draw < mix.lost_answer_share:
        repeat = Repeat.AFTER_LOST_ANSWER
    elif draw < mix.lost_answer_share + mix.double_send_share:
        repeat = Repeat.AT_ONCE
    body = {"order_id": order, "n_prints": _between(rng, (1, 40))}
    return ServiceCall(
        number=number,
        arrive_seconds=arrive_seconds,
        customer=customer,
        order=order,
        key=IdempotencyKey(order),
        body=json.dumps(body).encode(),
        patience_seconds=mix.call_patience_seconds,
        repeat=repeat,
    )


def generate(
    mix: Mix,
    customers: tuple[CustomerId, ...],
    rate_per_second: float,
    day_seconds: float,
    rng: np.random.Generator,
) -> Iterator[Request]:
    """Yield requests in order of arrival, without end.

    Args:
        mix: The deployment's numbers.
        customers: The largest first.
        rate_per_second: Rate at the peak of the day.
        day_seconds: Length of a day, so that a short run sees a whole one; it
            starts at noon.
        rng: The only source of chance.
    """
    weights = _customer_weights(mix, len(customers))
    now_seconds = 0.0
    number = 0
    while True:
        now_seconds += rng.exponential(1 / rate_per_second)
        day_share = (now_seconds / day_seconds + 0.5) % 1.0
        # Thinning of the peak's Poisson process gives the daily curve exactly.
        if rng.random() >= rate_share(mix, day_share):
            continue
        number += 1
        customer = customers[int(rng.choice(len(customers), p=weights))]
        if rng.random() < mix.call_share:
            yield _make_call(mix, number, now_seconds, customer, rng)
        else:
            yield _make_completion(mix, number, now_seconds, customer, day_share, rng)
