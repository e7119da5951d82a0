"""A TCP relay that can stop forwarding on open connections without closing them."""

import asyncio


class Relay:
    def __init__(self, endpoint):
        host, _, port = endpoint.removeprefix("tcp://").rpartition(":")
        self.target = (host, int(port))
        self.n_connections = 0
        self.forgotten_until = 0
        self.tasks = []
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.endpoint = f"tcp://127.0.0.1:{port}"

    async def stop(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def forget(self):
        self.forgotten_until = self.n_connections

    async def accept(self, reader, writer):
        self.n_connections += 1
        number = self.n_connections
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        self.writers += [writer, far_writer]
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            self.tasks.append(asyncio.create_task(self.pump(number, source, sink)))

    async def pump(self, number, source, sink):
        while data := await source.read(65536):
            if number > self.forgotten_until:
                sink.write(data)
