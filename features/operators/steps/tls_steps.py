"""Steps for the replacement of certificates."""

import asyncio
import pathlib
import shutil
import ssl
import tempfile

import aiohttp
import trustme
from aiohttp import web
from behave import given, then, when
from returns.result import Failure

from lycheepost.generated.settings import TlsSettings
from lycheepost.utils.tls import make_tls_manager


def write_pair(context, certificate, key):
    folder = pathlib.Path(context.tls.certificate_path).parent
    (folder / "cert.pem").write_bytes(certificate)
    (folder / "key.pem").write_bytes(key)


def issue(context):
    issued = context.ca.issue_cert("localhost", "127.0.0.1")
    return issued.cert_chain_pems[0].bytes(), issued.private_key_pem.bytes()


@given("a TLS listener with certificate A")
def given_listener(context):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.ca = trustme.CA()
    context.pairs = {"A": issue(context), "B": issue(context)}
    context.tls = TlsSettings(
        certificate_path=str(folder / "cert.pem"), key_path=str(folder / "key.pem")
    )
    write_pair(context, *context.pairs["A"])
    context.manager = make_tls_manager("callers", context.tls).unwrap()
    context.trust = ssl.create_default_context()
    context.ca.configure_trust(context.trust)
    context.loop.run_until_complete(open_listener(context))

    async def close():
        await context.session.close()
        await context.runner.cleanup()
        shutil.rmtree(folder)

    context.closers.append(close)


async def open_listener(context):
    async def answer(request):
        return web.Response(text="whole")

    app = web.Application()
    app.router.add_get("/", answer)
    context.runner = web.AppRunner(app)
    await context.runner.setup()
    site = web.TCPSite(
        context.runner, "127.0.0.1", 0, ssl_context=context.manager.context
    )
    await site.start()
    context.port = context.runner.addresses[0][1]
    context.session = aiohttp.ClientSession()
    await fetch(context.session, context, "127.0.0.1")


async def fetch(session, context, host):
    url = f"https://{host}:{context.port}/"
    async with session.get(url, ssl=context.trust) as response:
        assert await response.text() == "whole"


async def peer_certificate(context, host):
    """Return the DER certificate that a new connection receives."""
    _, writer = await asyncio.open_connection(
        "127.0.0.1", context.port, ssl=context.trust, server_hostname=host
    )
    seen = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    writer.close()
    return seen


@when("{change} is written")
def when_written(context, change):
    a_key = context.pairs["A"][1]
    b_cert, b_key = context.pairs["B"]
    if change == "no file at all":
        pathlib.Path(context.tls.certificate_path).unlink()
    else:
        pairs = {
            "certificate B with its key": (b_cert, b_key),
            "certificate B with A's key": (b_cert, a_key),
            "certificate B truncated": (b_cert[: len(b_cert) // 2], b_key),
            "an empty file": (b"", b_key),
        }
        write_pair(context, *pairs[change])
    context.manager.reload()


@then("a new connection by {address} sees certificate {name}")
def then_sees(context, address, name):
    host = "localhost" if address == "name" else "127.0.0.1"
    seen = context.loop.run_until_complete(peer_certificate(context, host))
    assert ssl.DER_cert_to_PEM_cert(seen).encode() == context.pairs[name][0]


@then("the connection opened before still works")
def then_old_works(context):
    context.loop.run_until_complete(fetch(context.session, context, "127.0.0.1"))


@then("no listener can be made of it")
def then_refused(context):
    assert isinstance(make_tls_manager("callers", context.tls), Failure)
