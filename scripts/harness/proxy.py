"""Loopback proxies whose links can be delayed, reset, cut in one direction or silenced."""

import asyncio

CHUNK_BYTES = 64 * 1024


class Link:
    """All connections from one process to an address. The faults are switched while it runs."""

    def __init__(self, target):
        self.target = target
        self.delay = 0.0  # Seconds that each chunk is held up.
        self.open = {"up": asyncio.Event(), "down": asyncio.Event()}
        for event in self.open.values():
            event.set()
        self.pumps = set()
        self.silenced = set()  # Connections on which nothing arrives any more.
        self.server = None

    def close(self):
        self.server.close()
        self.reset()

    async def listen(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        return self.server.sockets[0].getsockname()[1]

    def cut(self, directions):
        for direction in directions:
            self.open[direction].clear()

    def heal(self):
        self.delay = 0.0
        for event in self.open.values():
            event.set()

    def reset(self):
        """Resets all open connections; new ones work."""
        for writer in list(self.pumps):
            writer.transport.abort()

    def silence(self):
        """Open connections stay open without a byte; new ones work."""
        self.silenced |= self.pumps

    async def _serve(self, reader, writer):
        try:
            for event in self.open.values():
                await event.wait()
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        await asyncio.gather(self._pump("up", reader, up_writer),
                             self._pump("down", up_reader, writer), return_exceptions=True)

    async def _pump(self, direction, reader, writer):
        self.pumps.add(writer)
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self.open[direction].wait()
                if writer in self.silenced:
                    continue
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self.pumps.discard(writer)
            self.silenced.discard(writer)
            writer.close()
