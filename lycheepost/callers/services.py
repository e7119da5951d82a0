"""Serve one call to a plain service.

identify -> read -> claim -> admit -> send -> settle. GET, HEAD, PUT, DELETE and OPTIONS
may be repeated, as HTTP defines, unless the caller marks the call as non-idempotent.
Any other call runs at most once: in the whole fleet with an idempotency key, otherwise
for each time that the caller sends it.
"""

import asyncio
from dataclasses import dataclass, replace

from aiohttp import web
from returns.result import Failure, Success

from lycheepost.callers.body import read_body
from lycheepost.callers.deps import CallerDeps
from lycheepost.callers.errors import (
    EXECUTED_HEADER,
    CallerError,
    ErrorType,
    Executed,
    from_refusal,
)
from lycheepost.callers.exchange import make_charge, target_url
from lycheepost.callers.flow import end_of
from lycheepost.callers.headers import CallerHeaders, read_headers
from lycheepost.callers.identify import find_service, identify_customer
from lycheepost.callers.keyed import KeyedRequest, KeyedRunner
from lycheepost.callers.unwrap import unwrap
from lycheepost.core.hashing import fingerprint_body
from lycheepost.core.ids import (
    CustomerId,
    ModelId,
    RequestId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.decide.records import Dispatch, FinishKind, Refuse, Work
from lycheepost.report.samples import EndKind, OnceState, Sample
from lycheepost.state.claim_rows import StoredAnswer
from lycheepost.targets.calls import ServiceCall
from lycheepost.targets.errors import TargetError, TargetUnreachable

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})

_FORWARDED_HEADERS = ("Accept", "Accept-Language", "Content-Type", "Idempotency-Key")
"""The caller's headers that are forwarded to a service. The bearer key is not: a
service could use it to act as the customer."""

CUSTOMER_HEADER = "Lycheepost-Customer"
"""Header that names the customer to the service."""

_OCTET_STREAM = "application/octet-stream"


@dataclass(frozen=True)
class CheckedRequest:
    """A service call that has passed its checks."""

    customer: CustomerId
    headers: CallerHeaders
    work: Work
    method: str
    path: str
    forwarded_headers: tuple[tuple[str, str], ...]
    body: bytes


async def answer_service(
    deps: CallerDeps, keyed: KeyedRunner, request_id: RequestId, request: web.Request
) -> web.Response:
    """Answer one call to a plain service.

    Raises:
        CallerError: The service gave no response.
    """
    checked = await _check_request(deps, request_id, request)
    if checked.headers.idempotency_key is not None:
        identity = KeyedRequest(
            checked.customer,
            checked.headers.idempotency_key,
            checked.work.fingerprint,
            request_id,
        )
        stored = await keyed.run_once(identity, lambda: _run(deps, checked))
    elif checked.work.is_idempotent:
        stored = await _run(deps, checked)
    else:
        # The call must run to its end even when its caller leaves.
        stored = await keyed.run_to_completion(lambda: _run(deps, checked))
    return web.Response(
        status=stored.status,
        body=stored.body,
        headers={
            "Content-Type": stored.content_type,
            "X-Request-Id": checked.headers.caller_request_id or request_id,
            EXECUTED_HEADER: Executed.YES.value,
        },
    )


async def _check_request(
    deps: CallerDeps, request_id: RequestId, request: web.Request
) -> CheckedRequest:
    arrived_seconds = deps.clock.now_seconds()
    view = deps.configuration.view
    record = unwrap(identify_customer(view, request.headers))
    headers = unwrap(read_headers(request.headers, deps.settings.limits))
    name = request.match_info["target_group"]
    group = unwrap(find_service(view, record, name))
    body = unwrap(await read_body(request, deps.settings.limits))
    customer = CustomerId(record.customer)
    path = request.rel_url.raw_path_qs.removeprefix(f"/services/{name}")
    is_idempotent = (
        request.method in _IDEMPOTENT_METHODS and not headers.is_marked_non_idempotent
    )
    forwarded = [
        (name, request.headers[name])
        for name in _FORWARDED_HEADERS
        if name in request.headers
    ]
    forwarded.append((CUSTOMER_HEADER, customer))
    forwarded.append(("X-Request-Id", request_id))
    identity = f"{request.method} {name}{path}\n".encode()
    work = Work(
        request=request_id,
        customer=customer,
        target_group=TargetGroupId(group.target_group),
        model=ModelId(""),
        weights_version=WeightsVersion(""),
        levels=(),
        prompt_tokens=0,
        output_tokens=1,
        priority=headers.priority,
        arrived_seconds=arrived_seconds,
        first_token_timeout_seconds=headers.first_token_timeout_seconds,
        fingerprint=fingerprint_body(customer, identity + body),
        is_idempotent=is_idempotent,
    )
    return CheckedRequest(
        customer, headers, work, request.method, path or "/", tuple(forwarded), body
    )


async def _run(deps: CallerDeps, checked: CheckedRequest) -> StoredAnswer:
    """Call targets until one responds or no attempt is left."""
    charge = make_charge(deps, checked.work)
    executed = Executed.NO
    try:
        await charge.take()
        answer = await _try_targets(deps, checked)
        executed = Executed.YES
    except CallerError as error:
        executed = error.executed
        _report_sample(
            deps, checked, end_of(error), error.executed is not Executed.UNKNOWN
        )
        raise
    except asyncio.CancelledError:
        # The caller has left; a target may be running the call.
        executed = Executed.UNKNOWN
        raise
    finally:
        charge.settle(executed)
    end = EndKind.SUCCESS if answer.status < 500 else EndKind.FAILED
    _report_sample(deps, checked, end, True)
    return answer


async def _try_targets(deps: CallerDeps, checked: CheckedRequest) -> StoredAnswer:
    work = checked.work
    executed = Executed.NO
    outcome = await deps.dispatcher.admit(work)
    while True:
        match outcome:
            case Refuse():
                raise from_refusal(outcome, executed)
            case Dispatch(target=target):
                answer = await _send(deps, checked, target)
        match answer:
            case StoredAnswer():
                return answer
            case TargetUnreachable():
                deps.on_unreachable(target)
            case TargetError():
                executed = Executed.UNKNOWN
                if not work.is_idempotent:
                    raise _outcome_unknown(checked)
        work = replace(work, excluded=work.excluded | {target})
        outcome = await deps.dispatcher.readmit(work)


async def _send(
    deps: CallerDeps, checked: CheckedRequest, target: TargetId
) -> StoredAnswer | TargetError:
    """Call one target; the result is always reported to the scheduler."""
    kind = FinishKind.CANCELLED
    url = target_url(deps, target)
    if url is None:
        deps.dispatcher.finish(checked.work.request, FinishKind.TARGET_REFUSED)
        return TargetUnreachable("the target was removed")
    call = ServiceCall(
        target=target,
        url=url,
        request=checked.work.request,
        method=checked.method,
        path=checked.path,
        headers=checked.forwarded_headers,
        body=checked.body,
        is_idempotent=checked.work.is_idempotent,
    )
    try:
        match await deps.services.call(call):
            case Success(answer):
                kind = FinishKind.COMPLETE
                deps.dispatcher.first_token(checked.work.request)
                content_type = dict(answer.headers).get("Content-Type", _OCTET_STREAM)
                return StoredAnswer(answer.status, content_type, answer.body)
            case Failure(error):
                is_unreachable = isinstance(error, TargetUnreachable)
                kind = (
                    FinishKind.TARGET_REFUSED
                    if is_unreachable
                    else FinishKind.TARGET_LOST
                )
                return error
        raise AssertionError("a result is a success or a failure")
    finally:
        deps.dispatcher.finish(checked.work.request, kind)


def _outcome_unknown(checked: CheckedRequest) -> CallerError:
    is_keyed = checked.headers.idempotency_key is not None
    advice = "Ask again with the same key." if is_keyed else "Look before resending."
    return CallerError(
        f"The service was lost; whether it ran the call is not known. {advice}",
        status=502,
        type=ErrorType.SERVER,
        code="outcome_unknown",
        executed=Executed.UNKNOWN,
        is_safe_to_resend=is_keyed,
    )


def _report_sample(
    deps: CallerDeps, checked: CheckedRequest, end: EndKind, is_known: bool
) -> None:
    once = OnceState.NOT_ASKED
    if not checked.work.is_idempotent:
        once = OnceState.KEPT if is_known else OnceState.UNKNOWN
    deps.on_sample(
        Sample(
            customer=checked.customer,
            model=checked.work.target_group,
            end=end,
            once=once,
        )
    )
