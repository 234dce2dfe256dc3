"""TCP forwarders that simulate network faults: cut, delayed, reset and silenced connections."""

import asyncio
import threading

CHUNK_BYTES = 64 * 1024


class Link:
    """A group of forwarders that have faults in common. While a direction is cut, its bytes wait in
    kernel buffers: both ends have open connections on which nothing arrives."""

    def __init__(self):
        self.delay = 0.0  # Seconds by which each chunk is delayed.
        self.refuses = False  # New connections are reset.
        self.open = {"up": asyncio.Event(), "down": asyncio.Event()}
        for event in self.open.values():
            event.set()
        self.writers = set()
        self.silenced = set()  # Writers whose further data is discarded.
        self.servers = []

    async def forward(self, address, on_bytes=lambda n: None):
        """Forwards a free port of 127.0.0.1 to the address (IP, PORT); returns the port."""
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, address, on_bytes),
            "127.0.0.1", 0, backlog=512)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def cut(self, directions=("up", "down")):
        for direction in directions:
            self.open[direction].clear()

    def heal(self):
        self.delay = 0.0
        self.refuses = False
        for event in self.open.values():
            event.set()

    def reset(self):
        """Resets all open connections; new connections work."""
        for writer in list(self.writers):
            writer.transport.abort()

    def refuse(self):
        """Resets all open connections and new ones."""
        self.refuses = True
        self.reset()

    def silence(self):
        """Discards further data of the open connections, which stay open; new ones work."""
        self.silenced |= self.writers

    def close(self):
        for server in self.servers:
            server.close()
        self.reset()

    async def _serve(self, reader, writer, address, on_bytes):
        if self.refuses:
            writer.transport.abort()
            return
        try:
            for event in self.open.values():
                await event.wait()
            up_reader, up_writer = await asyncio.open_connection(*address)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        await asyncio.gather(self._pump("up", reader, up_writer, on_bytes),
                             self._pump("down", up_reader, writer, on_bytes),
                             return_exceptions=True)

    async def _pump(self, direction, reader, writer, on_bytes):
        self.writers.add(writer)
        try:
            while True:
                data = await reader.read(CHUNK_BYTES)
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self.open[direction].wait()
                if not data:
                    break
                if writer in self.silenced:
                    continue
                on_bytes(len(data))
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            self.silenced.discard(writer)
            writer.close()


class Network:
    """Runs the forwarders between data centres in an event loop on a separate thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.links = {}  # (source, target): Link.
        self.bytes = {}  # Owner: number of forwarded bytes.

    def _call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def bytes_of(self, name):
        return self.bytes.get(name, 0)

    def forward(self, source, target, address, owners=()):
        """Forwards a free port of 127.0.0.1 to the address (IP, PORT) as part of the link from the
        source to the target data centre. Adds the forwarded bytes to each owner's count. Returns
        the port."""

        def count(n):
            for owner in owners:
                self.bytes[owner] = self.bytes.get(owner, 0) + n

        async def add():
            return await self.links.setdefault((source, target), Link()).forward(address, count)

        return self._call(add())

    def cut(self, name, stalled):
        """Cuts (stalled=True) or restores all links from and to a data centre."""

        async def change():
            for (source, target), link in self.links.items():
                if source != target and name in (source, target):
                    if stalled:
                        link.cut()
                    else:
                        link.heal()

        self._call(change())

    def close(self):
        async def cancel():
            for link in self.links.values():
                link.close()
            tasks = [it for it in asyncio.all_tasks() if it is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self._call(cancel())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
