"""The forwarder fails as a host or a network does: the soak relies on it."""

import asyncio
import unittest

from .harness import Forwarder

TIMEOUT_S = 5
SILENCE_S = 0.3


class ForwarderTests(unittest.IsolatedAsyncioTestCase):
    """Connections through a forwarder to a server that echoes."""

    async def asyncSetUp(self):
        self.server_readers = []
        server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.forwarder = await Forwarder.start()
        self.addAsyncCleanup(self.forwarder.aclose)
        host, port = server.sockets[0].getsockname()
        self.forwarder.target = f"{host}:{port}"

    async def echo(self, reader, writer):
        self.server_readers.append(reader)
        try:
            while data := await reader.read(100):
                writer.write(data)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def connect(self):
        host, port = self.forwarder.address.split(":")
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def call(self, connection):
        reader, writer = connection
        writer.write(b"ping")
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.read(100)

    async def check_refused(self):
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()

    async def check_works(self):
        self.assertEqual(b"ping", await self.call(await self.connect()))

    async def test_refused_connections(self):
        # cut() accepts them first, so nothing was ever refused in the soak.
        connection = await self.connect()
        await self.call(connection)
        self.forwarder.refuse()
        await self.check_refused()
        with self.assertRaises(ConnectionResetError):
            await self.call(connection)
        self.forwarder.heal()
        await self.check_works()

    async def test_open_connections_work_while_new_ones_are_refused(self):
        connection = await self.connect()
        await self.call(connection)
        self.forwarder.refuse_new()
        await self.check_refused()
        self.assertEqual(b"ping", await self.call(connection))

    async def test_connections_are_refused_until_the_target_is_up(self):
        # heal() of another fault must not end it.
        self.forwarder.is_target_down = True
        self.forwarder.refuse()
        self.forwarder.heal()
        await self.check_refused()
        self.forwarder.is_target_down = False
        await self.check_works()

    async def test_faults_that_begin_as_others_end(self):
        # A reopening listener ignored the next refuse().
        for _ in range(3):
            self.forwarder.refuse()
            self.forwarder.heal()
        self.forwarder.refuse()
        await self.check_refused()
        self.forwarder.heal()
        await self.check_works()

    async def test_late_accepts(self):
        self.forwarder.accept_late()
        connection = await self.connect()
        answer = asyncio.create_task(self.call(connection))
        await asyncio.sleep(SILENCE_S)
        self.assertFalse(answer.done())
        self.forwarder.heal()
        self.assertEqual(b"ping", await answer)
        await self.check_works()

    async def test_the_target_is_not_told_that_callers_are_lost(self):
        connection = await self.connect()
        await self.call(connection)
        self.forwarder.lose_callers()
        with self.assertRaises(ConnectionResetError):
            await self.call(connection)
        await asyncio.sleep(SILENCE_S)
        (at_server,) = self.server_readers
        self.assertFalse(at_server.at_eof())
        await self.check_works()
        self.forwarder.heal()
        async with asyncio.timeout(TIMEOUT_S):
            while not at_server.at_eof():
                await asyncio.sleep(0.01)

    async def test_callers_are_not_told_that_the_target_is_lost(self):
        connection = await self.connect()
        await self.call(connection)
        self.forwarder.lose_target()
        answer = asyncio.create_task(self.call(connection))
        await asyncio.sleep(SILENCE_S)
        self.assertFalse(answer.done())
        self.forwarder.heal()
        with self.assertRaises((ConnectionResetError, AssertionError)):
            self.assertEqual(b"ping", await answer)

    async def test_a_reset_in_the_middle_of_an_answer(self):
        reader, writer = await self.connect()
        self.forwarder.cut_answers()
        writer.write(b"ping")
        with self.assertRaises((asyncio.IncompleteReadError, ConnectionResetError)):
            async with asyncio.timeout(TIMEOUT_S):
                await reader.readexactly(4)


if __name__ == "__main__":
    unittest.main()
