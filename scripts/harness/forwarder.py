"""TCP forwarders between data centres that can be stalled, as a cut network stalls connections."""

import asyncio
import threading

CHUNK_BYTES = 64 * 1024


class Link:
    """All forwarders from one data centre to another. While stalled, bytes wait in the kernel: both
    ends see open connections on which nothing arrives."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()


class Network:
    """Runs the forwarders on a thread of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.links = {}
        self.servers = []
        self.bytes = {}  # Forwarded bytes by the names of those they belong to.

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def bytes_of(self, name):
        return self.bytes.get(name, 0)

    def forward(self, source, target, address, owners=()):
        """Forwards a free port of 127.0.0.1 to the address (IP, PORT) as part of the link of two
        names. The bytes are counted for each owner. Returns the port."""

        async def add():
            link = self.links.setdefault((source, target), Link())
            server = await asyncio.start_server(
                lambda reader, writer: self._serve(link, reader, writer, address, owners),
                "127.0.0.1", 0, backlog=512)
            self.servers.append(server)
            return server.sockets[0].getsockname()[1]

        return self._call(add())

    def cut(self, name, stalled):
        """Stalls, or lets through again, all links from and to a data centre."""

        async def change():
            for (source, target), link in self.links.items():
                if source != target and name in (source, target):
                    if stalled:
                        link.open.clear()
                    else:
                        link.open.set()

        self._call(change())

    async def _serve(self, link, reader, writer, address, owners):
        try:
            await link.open.wait()
            up_reader, up_writer = await asyncio.open_connection(*address)
            await asyncio.gather(self._pump(link, reader, up_writer, owners),
                                 self._pump(link, up_reader, writer, owners))
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def _pump(self, link, reader, writer, owners):
        try:
            while True:
                data = await reader.read(CHUNK_BYTES)
                await link.open.wait()
                if not data:
                    break
                for owner in owners:
                    self.bytes[owner] = self.bytes.get(owner, 0) + len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def close(self):
        async def cancel():
            for server in self.servers:
                server.close()
            tasks = [it for it in asyncio.all_tasks() if it is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self._call(cancel())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
