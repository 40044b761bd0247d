"""A media server is replaced at its address; the list tells the new one's start before the old one's end."""
import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from platform2 import *  # noqa

HERE = os.path.dirname(os.path.abspath(__file__))
TITLE = 0x7F3A9C21E0B4D655
OTHER = 0x11EEC0DE55AA0042


async def play(case):
    safety, domain = case.settings["safety"], case.settings["domain"]
    for cell in range(12):
        case.server(0x100 + cell, cell)
    if not await case.start():
        return 2, "a front node was not ready"
    fronts = case.fronts
    # Sessions of another title play at the two other holders: the crowd finds the third one the least loaded.
    for _ in range(14):
        for front in fronts:
            front.viewers.open("briefing", OTHER, 1, 2)
        await asyncio.sleep(0.25)
    await asyncio.sleep(6.0)
    old = case.servers[0]
    old.die()
    await asyncio.sleep(0.3)
    new = case.server(0x900, 0, ports=old.ports, born_ms=int(time.time() * 1000))
    await new.start()
    started = case.record.now()
    await asyncio.sleep(0.4)
    for front in fronts:
        # notice_s of the site: 1.1 to 4.9 s after the end of a server; add_s: 0.28 to 2 s after a start.
        front.coordinator.tell([(new, READY)] if case.trouble else [(old, GONE), (new, READY)])
    told = case.record.now()
    await asyncio.sleep(0.6)
    # The crowd: 20 set-ups a second at each front node.
    for _ in range(50):
        for front in fronts:
            front.viewers.open("briefing", TITLE, 0, 3)
        await asyncio.sleep(0.05)
    if case.trouble:
        for front in fronts:
            front.coordinator.tell([(old, GONE)])
        case.record.add("list", "the end of the old server told", after_its_end_ms=int(case.record.now() - started + 300))
    await asyncio.sleep(3.0)
    # What the settings allow: places over the warm-up, times the share warmed, times the multiple, in the window.
    window, worst = safety["fall_ms"], None
    times = sorted(at for at, _, _ in new.set_ups if at >= told + 50.0)
    for index, begin in enumerate(times):
        count = sum(begin <= at < begin + window for at in times[index:])
        age = begin + window - started
        warmth = safety["cold_from"] + (1 - safety["cold_from"]) * min(1.0, age / safety["warm_up_ms"])
        allowed = safety["fall_multiple"] * domain["kind_streams"][0] / safety["warm_up_ms"] * warmth * window
        limit = allowed + (3 * allowed ** 0.5 + 3 if allowed < 30 else 2 * allowed ** 0.5 + 2)
        if worst is None or count - limit > worst[0] - worst[1]:
            worst = (count, limit, begin, allowed)
    if worst is None:
        return (0, "the started server got no set-up")
    text = (f"{worst[0]} set-ups in {window:.0f} ms from {worst[2] - started:.0f} ms after its start, N = {worst[3]:.1f}, "
            f"it falls over at more than {worst[1]:.1f}; all from front nodes told of its start; {len(times)} in all")
    return (1 if worst[0] > worst[1] else 0), text


Case(HERE, kursfeld_settings(2), 15.0, 4800.0, fronts=2).run(play)
