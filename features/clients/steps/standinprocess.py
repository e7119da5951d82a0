"""The platform's store and its servers in a process of their own.

It prints the address of the store, and runs until its standard input is closed.
"""

import asyncio
import json
import sys

from lycheepost.app.platformfleet import PlatformFleet, make_configuration
from lycheepost.platform.models.serverstandin import PlatformServer

N_PLAIN = 3
N_ENGINES = 2
MAX_BODY_BYTES = 4 * 1024 * 1024


class ForgetfulServer(PlatformServer):
    """A server that keeps no record of what it ran, which may be many megabytes."""

    def _record(self, request, body):
        pass

    def _note_arrival(self, request):
        pass


async def run(is_configured):
    fleet = PlatformFleet()
    await fleet.start(0, 0, 0, is_configured=False)
    for service, model, n in (("plain", "", N_PLAIN), ("llm", "m0", N_ENGINES)):
        for _ in range(n):
            await fleet.add_server(ForgetfulServer(service, model))
    if is_configured:
        configuration = make_configuration()
        configuration["limits"] = {"max_body_bytes": MAX_BODY_BYTES}
        fleet.configure(configuration)
    port = int(fleet.store.url.rpartition(":")[2])
    print(json.dumps({"store_port": port}), flush=True)
    await asyncio.to_thread(sys.stdin.read)
    await fleet.stop()


if __name__ == "__main__":
    asyncio.run(run(is_configured="unconfigured" not in sys.argv))
