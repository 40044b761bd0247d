"""A paid set-up crosses the end of its resting connection, and is sent once more on a new one."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standin import *  # noqa: E402,F403

EARLIER, PAID = 0x5E55100000000001, 0x5E55100000000002
CROSSING_S = 0.050  # a set-up that crosses the end by this is sent once more


async def play(record, folder, trouble):
    servers = [MediaServer(record, 0x00C41F00 + n, n, work_s=0.1) for n in range(3)]
    for server in servers:
        server.length_s = lambda session: 0.5 if session == EARLIER else 8.0
        await server.start()
    coordinator = Coordinator(record)
    await coordinator.start()
    coordinator.announce(1, servers)
    node = FrontNode(record, folder, coordinator.port, servers, settings(3))
    try:
        viewers = Viewers(record, node.port)
        await node.ready(viewers)
        network = Proxy(record, "network of the viewers", node.port)
        await network.start()
        first = await viewers.connect(network.port)
        # An earlier session comes to its end; from then on the connection rests.
        first.set_up(EARLIER, "briefing", 0, 3)
        await asyncio.sleep(1.6)
        if EARLIER not in viewers.releases:
            raise CannotRun("the earlier session did not come to its end")
        link = max(network.links)
        first.set_up(PAID, "adviser-signoff", 0, 3)
        sent = record.now()
        arrived = lambda: any(session == PAID for server in servers for _, session, _ in server.set_ups)
        while not arrived() and record.now() < sent + 2.0:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.02)
        if trouble:
            network.cut(link)
            await first.closed.wait()
            if record.now() > sent + CROSSING_S:
                raise CannotRun("the set-up did not cross the end of its connection by 50 ms")
            second = await viewers.connect(network.port)
            second.set_up(PAID, "adviser-signoff", 0, 3)
        await asyncio.sleep(5.0)
        runs = sorted((round(at, 3), server.name) for server in servers for at, session, _ in server.set_ups
                      if session == PAID)
        # The rule's excuse: an attempt that a media server refused never ran, and may be followed by another.
        never_ran = sum(server.refused.count(PAID) for server in servers)
        record(f"set-ups of paid session {PAID:016x} at media servers: {runs}, proven never to have run: {never_ran}")
        record(f"answers to the viewer: {[str(m) for _, m in viewers.answers.get(PAID, [])]}")
        if not runs:
            raise CannotRun("the paid set-up reached no media server")
        if len(runs) - never_ran > 1:
            return [f"paid session {PAID:016x} was set up {len(runs)} times, {never_ran} of them proven never to have run: {runs}"]
        return []
    finally:
        node.stop()


main(FOLDER, play)
