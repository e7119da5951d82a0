"""Serve a stand-in's model over HTTP and connect the real client to it."""

from aiohttp import web

TIMEOUT_SECONDS = 0.3
SLOW_SECONDS = 0.8


async def serve(context, app):
    """Serve ``app`` on a free port and return its base address."""
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    context.closers.append(runner.cleanup)
    context.stop_serving = runner.cleanup
    return f"http://127.0.0.1:{runner.addresses[0][1]}"


def reach(context, implementation, model, make_app, make_client):
    """Return the model itself, or a client that reaches it over a socket."""
    if implementation == "memory":
        return model

    async def connect():
        url = await serve(context, make_app(model))
        return make_client(url, TIMEOUT_SECONDS)

    client = context.loop.run_until_complete(connect())
    context.closers.append(client.close)
    return client
