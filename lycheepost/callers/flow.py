"""Serve one completion request, in the order of its steps.

identify -> parse -> fingerprint -> claim -> admit -> place -> send -> relay -> settle.
Each step is a short function here or in the module named after it. A step that fails
raises a ``CallerError``, which says whether the request may have run;
``callers.routes`` turns it into the response.
"""

import functools
from dataclasses import dataclass

from aiohttp import web

from lycheepost.callers.assemble import assemble_answer
from lycheepost.callers.body import read_body
from lycheepost.callers.deps import CallerDeps
from lycheepost.callers.errors import (
    EXECUTED_HEADER,
    CallerError,
    Executed,
    error_event,
    invalid,
)
from lycheepost.callers.exchange import Exchange, ExchangeResult, Job
from lycheepost.callers.headers import CallerHeaders, read_headers
from lycheepost.callers.identify import cache_salt, find_model, identify_customer
from lycheepost.callers.keyed import KeyedRequest, KeyedRunner
from lycheepost.callers.parse import (
    DEFAULT_OUTPUT_TOKENS,
    CompletionCall,
    Endpoint,
    engine_body,
    parse_completion,
)
from lycheepost.callers.sinks import EVENT_STREAM, BufferSink, LiveSink, TeeSink
from lycheepost.callers.unwrap import unwrap
from lycheepost.core.hashing import fingerprint_body, prompt_part_key
from lycheepost.core.ids import (
    CustomerId,
    ModelId,
    RequestId,
    TargetGroupId,
    WeightsVersion,
)
from lycheepost.decide.levels import estimate_tokens, fingerprint_levels
from lycheepost.decide.records import Priority, Work
from lycheepost.generated.configuration import Customer, Model
from lycheepost.report.samples import EndKind, OnceState, Sample
from lycheepost.state.claim_rows import StoredAnswer

JSON_CONTENT_TYPE = "application/json"


@dataclass(frozen=True)
class CheckedRequest:
    """A completion request that has passed its checks.

    Attributes:
        request_id: Unique in the fleet; the engine's response carries it.
        answer_headers: Headers of every response to it.
    """

    request_id: RequestId
    customer: Customer
    model: Model
    weights_version: WeightsVersion
    headers: CallerHeaders
    call: CompletionCall
    body: bytes
    arrived_seconds: float
    answer_headers: dict[str, str]


async def answer_completion(
    deps: CallerDeps,
    keyed: KeyedRunner,
    endpoint: Endpoint,
    request_id: RequestId,
    request: web.Request,
) -> web.StreamResponse:
    """Answer one completion request.

    Raises:
        CallerError: The response is an error and nothing has been sent yet.
    """
    checked = await _check_request(deps, endpoint, request_id, request)
    job = _make_job(checked)
    deps.hot.note(
        job.work.model,
        checked.weights_version,
        cache_salt(checked.customer),
        job.work.levels,
    )
    if checked.headers.idempotency_key is not None:
        return await _answer_keyed(deps, keyed, checked, job, request)
    if checked.call.is_streamed:
        return await _answer_stream(deps, checked, job, request)
    stored = await _run_to_end(deps, checked, job)
    return _stored_response(stored, checked.answer_headers)


async def _check_request(
    deps: CallerDeps, endpoint: Endpoint, request_id: RequestId, request: web.Request
) -> CheckedRequest:
    """Identify the caller and check the request.

    The key is checked before the body is read, so that a caller without a key cannot
    make the daemon buffer megabytes.
    """
    arrived_seconds = deps.clock.now_seconds()
    view = deps.configuration.view
    customer = unwrap(identify_customer(view, request.headers))
    headers = unwrap(read_headers(request.headers, deps.settings.limits))
    body = unwrap(await read_body(request, deps.settings.limits))
    call = unwrap(parse_completion(endpoint, body))
    model = unwrap(find_model(view, customer, call.model))
    _check_size(call, model)
    weights_version = deps.versions.choose(
        model, CustomerId(customer.customer), call.segments
    )
    return CheckedRequest(
        request_id=request_id,
        customer=customer,
        model=model,
        weights_version=weights_version,
        headers=headers,
        call=call,
        body=body,
        arrived_seconds=arrived_seconds,
        answer_headers={"X-Request-Id": headers.caller_request_id or request_id},
    )


def _prompt_tokens(call: CompletionCall) -> int:
    return estimate_tokens(sum(len(segment) for segment in call.segments))


def _check_size(call: CompletionCall, model: Model) -> None:
    n_tokens = _prompt_tokens(call)
    if n_tokens > model.max_prompt_tokens:
        raise CallerError(
            f"The prompt has about {n_tokens} tokens; {model.model} takes "
            f"{model.max_prompt_tokens}.",
            status=400,
            code="context_length_exceeded",
            param="messages" if call.endpoint is Endpoint.CHAT else "prompt",
        )
    if call.max_tokens is not None and call.max_tokens > model.max_output_tokens:
        reason = f"{model.model} answers with at most {model.max_output_tokens} tokens."
        raise invalid(reason, "max_tokens")


def _make_job(checked: CheckedRequest) -> Job:
    """Fingerprint the prompt and encode the body for the engine."""
    customer = CustomerId(checked.customer.customer)
    model = ModelId(checked.model.model)
    weights_version = checked.weights_version
    call = checked.call
    work = Work(
        request=checked.request_id,
        customer=customer,
        target_group=TargetGroupId(checked.model.target_group),
        model=model,
        weights_version=weights_version,
        levels=fingerprint_levels(customer, model, weights_version, call.segments),
        prompt_tokens=_prompt_tokens(call),
        output_tokens=call.max_tokens or DEFAULT_OUTPUT_TOKENS,
        priority=checked.headers.priority,
        arrived_seconds=checked.arrived_seconds,
        first_token_timeout_seconds=checked.headers.first_token_timeout_seconds,
        fingerprint=fingerprint_body(customer, checked.body),
        is_idempotent=not checked.headers.is_marked_non_idempotent,
        parts=frozenset(prompt_part_key(part) for part in call.segments[:-1] if part),
    )
    # A stream shows at any time whether the engine is still working. Only responses
    # that cannot be assembled from chunks are requested without streaming.
    expects_stream = call.is_streamed or call.is_continuable
    return Job(
        work=work,
        path=call.endpoint.value,
        body=engine_body(
            call,
            cache_salt(checked.customer),
            engine_priority(work.priority),
            expects_stream,
        ),
        is_continuable=call.is_continuable,
        is_keyed=checked.headers.idempotency_key is not None,
        expects_stream=expects_stream,
    )


def engine_priority(priority: Priority) -> int:
    """Return the priority that is sent to the engine; lower runs first.

    An engine serves all customers together, so no caller may raise a request above
    those of other customers; only batch requests run after them. Among requests of
    one customer the queue of this daemon uses the full priority.
    """
    return 1 if priority is Priority.BATCH else 0


async def _answer_stream(
    deps: CallerDeps, checked: CheckedRequest, job: Job, request: web.Request
) -> web.StreamResponse:
    sink = LiveSink(request, checked.answer_headers)
    exchange = Exchange(deps, job, sink)
    try:
        finished = await exchange.run()
    except CallerError as error:
        _note_error(deps, checked, error)
        if not sink.has_begun:
            raise
        await _end_with_error(sink, error)
        return sink.response
    _note_finished(deps, checked, finished)
    if not finished.has_caller_left:
        await sink.response.write_eof()
    return sink.response


async def _end_with_error(sink: LiveSink, error: CallerError) -> None:
    """End a stream that cannot be completed with an explicit error.

    The connection stays open. Closing it would break the next request that the
    client's connection pool may already have sent on it.
    """
    try:
        await sink.response.write(error_event(error))
        await sink.response.write_eof()
    except (ConnectionError, RuntimeError):
        return


async def _run_to_end(
    deps: CallerDeps, checked: CheckedRequest, job: Job
) -> StoredAnswer:
    """Run to the end and return the response in the form the caller asked for."""
    sink = BufferSink()
    return await _run_buffered(deps, checked, job, sink)


async def _run_buffered(
    deps: CallerDeps, checked: CheckedRequest, job: Job, sink: BufferSink | TeeSink
) -> StoredAnswer:
    exchange = Exchange(deps, job, sink)
    try:
        finished = await exchange.run()
    except CallerError as error:
        _note_error(deps, checked, error)
        raise
    _note_finished(deps, checked, finished)
    data = sink.content()
    if checked.call.is_streamed:
        return StoredAnswer(200, EVENT_STREAM, data)
    if job.expects_stream:
        data = assemble_answer(checked.call.endpoint, data)
    return StoredAnswer(200, JSON_CONTENT_TYPE, data)


async def _answer_keyed(
    deps: CallerDeps,
    keyed: KeyedRunner,
    checked: CheckedRequest,
    job: Job,
    request: web.Request,
) -> web.StreamResponse:
    key = checked.headers.idempotency_key
    assert key is not None
    identity = KeyedRequest(
        job.work.customer, key, job.work.fingerprint, checked.request_id
    )
    if not checked.call.is_streamed:
        run = functools.partial(_run_to_end, deps, checked, job)
        stored = await keyed.run_once(identity, run)
        return _stored_response(stored, checked.answer_headers)
    live = LiveSink(request, checked.answer_headers)
    tee = TeeSink(live)
    run = functools.partial(_run_buffered, deps, checked, job, tee)
    try:
        stored = await keyed.run_once(identity, run)
    except CallerError as error:
        if not live.has_begun:
            raise
        await _end_with_error(live, error)
        return live.response
    if not live.has_begun:
        # A resend gets the stored stream, byte for byte.
        return _stored_response(stored, checked.answer_headers)
    await live.response.write_eof()
    return live.response


def _stored_response(stored: StoredAnswer, headers: dict[str, str]) -> web.Response:
    return web.Response(
        status=stored.status,
        body=stored.body,
        headers={
            **headers,
            "Content-Type": stored.content_type,
            EXECUTED_HEADER: Executed.YES.value,
        },
    )


def _note_finished(
    deps: CallerDeps, checked: CheckedRequest, finished: ExchangeResult
) -> None:
    deps.metrics.timing("ttft", finished.ttft_seconds)
    if finished.usage is not None:
        deps.metrics.count("prompt_tokens", finished.usage.prompt_tokens)
        deps.metrics.count("cached_tokens", finished.usage.cached_tokens)
    deps.on_sample(
        Sample(
            customer=CustomerId(checked.customer.customer),
            model=ModelId(checked.model.model),
            end=EndKind.CALLER_LEFT if finished.has_caller_left else EndKind.SUCCESS,
            once=_once_state(checked, is_known=True),
            ttft_seconds=finished.ttft_seconds,
            mean_gap_seconds=finished.token_gap_seconds,
        )
    )


def _note_error(deps: CallerDeps, checked: CheckedRequest, error: CallerError) -> None:
    deps.on_sample(
        Sample(
            customer=CustomerId(checked.customer.customer),
            model=ModelId(checked.model.model),
            end=end_of(error),
            once=_once_state(checked, is_known=error.executed is not Executed.UNKNOWN),
        )
    )


def _once_state(checked: CheckedRequest, is_known: bool) -> OnceState:
    if not checked.headers.is_marked_non_idempotent:
        return OnceState.NOT_ASKED
    return OnceState.KEPT if is_known else OnceState.UNKNOWN


def end_of(error: CallerError) -> EndKind:
    """Return how an error counts toward the service levels."""
    if error.status == 429:
        return EndKind.REFUSED
    if error.status < 500:
        return EndKind.CALLER_FAULT
    return EndKind.REFUSED if error.executed is Executed.NO else EndKind.FAILED
