"""A bad client hands over sessions under ever new ids, at full speed, for some seconds."""
import asyncio
import os
import subprocess
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from platform2 import *  # noqa

HERE = os.path.dirname(os.path.abspath(__file__))
WATCHED = 0x7F3A9C21E0B4D655
FLOOD_S = float(os.environ.get("FLOOD_S", "3"))
MEMORY_MB = 192
WATCH_S = 28.0  # after the flood


def flood(host, port, server):
    """One connection, set-ups that name sessions no media server holds; whatever comes is read."""
    import select
    one = socket.create_connection((host, port))
    one.setblocking(False)
    until, number, sent, back = time.time() + FLOOD_S, int.from_bytes(os.urandom(4), "big") << 32, 0, b""
    data = memoryview(b"")
    while time.time() < until:
        if not data:
            batch = []
            for _ in range(400):
                number += 1
                fields = f"home:0;copies:3;top:2;viewer:{number:016x};at:s-{server:08x}"
                batch.append(message(SET_UP, number, [(CLASS, "briefing"), (WAIT, 4000), (TITLE, f"{WATCHED:016x}"),
                                                      (FIELDS, fields), (DESCRIPTION, b"offer")]))
            sent += 400
            data = memoryview(b"".join(batch))
        ready, writable, _ = select.select([one], [one], [], 0.5)
        if ready:
            try:
                if not one.recv(1 << 16):
                    break
            except OSError:
                break
        if writable:
            try:
                data = data[one.send(data):]
            except BlockingIOError:
                pass
            except OSError:
                break
    print(sent, flush=True)


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS")) / 1024.0


async def play(case):
    for cell in range(12):
        case.server(0x100 + cell, cell)
    if not await case.start():
        return 2, "a front node was not ready"
    front, record, viewers = case.fronts[0], case.record, case.fronts[0].viewers
    pid = front.process.pid
    # A few usual sessions play.
    for _ in range(6):
        first = viewers.open("briefing", WATCHED, 0, 3)
        await asyncio.wait_for(first["answered"], 5)
    await asyncio.sleep(1.0)
    record.add("front0", "memory", mb=f"{resident_mb(pid):.1f}")
    bad = None
    if case.trouble:
        bad = subprocess.Popen([sys.executable, os.path.abspath(__file__), "flood", HOST, str(front.port), "256"],
                               stdout=subprocess.PIPE, text=True)
        case.children.append(bad)
        record.add("bad client", "hands over unknown sessions at full speed")
    most = 0.0
    began = time.time()
    usual, heard_at, silent_s = [], time.time(), 0.0
    viewers.tested = None
    while time.time() < began + FLOOD_S + WATCH_S:
        if viewers.tested is not None:
            heard_at, viewers.tested = time.time(), None
        silent_s = max(silent_s, time.time() - heard_at)
        viewers.wire.write(message(TEST, 1, [(CAUSE, b"\x00")]))
        await asyncio.sleep(0.25)
        if time.time() < began + FLOOD_S + 6 and viewers.wire.open:
            # Usual viewers go on, four a second.
            usual.append(viewers.open("briefing", WATCHED, 0, 3))
        if front.ended_by_itself():
            return 1, "the front node ended"
        now = resident_mb(pid)
        if now > most + 4:
            record.add("front0", "memory", mb=f"{now:.1f}")
        most = max(most, now)
    sent = int(bad.communicate()[0] or 0) if bad else 0
    unanswered = sum(not request["heard"] or request["heard"][0][0] > request["sent"] + request["patience"] + 550.0
                     for request in usual)
    record.add("judge", "usual viewers", asked=len(usual), unanswered_in_time=unanswered)
    text = f"{sent} set-ups of the bad client in {FLOOD_S:.0f} s; the front node held {most:.0f} MB of its {MEMORY_MB} MB"
    text += f"; it answered no test for up to {silent_s:.1f} s; {unanswered} of {len(usual)} usual viewers had no answer half a second after their time"
    return (1 if most > MEMORY_MB or silent_s > 20.0 or unanswered else 0), text


if len(sys.argv) > 1 and sys.argv[1] == "flood":
    flood(sys.argv[2], int(sys.argv[3]), int(sys.argv[4]))
else:
    Case(HERE, kursfeld_settings(1), 15.0, 4800.0).run(play)
