"""The connection on which a media server tells the end of a session is reset; another one to that server is in use."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standin import *  # noqa: E402,F403

SESSION, LOAD = 0x5E55100000000001, 0x10AD000000000000
END_TOLD_WITHIN_S = 8.05  # 8 s, and 50 ms as for each time limit


async def play(record, folder, trouble):
    servers = [MediaServer(record, 0x00C41F00 + n, n) for n in range(3)]
    networks = []
    for server in servers:
        server.length_s = lambda session: None if session == SESSION else 3.0
        await server.start()
        network = Proxy(record, f"network to {server.name}", server.port)
        await network.start()
        server.listed_port = network.port
        networks.append(network)
    coordinator = Coordinator(record)
    await coordinator.start()
    coordinator.announce(1, servers)
    node = FrontNode(record, folder, coordinator.port, servers, settings(3))
    try:
        viewers = Viewers(record, node.port)
        await node.ready(viewers)
        viewer = await viewers.connect()
        began = record.now()
        viewer.set_up(SESSION, "briefing", 0, 3, hint_ms=4500)
        await asyncio.sleep(0.5)
        holder = next((n for n, server in enumerate(servers) if SESSION in server.standing), None)
        if holder is None:
            raise CannotRun("the session was not set up")
        server, network = servers[holder], networks[holder]
        # Its media server is the least loaded one, so that it has its part of the later set-ups.
        for other in servers:
            other.load = 0.1 if other is server else 0.5
        link = max(network.links)
        # After 2 s of quiet the front node opens a second connection to the media server by itself.
        await sleep_until(record, began + 2.4)
        stop = asyncio.Event()

        async def usual_viewers():
            number = 1
            while not stop.is_set():
                viewer.set_up(LOAD + number, "briefing", 0, 3, hint_ms=3000)
                number += 1
                await asyncio.sleep(0.25)

        task = asyncio.ensure_future(usual_viewers())
        await sleep_until(record, began + 3.5)
        record(f"connections to {server.name}: {sorted(network.links)}; the session was set up on {link}")
        if len(network.links) < 2:
            raise CannotRun("the front node has no second connection to the media server")
        if trouble:
            network.cut_at_next(link)
        server.end(SESSION)
        ended = record.now()
        await sleep_until(record, ended + 12.0)
        stop.set()
        await task
        told = [at for at, _ in viewers.releases.get(SESSION, [])]
        asked = [s for s in viewers.sent if s != SESSION]
        served = [s for s in asked if viewers.answers.get(s, [(0, None)])[0][1] is not None
                  and viewers.answers[s][0][1].kind == ANSWER]
        record(f"later set-ups: {len(asked)} asked, {len(served)} served; connections to {server.name} since the start: "
               f"{server.last_connection}")
        record(f"session {SESSION:016x} ended at {ended:.3f} s; its viewer was told at {told}")
        if SESSION not in viewers.answers or viewers.answers[SESSION][0][1].kind != ANSWER:
            raise CannotRun("the session was not served")
        if not told or told[0] > ended + END_TOLD_WITHIN_S:
            return [f"session {SESSION:016x} ended at {ended:.3f} s, and its viewer was not told within "
                    f"{END_TOLD_WITHIN_S} s, nor by {record.now():.3f} s"]
        return []
    finally:
        node.stop()


main(FOLDER, play)
