"""Stand-ins for the platform around one front node: media servers, coordinator, viewers, and a proxy that can
reset a connection. Python's standard library only; every address is in 127.0.0.0/8.

They follow PROTOCOL.md: binary messages, a coordinator of numbered frames, media servers whose standing sessions
belong to no connection and which send a release on the connection of the set-up, or else on any open one, and once
more on the next connection that is opened.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

SET_UP, ANSWER, RELEASE, RELEASE_HEARD, NOTE, MOVE, TEST, TEST_RESULT, RUNG = 1, 9, 12, 16, 44, 51, 52, 53, 60
CLASS, WAIT, TITLE, FIELDS, HOLD_OFF, NOTE_KIND, REPORT, HINT, RUNG_NO, NOTE_VALUE, CAUSE, DESCRIPTION = (
    3, 6, 15, 18, 21, 24, 30, 33, 36, 39, 45, 48)
NAMES = {1: "set-up", 6: "progress", 9: "answer", 12: "release", 16: "release heard", 44: "note", 51: "move",
         52: "test", 53: "test result", 60: "rung"}
NOTE_EVERY_S = 3.0  # `reports_every_ms` of the settings below; "every 2.3 to 4.8 s" (BRIEF, kursfeld-campus, 7.7)
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def encode(kind, session, params=()):
    body = bytes([kind]) + struct.pack(">Q", session)
    for code, value in params:
        value = value.encode() if isinstance(value, str) else bytes(value)
        body += bytes([code]) + struct.pack(">H", len(value)) + value
    return struct.pack(">H", len(body)) + body


class Message:
    def __init__(self, kind, session, params):
        self.kind, self.session, self.params = kind, session, params

    def text(self, code):
        return self.params.get(code, b"").decode("latin-1")

    @property
    def cause(self):
        return self.params[CAUSE][0] if self.params.get(CAUSE) else None

    def __str__(self):
        extra = "" if self.cause is None else f" cause {self.cause}"
        if NOTE_KIND in self.params:
            extra += f" {self.text(NOTE_KIND)}={self.text(NOTE_VALUE)}"
        if self.kind == SET_UP:
            extra += f" class {self.text(CLASS)} wait {self.text(WAIT)}"
        return f"{NAMES.get(self.kind, self.kind)} {self.session:016x}{extra}"


def decode(body):
    kind, session, at, params = body[0], struct.unpack(">Q", body[1:9])[0], 9, {}
    while at < len(body):
        size = struct.unpack(">H", body[at + 1:at + 3])[0]
        params[body[at]] = body[at + 3:at + 3 + size]
        at += 3 + size
    return Message(kind, session, params)


async def read_message(reader):
    size = struct.unpack(">H", await reader.readexactly(2))[0]
    return decode(await reader.readexactly(size))


def reset(writer):
    """Ends a connection by a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Record:
    """Everything that was sent, answered and run, with the time in seconds since the start of the script."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


async def sleep_until(record, at):
    await asyncio.sleep(max(0.0, at - record.now()))


def free_port(host="127.0.0.1"):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class MediaServer:
    """A sound media server. `work_s` is the time of a set-up; `length_s` gives the length of a session."""

    def __init__(self, record, number, cell, work_s=0.06, length_s=None, note_every_s=NOTE_EVERY_S):
        self.record, self.id, self.cell = record, number, cell
        self.work_s, self.length_s, self.note_every_s = work_s, length_s, note_every_s
        self.load = 0.2                 # what is asked of its link over what the link gives
        self.connections = []           # (number, writer)
        self.standing = {}              # session -> connection number of its set-up
        self.open_set_ups = {}          # session -> connection number
        self.owed_releases = []         # sent once more on the next connection that is opened
        self.set_ups = []               # (time, session, connection number)
        self.refused = []               # sessions of set-ups that were refused, and so never ran
        self.released = {}              # session -> (time, cause): the end that the server told
        self.cut_by_front_node = {}     # session -> time
        self.last_connection = 0
        self.hangs = False
        self.on_set_up = None           # replaces the usual handling of a set-up
        self.server = None
        self.port = None

    @property
    def name(self):
        return f"s-{self.id:08x}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.record(f"{self.name} listens at 127.0.0.1:{self.port}")
        if self.note_every_s:
            asyncio.ensure_future(self.send_notes())

    def send(self, number, kind, session, params=()):
        """On this connection if it is open, or else on any open one."""
        open_ones = dict(self.connections)
        writer = open_ones.get(number) or (self.connections[-1][1] if self.connections else None)
        if writer is None:
            self.record(f"{self.name} has no connection for {decode(encode(kind, session, params)[2:])}")
            return
        if kind == RELEASE and session in self.open_set_ups:
            self.open_set_ups.pop(session)
            if any(code == CAUSE and bytes(value)[0] in (34, 102) for code, value in params):
                self.refused.append(session)
        used = number if number in open_ones else self.connections[-1][0]
        self.record(f"{self.name} c{used} > {decode(encode(kind, session, params)[2:])}")
        writer.write(encode(kind, session, params))

    async def serve(self, reader, writer):
        self.last_connection += 1
        number = self.last_connection
        self.connections.append((number, writer))
        self.record(f"{self.name} c{number} opened")
        owed, self.owed_releases = self.owed_releases, []
        for session, cause in owed:
            self.record(f"{self.name} c{number} > release {session:016x} cause {cause} (once more)")
            writer.write(encode(RELEASE, session, [(CAUSE, [cause])]))
        try:
            while True:
                message = await read_message(reader)
                self.record(f"{self.name} c{number} < {message}")
                self.handle(number, message)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.record(f"{self.name} c{number} closed")
        self.connections = [(n, w) for n, w in self.connections if n != number]
        for session in [s for s, n in self.open_set_ups.items() if n == number]:
            del self.open_set_ups[session]      # given up with its connection
        writer.close()

    def handle(self, number, message):
        session = message.session
        if message.kind == SET_UP:
            self.set_ups.append((self.record.now(), session, number))
            self.open_set_ups[session] = number
            if self.on_set_up:
                self.on_set_up(number, message)
            else:
                asyncio.ensure_future(self.answer(number, message))
        elif message.kind == RELEASE:
            if session in self.open_set_ups:
                del self.open_set_ups[session]
                self.send(number, RELEASE_HEARD, session)
            elif session in self.standing:
                del self.standing[session]
                self.cut_by_front_node[session] = self.record.now()
                self.released[session] = (self.record.now(), 31)
                self.send(number, RELEASE, session, [(CAUSE, [31])])
            else:
                self.send(number, RELEASE_HEARD, session)
        elif message.kind == TEST:
            self.send(number, TEST_RESULT, session, [(CAUSE, [1]), (REPORT, f"active:{len(self.standing)};x0:{self.load}")])

    async def answer(self, number, message):
        await asyncio.sleep(self.work_s)
        session = message.session
        if self.open_set_ups.get(session) != number:
            return
        del self.open_set_ups[session]
        self.standing[session] = number
        self.send(number, ANSWER, session, [(DESCRIPTION, f"{self.name} plays {session:016x}"),
                                            (REPORT, f"active:{len(self.standing)};x0:{self.load}")])
        length = self.length_s(session) if self.length_s else None
        if length is not None:
            await asyncio.sleep(length)
            self.end(session)

    def end(self, session, cause=16):
        """The session has come to its end."""
        if session not in self.standing:
            return
        number = self.standing.pop(session)
        self.released[session] = (self.record.now(), cause)
        self.owed_releases.append((session, cause))
        self.send(number, RELEASE, session, [(CAUSE, [cause]), (REPORT, f"active:{len(self.standing)};x0:{self.load}")])

    async def send_notes(self):
        while True:
            await asyncio.sleep(self.note_every_s)
            if self.standing and self.connections and not self.hangs:
                session, number = next(iter(self.standing.items()))
                self.send(number, NOTE, session, [(NOTE_KIND, "port"), (NOTE_VALUE, f"{self.load}")])


class Coordinator:
    """`delay_s` is the time from a call to its first frame."""

    def __init__(self, record):
        self.record, self.frames, self.delay_s = record, [], 0.0
        self.calls, self.changed, self.writers = 0, asyncio.Event(), []
        self.told = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def announce(self, kind, servers, state=0, born_ms=0):
        number = len(self.frames) + 1
        records = b"".join(
            struct.pack(">I4sHBBBHIQ", s.id, socket.inet_aton("127.0.0.1"), getattr(s, "listed_port", None) or s.port,
                        state, 0, 0, s.cell, 1000, born_ms) for s in servers)
        self.frames.append(struct.pack(">IQB", 9 + len(records), number, kind) + records)
        self.record(f"coordinator has event {number}: kind {kind}, state {state}, {[s.name for s in servers]}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.calls += 1
        number = self.calls
        self.writers.append(writer)
        try:
            last = struct.unpack(">Q", await reader.readexactly(8))[0]
            self.record(f"coordinator call {number} after event {last}")
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while True:
                if last < len(self.frames):
                    writer.write(self.frames[last])
                    last += 1
                    self.record(f"coordinator call {number} tells event {last}")
                    await writer.drain()
                    continue
                writer.write(struct.pack(">IQB", 9, last, 0))
                await writer.drain()
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), 1.0)
                except asyncio.TimeoutError:
                    pass
                if writer.transport.is_closing() or reader.at_eof():
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.record(f"coordinator call {number} ended")
        writer.close()


class Proxy:
    """Carries connections to one port. `cut(link)` resets a link on both sides; `cut_at_next(link)` does so when the
    next bytes come down on it, and these are lost with it."""

    def __init__(self, record, name, port):
        self.record, self.name, self.to = record, name, port
        self.links, self.armed = {}, set()
        self.last = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.last += 1
        link = self.last
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.to)
        except OSError:
            reset(writer)
            return
        self.links[link] = (writer, up_writer)
        await asyncio.gather(self.pump(link, "up", reader, up_writer), self.pump(link, "down", up_reader, writer))
        self.links.pop(link, None)

    async def pump(self, link, direction, reader, writer):
        try:
            while data := await reader.read(65536):
                if direction == "down" and link in self.armed:
                    self.record(f"{self.name}: link {link} is reset, {len(data)} bytes on their way are lost with it")
                    self.cut(link)
                    return
                writer.write(data)
                await writer.drain()
            if not writer.transport.is_closing():
                writer.write_eof()
        except (ConnectionError, OSError, RuntimeError):
            if link in self.links:
                self.cut(link)

    def cut_at_next(self, link):
        self.armed.add(link)

    def cut(self, link):
        ends = self.links.pop(link, None)
        if ends:
            self.record(f"{self.name} link {link} is reset on both sides")
            for writer in ends:
                reset(writer)


class Viewers:
    """The side of the viewers: connections to the front node, and what came back for each session."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.answers, self.releases, self.moves, self.sent = {}, {}, {}, {}
        self.ended = {}
        self.last = 0

    async def connect(self, port=None):
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.port)
        self.last += 1
        connection = Connection(self, self.last, reader, writer)
        connection.task = asyncio.ensure_future(connection.listen())
        return connection


class Connection:
    def __init__(self, viewers, number, reader, writer):
        self.viewers, self.number, self.reader, self.writer = viewers, number, reader, writer
        self.closed, self.tests = asyncio.Event(), {}

    async def listen(self):
        viewers, record = self.viewers, self.viewers.record
        how = "closed"
        try:
            while True:
                message = await read_message(self.reader)
                record(f"viewer v{self.number} < {message}")
                if message.kind == ANSWER or (message.kind == RELEASE and message.session not in viewers.answers):
                    viewers.answers.setdefault(message.session, []).append((record.now(), message))
                elif message.kind == RELEASE:
                    viewers.releases.setdefault(message.session, []).append((record.now(), message))
                elif message.kind == MOVE:
                    viewers.moves.setdefault(message.session, []).append((record.now(), message))
                elif message.kind == TEST_RESULT:
                    self.tests[message.session] = message.cause
                if message.kind == RELEASE:
                    self.send(RELEASE_HEARD, message.session)
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            how = "reset" if isinstance(error, ConnectionError) else "closed"
        record(f"viewer v{self.number} {how}")
        self.closed.set()
        self.writer.close()

    def send(self, kind, session, params=()):
        data = encode(kind, session, params)
        self.viewers.record(f"viewer v{self.number} > {decode(data[2:])}")
        self.writer.write(data)

    def set_up(self, session, klass, home, copies, top=4, wait_ms=4000, hint_ms=30000, title=None, viewer=None):
        self.viewers.sent.setdefault(session, self.viewers.record.now())
        self.send(SET_UP, session, [
            (CLASS, klass), (WAIT, str(wait_ms)), (TITLE, f"{title if title is not None else home:016x}"),
            (HINT, f"{hint_ms:.1f}"),
            (FIELDS, f"home:{home};copies:{copies};top:{top};viewer:{viewer if viewer is not None else session:016x}"),
            (DESCRIPTION, "offer")])


def settings(cells, fronts=2):
    """The settings of a small deployment, with the figures of kursfeld-campus."""
    return {
        "balancers": fronts, "zone": 0, "localities": ["east-wing"], "host_types": ["small-2c"], "position": 0,
        "discovery": "push", "service_type": "streams", "counted_by": "request", "weight_kind": "nominal",
        "classes": [
            {"name": "briefing", "aim_ms": 1500.0, "deadline_ms": 4000.0, "effect": "idempotent", "gain": 1.0,
             "group": "all", "late_worth": 0.0, "stream": True, "window_ms": 5000.0},
            {"name": "adviser-signoff", "aim_ms": 1000.0, "deadline_ms": 4000.0, "effect": "at_most_once", "gain": 3.0,
             "group": "all", "late_worth": 0.0, "stream": True, "window_ms": 5000.0}],
        "domain": {
            "change_costs_s": 0.7, "is_live": [False, False], "kb_per_weight": 6000.0, "kind_streams": [22],
            "links_kb": 6000.0 * cells, "lowest_rung": [0, 1], "positions": cells, "racks": 1,
            "rate_factor": [1.0, 1.0], "refuses_from": 0.0, "reports_every_ms": NOTE_EVERY_S * 1000,
            "rung_kb": [200.0, 380.0, 640.0, 1080.0, 1820.0], "seats": [0, 0], "seen_after_ms": 800.0,
            "shared_adds": 1.0, "stall_cost": 7.0, "top_by_class": [2, 4], "uplink_kb": 6000.0 * cells,
            "worth_by_rung": [0.2, 0.4, 0.6, 0.8, 1.0]},
        "load_report": {"names": ["active", "x0"], "source": "answers"},
        "policy_limits": {"cancel": True, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0, "max_attempts": 4,
                          "max_retry_after_ms": 1000.0, "max_streams": 32, "may_duplicate": False, "peers": False,
                          "probes": True, "retry_after": True},
        "prices": {"cross_zone": 0.02, "moves": 0.05, "probe": 0.01, "late_fail": 0.08},
        "safety": {"answer_slack_ms": 40.0, "cold_from": 0.4, "drain_grace_ms": 2000.0, "fall_ms": 1500.0,
                   "fall_multiple": 3.0, "warm_up_ms": 8000.0},
        "tick_ms": 10.0}


class FrontNode:
    """One front node, started by the command `run` of deploy/balancer.toml."""

    started = []

    def __init__(self, record, folder, coordinator_port, servers, node_settings, sockets=256):
        self.record, self.port = record, free_port()
        text = open(os.path.join(ROOT, "deploy", "balancer.toml")).read()
        command = re.search(r'^run = "(.*?)"', text, re.M).group(1)
        hosts = [{"host": s.name, "dial": f"127.0.0.1:{getattr(s, 'listed_port', None) or s.port}",
                  "site": node_settings["localities"][0], "class": node_settings["host_types"][0], "block": s.cell,
                  "health": "active", "share": 1, "born_ms": 0} for s in servers]
        config = {"name": "n1", "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                  "coordinator": f"127.0.0.1:{coordinator_port}",
                  "known": {"index": 1, "updates": [{"index": 1, "endpoints": {"seq": 1, "whole": True, "hosts": hosts}}]},
                  "settings": node_settings}
        self.config = os.path.join(folder, "config.json")
        with open(self.config, "w") as file:
            json.dump(config, file)
        env = dict(os.environ, GW_NAME="n1", GW_LISTEN=f"127.0.0.1:{self.port}", GW_CONFIG=self.config, TMPDIR=folder)
        self.log_path = os.path.join(folder, "front-node.log")
        self.log = open(self.log_path, "w")
        level = os.environ.get("NODE_LOG")
        if level:
            command += f" --log-level {level}"
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        FrontNode.started.append(self.process)
        record(f"front node started by: {command}")

    async def ready(self, viewers, within_s=10.0):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"the front node ended with {self.process.returncode}")
            try:
                connection = await viewers.connect(self.port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            connection.send(TEST, 1, [(CAUSE, [0])])
            for _ in range(30):
                await asyncio.sleep(0.02)
                if 1 in connection.tests:
                    break
            passed = connection.tests.get(1) == 1
            connection.writer.close()
            if passed:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the front node is not ready")

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class CannotRun(Exception):
    pass


def end_all(status):
    """Ends the processes that were started, and this one; open connections of stand-ins need no further care."""
    for process in FrontNode.started:
        if process.poll() is None:
            process.kill()
            process.wait()
    sys.stdout.flush()
    os._exit(status)


def main(folder, play):
    """Runs `play(record, folder, trouble)`, which returns the broken rules. Exits with 10 if there are any, 0 if the
    rule held, and 2 if the case could not run; run.sh takes any other status for the last."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record(f"trouble {'on' if trouble else 'off'}")
    with tempfile.TemporaryDirectory() as temporary:
        status, broken = 0, []
        loop = asyncio.new_event_loop()
        signal.signal(signal.SIGTERM, lambda *_: end_all(2))
        try:
            broken = loop.run_until_complete(asyncio.wait_for(play(record, temporary, trouble), 100))
            status = 10 if broken else 0
        except Exception as error:  # nothing was shown: the case could not run
            record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            status = 2
        log = os.path.join(temporary, "front-node.log")
        if os.environ.get("KEEP_LOG") and os.path.exists(log):
            shutil.copy(log, os.environ["KEEP_LOG"])
    for line in broken:
        record(f"BROKEN: {line}")
        print(f"broken: {line}")
    if status != 2:
        record("rule broken" if broken else "rule held")
    if status == 0:
        print("rule held")
    end_all(status)
