"""Stand-ins of the platform for the review cases 6 to 10: media servers, the coordinator and viewers, by the
published protocol. Python's standard library only; every address is a loopback address.

A media server listens at one address for each front node, as the pages say that the addresses by which a front
node reaches all others are set aside for it. Times in the record are milliseconds since the start of the case.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
SET_UP, PROGRESS, ANSWER, RELEASE, HEARD = 1, 6, 9, 12, 16
NOTE, MOVE, TEST, TESTED, RUNG = 44, 51, 52, 53, 60
CLASS, WAIT, TITLE, FIELDS, HOLD_OFF, NOTE_KIND = 3, 6, 15, 18, 21, 24
REPORT, HINT, RUNG_PARAM, NOTE_VALUE, CAUSE, DESCRIPTION = 30, 33, 36, 39, 45, 48
NORMAL, ON_PURPOSE, FULL, CUT, ERROR, MOOT = 16, 31, 34, 41, 47, 102
REFUSALS = (FULL, 42, MOOT)
READY, DRAINING, GONE = 0, 1, 2
STATE_NAMES = {READY: "active", DRAINING: "leaving", GONE: "left"}


def message(kind, session, params=()):
    body = struct.pack(">BQ", kind, session)
    for code, value in params:
        value = value if isinstance(value, bytes) else str(value).encode()
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def release(session, cause, params=()):
    return message(RELEASE, session, [(CAUSE, bytes([cause])), *params])


def parse(body):
    kind, session = struct.unpack(">BQ", body[:9])
    params, at = {}, 9
    while at < len(body):
        code, size = struct.unpack(">BH", body[at:at + 3])
        params[code] = body[at + 3:at + 3 + size]
        at += 3 + size
    return kind, session, params


def cause_of(params):
    value = params.get(CAUSE, b"")
    return value[0] if len(value) == 1 else None


class Record:
    """What was sent, answered and run."""

    def __init__(self):
        self.began = time.time()
        self.lines = []

    def now(self):
        return (time.time() - self.began) * 1000.0

    def add(self, who, what, **more):
        at = self.now()
        text = " ".join(f"{key}={value}" for key, value in more.items())
        self.lines.append(f"{at:10.1f} {who:<14} {what} {text}".rstrip())
        return at

    def write(self, folder):
        with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


# An address of this run's own, and ports that no outgoing connection is given.
HOST = "127.{}.{}.{}".format(*(10 + byte % 200 for byte in os.urandom(3)))


USED_PORTS = set()


def free_ports(count):
    held, ports = [], []
    while len(ports) < count:
        port = 20000 + int.from_bytes(os.urandom(2), "big") % 10000
        if port in USED_PORTS:
            continue
        USED_PORTS.add(port)
        one = socket.socket()
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            one.bind((HOST, port))
        except OSError:
            one.close()
            continue
        held.append(one)
        ports.append(port)
    for one in held:
        one.close()
    return ports


def listener(address, backlog=512):
    one = socket.socket()
    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    one.bind(address)
    one.listen(backlog)
    one.setblocking(False)
    return one


class Wire:
    """One connection: messages in, messages out."""

    def __init__(self, reader, writer):
        self.reader, self.writer, self.open = reader, writer, True
        self.held = None  # what is written while the connection is cut
        self.last_used = time.time()
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def read(self):
        """The next message, or None at the end of the connection."""
        try:
            head = await self.reader.readexactly(2)
            body = await self.reader.readexactly(struct.unpack(">H", head)[0])
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return None
        self.last_used = time.time()
        return parse(body)

    def hold(self):
        self.held = []

    def go_on(self):
        held, self.held = self.held or [], None
        for data in held:
            self.write(data)

    def write(self, data):
        if self.held is not None:
            self.held.append(data)
        elif self.open:
            self.last_used = time.time()
            try:
                self.writer.write(data)
            except (ConnectionError, OSError, RuntimeError):
                self.open = False

    def close(self):
        self.open = False
        try:
            self.writer.close()
        except (ConnectionError, OSError, RuntimeError):
            pass

    def reset(self):
        self.open = False
        sock = self.writer.get_extra_info("socket")
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except (OSError, AttributeError):
            pass
        self.writer.transport.abort()


class Session:
    def __init__(self, number, front, wire, params, at):
        self.id, self.front, self.wire, self.at = number, front, wire, at
        self.klass = params.get(CLASS, b"").decode()
        self.title = params.get(TITLE, b"").decode()
        self.rung = int(params.get(RUNG_PARAM, b"0"))


class Server:
    """A sound media server. `serve_ms` is the time of a set-up, `idle_s` the settings' idle time."""

    def __init__(self, case, number, cell, ports, places=36, serve_ms=4.0, born_ms=0, zone=0, name=None):
        self.case, self.id, self.cell, self.ports = case, number, cell, ports
        self.places, self.serve_ms, self.born_ms, self.zone = places, serve_ms, born_ms, zone
        self.name = name or f"s-{number:08x}"
        self.state = READY
        self.alive = False
        self.sessions, self.opening = {}, {}
        self.wires = {}  # front -> connections, the newest last
        self.owed = {}  # front -> releases that were not heard
        self.set_ups = []  # time and session of every set-up that has come whole
        self.released = {}  # session -> time and how it ended here
        self.cut = None  # while it is cut off: what front nodes have sent, and what it has to send
        self.fillers = []
        self.listeners, self.tasks = [], []
        self.note_at = 0

    def address(self, front):
        return (HOST, self.ports[front])

    async def start(self):
        self.alive = True
        for front, port in enumerate(self.ports):
            await self.listen(front, port)
        self.tasks.append(asyncio.create_task(self.send_notes()))
        self.case.record.add(self.name, "process starts", cell=self.cell, ports=self.ports)

    async def listen(self, front, port):
        async def accepted(reader, writer):
            await self.serve(front, Wire(reader, writer))
        self.listeners.append(await asyncio.start_server(accepted, sock=listener((HOST, port))))

    def cut_off(self):
        """Cuts the server off: open connections stay open and silent, and new ones never come up."""
        self.cut = asyncio.Event()
        self.stop_listening()
        for wires in self.wires.values():
            for wire in wires:
                wire.hold()
        for port in self.ports:
            # A listener whose queue is full: further connections are not answered.
            full = listener((HOST, port), 0)
            self.fillers.append(full)
            for _ in range(4):
                one = socket.socket()
                one.setblocking(False)
                one.connect_ex((HOST, port))
                self.fillers.append(one)
        self.case.record.add(self.name, "cut off")

    async def heal(self):
        for one in reversed(self.fillers):
            one.close()
        self.fillers = []
        for front, port in enumerate(self.ports):
            await self.listen(front, port)
        self.case.record.add(self.name, "reachable again")
        for wires in list(self.wires.values()):
            for wire in list(wires):
                wire.go_on()
        self.cut.set()
        self.cut = None

    def stop_listening(self):
        for one in self.listeners:
            one.close()
        self.listeners = []

    def die(self):
        """The process dies: its connections are reset and its sessions are cut."""
        self.alive = False
        self.stop_listening()
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        open_now = sum(wire.open for wires in self.wires.values() for wire in wires)
        for wires in self.wires.values():
            for wire in wires:
                wire.reset()
        at = self.case.record.add(self.name, "process dies", connections=open_now, cut=len(self.sessions))
        for session in self.sessions.values():
            self.released[session.id] = (at, "cut with its process")
            self.case.record.add(self.name, "session cut", session=f"{session.id:016x}")
        self.sessions, self.opening, self.wires, self.owed = {}, {}, {}, {}

    def report(self):
        values = {"active": len(self.sessions) + len(self.opening), "waiting": 0,
                  "cpu": min(1.0, self.load()), "x0": self.load(), "x1": self.load(),
                  "avg_ms": self.serve_ms, "rps": 0, "err_rps": 0}
        names = self.case.settings["load_report"]["names"]
        return ";".join(f"{name}:{values.get(name, 0)}" for name in names)

    def load(self):
        ladder = self.case.settings["domain"]["rung_kb"]
        used = sum(ladder[min(s.rung, len(ladder) - 1)] for s in self.sessions.values())
        return round(used / self.case.link_kb, 3)

    async def serve(self, front, wire):
        if not self.alive:
            return wire.reset()
        self.wires.setdefault(front, []).append(wire)
        self.case.record.add(self.name, "connection accepted", front=front)
        # An end that was not heard is sent once more on the next connection that is opened.
        for number, data in list(self.owed.get(front, {}).items()):
            self.case.record.add(self.name, "release sent again", session=f"{number:016x}")
            wire.write(data)
        idle = asyncio.create_task(self.close_if_idle(wire))
        while self.alive:
            got = await wire.read()
            if self.cut is not None:
                await self.cut.wait()
            if got is None:
                break
            self.handle(front, wire, *got)
        idle.cancel()
        wire.close()
        if wire in self.wires.get(front, []):
            self.wires[front].remove(wire)
            self.case.record.add(self.name, "connection closed", front=front)
        for number, (owner, task) in list(self.opening.items()):
            if owner is wire:
                task.cancel()
                del self.opening[number]
                self.case.record.add(self.name, "set-up given up with its connection", session=f"{number:016x}")

    async def close_if_idle(self, wire):
        idle_s = self.case.idle_s
        while wire.open:
            rest = wire.last_used + idle_s - time.time()
            if self.cut is None and rest <= 0 and not any(owner is wire for owner, _ in self.opening.values()):
                wire.close()
                return
            await asyncio.sleep(max(rest, 0.05))

    def handle(self, front, wire, kind, number, params):
        log, name = self.case.record.add, f"{number:016x}"
        if kind == SET_UP:
            at = log(self.name, "set-up", session=name, klass=params.get(CLASS, b"").decode(),
                     rung=params.get(RUNG_PARAM, b"").decode(), front=front)
            self.set_ups.append((at, number, front))
            if len(self.sessions) + len(self.opening) >= self.places:
                wire.write(release(number, FULL, [(REPORT, self.report())]))
                log(self.name, "full", session=name)
                return
            task = asyncio.create_task(self.answer(front, wire, number, params))
            self.opening[number] = (wire, task)
        elif kind == RELEASE:
            if number in self.opening:
                self.opening.pop(number)[1].cancel()
                log(self.name, "set-up given up", session=name)
            elif number in self.sessions:
                del self.sessions[number]
                at = log(self.name, "session released by the front node", session=name, cause=cause_of(params))
                self.released[number] = (at, "released by the front node")
            else:
                log(self.name, "release of an unknown session", session=name)
            wire.write(message(HEARD, number))
        elif kind == HEARD:
            self.owed.get(front, {}).pop(number, None)
        elif kind == TEST:
            extra = [(CAUSE, b"\x01")]
            if cause_of(params) == 1:
                extra.append((REPORT, self.report()))
            wire.write(message(TESTED, number, extra))
        elif kind == RUNG:
            session = self.sessions.get(number)
            if session:
                session.rung = int(params.get(RUNG_PARAM, b"0"))

    async def answer(self, front, wire, number, params):
        await asyncio.sleep(self.serve_ms / 1000.0)
        if not self.alive or number not in self.opening:
            return
        del self.opening[number]
        self.sessions[number] = Session(number, front, wire, params, self.case.record.now())
        description = f"media {self.name} {number:016x}".encode()
        wire.write(message(ANSWER, number, [(DESCRIPTION, description)]))
        self.case.record.add(self.name, "answer: the session stands", session=f"{number:016x}")
        await asyncio.sleep(self.case.settings["domain"]["seen_after_ms"] / 1000.0)
        if self.alive and number in self.sessions:
            self.note(self.sessions[number])

    def wire_for(self, session):
        """The connection of its set-up, or else any open one."""
        if session.wire is not None and session.wire.open:
            return session.wire
        wires = [wire for wire in self.wires.get(session.front, []) if wire.open]
        return wires[-1] if wires else None

    def end(self, number, cause=NORMAL):
        """The session comes to its end."""
        session = self.sessions.pop(number, None)
        if session is None:
            return
        at = self.case.record.add(self.name, "session ends", session=f"{number:016x}", cause=cause)
        self.released[number] = (at, "ended")
        data = release(number, cause, [(REPORT, self.report())])
        self.owed.setdefault(session.front, {})[number] = data
        wire = self.wire_for(session)
        if wire is not None:
            wire.write(data)

    async def send_notes(self):
        """At set-up, and then at each interval, how full the link is, on one session of each front node."""
        interval = self.case.settings["domain"]["reports_every_ms"] / 1000.0
        if interval <= 0:
            return
        while True:
            await asyncio.sleep(interval)
            for front in range(len(self.ports)):
                mine = [s for s in self.sessions.values() if s.front == front]
                if not mine:
                    continue
                self.note(mine[0])

    def note(self, session):
        wire = self.wire_for(session)
        if wire is not None:
            wire.write(message(NOTE, session.id, [(NOTE_KIND, "port"), (NOTE_VALUE, f"{self.load():.3f}")]))
            self.case.record.add(self.name, "note", session=f"{session.id:016x}", front=session.front)


class Coordinator:
    """Tells one front node the numbered events of the list."""

    def __init__(self, case, front, port):
        self.case, self.front, self.port = case, front, port
        self.events = []  # (kind, [(server, state)])
        self.wires = []
        self.server = None

    def record_bytes(self, server, state):
        host, port = server.address(self.front)
        return (struct.pack(">I", server.id) + socket.inet_aton(host) + struct.pack(">HBBB", port, state, server.zone, 0)
                + struct.pack(">HI", server.cell, 1000) + struct.pack(">Q", server.born_ms))

    def frame(self, number, kind, records):
        payload = b"".join(self.record_bytes(server, state) for server, state in records)
        return struct.pack(">IQB", 9 + len(payload), number, kind) + payload

    def tell(self, records):
        """A new event: these servers, each with its state, have changed."""
        self.events.append((2, list(records)))
        number = len(self.events)
        text = ",".join(f"{server.name}:{STATE_NAMES[state]}" for server, state in records)
        self.case.record.add(f"coordinator{self.front}", f"event {number} told", changes=text)
        for wire in self.wires:
            wire.write(self.frame(number, 2, records))

    def known(self):
        updates = []
        for index, (kind, records) in enumerate(self.events, 1):
            hosts = []
            for server, state in records:
                host, port = server.address(self.front)
                hosts.append({"host": f"s-{server.id:08x}", "dial": f"{host}:{port}",
                              "site": self.case.settings["localities"][server.zone],
                              "class": self.case.settings["host_types"][0], "block": server.cell,
                              "health": STATE_NAMES[state], "share": 1, "born_ms": server.born_ms})
            updates.append({"index": index, "endpoints": {"seq": index, "whole": kind == 1, "hosts": hosts}})
        return {"index": len(self.events), "updates": updates}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, sock=listener((HOST, self.port)))

    async def serve(self, reader, writer):
        try:
            last = struct.unpack(">Q", await reader.readexactly(8))[0]
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return
        wire = Wire(reader, writer)
        for number in range(last + 1, len(self.events) + 1):
            kind, records = self.events[number - 1]
            wire.write(self.frame(number, kind, records))
        self.wires.append(wire)
        while wire.open:
            wire.write(struct.pack(">IQB", 9, len(self.events), 0))
            await asyncio.sleep(1.0)
            if writer.transport.is_closing():
                break
        if wire in self.wires:
            self.wires.remove(wire)


class Viewers:
    """Viewers of one front node, on connections of the platform; each connection carries many sessions."""

    def __init__(self, case, front, port):
        self.case, self.front, self.port = case, front, port
        self.wire = None
        self.deaf = False  # what the front node sends is lost on its way
        self.requests = {}  # id -> facts of the request and what was heard of it

    async def connect(self, within_s=5.0):
        until = time.time() + within_s
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                break
            except OSError:
                if time.time() > until:
                    raise
                await asyncio.sleep(0.05)
        wire = Wire(reader, writer)
        self.wire = wire
        self.task = asyncio.create_task(self.read(wire))
        return wire

    async def read(self, wire):
        log = self.case.record.add
        while True:
            got = await wire.read()
            if got is None:
                wire.open = False
                log(f"viewers{self.front}", "connection ended")
                return
            kind, number, params = got
            if self.deaf:
                log(f"viewers{self.front}", f"lost on its way: message {kind}", session=f"{number:016x}")
                continue
            if kind == TESTED:
                self.tested = cause_of(params)
                continue
            if kind in (PROGRESS, HEARD):
                continue
            request = self.requests.setdefault(number, {"id": number, "heard": []})
            what = {ANSWER: "served", RELEASE: "release", MOVE: "move"}.get(kind, f"message {kind}")
            at = log(f"viewers{self.front}", f"heard: {what}", session=f"{number:016x}", cause=cause_of(params))
            request["heard"].append((at, what, cause_of(params)))
            if kind == RELEASE:
                wire.write(message(HEARD, number))
            if kind == ANSWER and "answered" in request and not request["answered"].done():
                request["answered"].set_result("served")
            if kind == RELEASE and "answered" in request and not request["answered"].done():
                request["answered"].set_result("refused" if cause_of(params) in REFUSALS else "failed")

    async def ready(self, within_s=20.0):
        """Whether the front node passes a test."""
        until = time.time() + within_s
        while time.time() < until:
            if self.wire is None or not self.wire.open:
                try:
                    await self.connect(1.0)
                except OSError:
                    continue
            self.tested = None
            self.wire.write(message(TEST, 1, [(CAUSE, b"\x00")]))
            await asyncio.sleep(0.05)
            if self.tested == 1:
                self.case.record.add(f"viewers{self.front}", "the front node passes its test")
                return True
        return False

    def open(self, klass, title, home, copies, patience_ms=4000, top=2, at=None, number=None, again=False):
        """Sends a set-up, or with `at` hands a playing session over. Returns the request."""
        number = number if number is not None else self.case.new_id()
        viewer = self.case.new_id()
        fields = f"home:{home};copies:{copies};top:{top};viewer:{viewer:016x}"
        fields += ";again:1" if again else ""
        fields += f";at:s-{at.id:08x}" if at is not None else ""
        params = [(CLASS, klass), (WAIT, patience_ms), (TITLE, f"{title:016x}"), (FIELDS, fields),
                  (HINT, "30000.0"), (DESCRIPTION, b"offer " + f"{number:016x}".encode())]
        what = "hands over" if at is not None else "set-up sent"
        sent = self.case.record.add(f"viewers{self.front}", what, session=f"{number:016x}", klass=klass)
        request = self.requests.setdefault(number, {"id": number, "heard": []})
        request.update(sent=sent, klass=klass, patience=patience_ms, at=at, params=params,
                       answered=asyncio.get_running_loop().create_future())
        self.wire.write(message(SET_UP, number, params))
        return request

    def resend(self, request):
        """Sends a set-up once more that crossed the end of its connection; the time left is less by now."""
        now = self.case.record.add(f"viewers{self.front}", "set-up sent once more", session=f"{request['id']:016x}")
        left = int(request["patience"] - (now - request["sent"]))
        params = [(code, left if code == WAIT else value) for code, value in request["params"]]
        self.requests[request["id"]] = {"id": request["id"], "heard": []}
        self.wire.write(message(SET_UP, request["id"], params))


class Front:
    """One front node: the command `run` of the deploy file."""

    def __init__(self, case, number):
        self.case, self.number, self.process = case, number, None
        port, list_port = free_ports(2)
        self.port = port
        self.coordinator = Coordinator(case, number, list_port)
        self.viewers = Viewers(case, number, port)

    def start(self):
        settings = dict(self.case.settings, position=self.number)
        config = {"name": f"n{self.number}", "listen": f"{HOST}:{self.port}",
                  "seed": f"{int.from_bytes(os.urandom(8), 'big'):016x}",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.case.sockets},
                  "coordinator": f"{HOST}:{self.coordinator.port}",
                  "known": self.coordinator.known(), "settings": settings}
        path = os.path.join(self.case.temp, f"config{self.number}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        scratch = os.path.join(self.case.temp, f"tmp{self.number}")
        os.makedirs(scratch, exist_ok=True)
        env = dict(os.environ, GW_NAME=config["name"], GW_LISTEN=config["listen"], GW_CONFIG=path, TMPDIR=scratch)
        log = open(os.path.join(self.case.temp, f"front{self.number}.log"), "ab")
        extra = os.environ.get("FRONT_ARGS", "")
        self.process = subprocess.Popen(["/bin/sh", "-c", f"{run} {extra}".strip()], cwd=ROOT, env=env, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.case.record.add(f"front{self.number}", "process starts")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.case.record.add(f"front{self.number}", "killed")

    def ended_by_itself(self):
        return self.process is not None and self.process.poll() is not None


class Case:
    """One run of a case. `play` is a coroutine that returns (verdict, text): 0 held, 1 broken, 2 could not run."""

    def __init__(self, folder, settings, idle_s, link_kb, fronts=1, sockets=1024):
        self.folder, self.settings, self.idle_s, self.link_kb = folder, settings, idle_s, link_kb
        self.sockets = sockets
        self.children = []  # other processes that the case has started
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record()
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.last_id = int.from_bytes(os.urandom(6), "big") << 12
        self.fronts = [Front(self, number) for number in range(fronts)]
        self.servers = []

    def new_id(self):
        self.last_id += 1
        return self.last_id

    def server(self, number, cell, ports=None, **more):
        one = Server(self, number, cell, ports or free_ports(len(self.fronts)), **more)
        self.servers.append(one)
        return one

    async def start(self):
        """Starts servers, coordinators and front nodes, and waits until these are ready."""
        for server in self.servers:
            await server.start()
        for front in self.fronts:
            front.coordinator.events.append((1, [(server, READY) for server in self.servers]))
            await front.coordinator.start()
            front.start()
        for front in self.fronts:
            if not await front.viewers.ready():
                return False
        return True

    def run(self, play):
        def stopped(*_):
            for front in self.fronts:
                front.kill()
            for child in self.children:
                child.kill()
            os._exit(2)
        signal.signal(signal.SIGTERM, stopped)

        async def bounded():
            return await asyncio.wait_for(play(self), 110)
        try:
            verdict, text = asyncio.run(bounded())
        except Exception as error:  # pylint: disable=broad-except
            verdict, text = 2, f"the case could not run: {type(error).__name__}: {error}"
        for front in self.fronts:
            if front.ended_by_itself():
                text += f"; front node {front.number} ended by itself with {front.process.returncode}"
                verdict = verdict or 2
            front.kill()
        for child in self.children:
            child.kill()
            child.wait()
        self.record.add("verdict", {0: "held", 1: "BROKEN", 2: "could not run"}[verdict], text=text)
        self.record.write(self.folder)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)
        print({0: "held", 1: "BROKEN", 2: "could not run"}[verdict] + ": " + text, flush=True)
        # Connections that are still open need no orderly end.
        os._exit(verdict)


def kursfeld_settings(fronts):
    """Settings within the ranges of the site file kursfeld-campus.toml."""
    return {
        "balancers": fronts, "position": 0, "layer": 0, "zone": 0,
        "classes": [
            {"name": "briefing", "aim_ms": 1500.0, "deadline_ms": 4000.0, "effect": "idempotent", "gain": 1.0,
             "group": "all", "late_worth": 0.0, "stream": True, "window_ms": 4000.0},
            {"name": "adviser-signoff", "aim_ms": 1000.0, "deadline_ms": 4000.0, "effect": "at_most_once",
             "gain": 3.0, "group": "all", "late_worth": 0.0, "stream": True, "window_ms": 4000.0}],
        "client_habits": {"marks_retry": False}, "counted_by": "request", "discovery": "push",
        "domain": {"change_costs_s": 0.7, "is_live": [False, False], "kb_per_weight": 4800.0, "kind_streams": [36],
                   "links_kb": 57600.0, "lowest_rung": [0, 1], "positions": 12, "racks": 1,
                   "rate_factor": [1.0, 1.0], "refuses_from": 0.0, "reports_every_ms": 3500.0,
                   "rung_kb": [100.0, 200.0, 400.0, 700.0, 1200.0], "seats": [0, 0], "seen_after_ms": 800.0,
                   "shared_adds": 1.0, "stall_cost": 7.0, "top_by_class": [2, 4], "uplink_kb": 46000.0,
                   "worth_by_rung": [0.2, 0.4, 0.6, 0.8, 1.0]},
        "goal": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
        "host_types": ["small-2c"], "load_report": {"names": ["active", "x0"], "source": "answers"},
        "localities": ["east-wing", "west-wing"], "orgs": [], "over_share_worth": 0.1,
        "policy_limits": {"cancel": True, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0,
                          "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000, "max_attempts": 4, "max_open": 1000000,
                          "max_retry_after_ms": 1000.0, "max_streams": 32, "may_duplicate": False, "peers": False,
                          "probes": True, "retry_after": True},
        "prices": {"connection": 0.0, "cross_zone": 0.02, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.08,
                   "moves": 0.05, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.0},
        "safety": {"answer_slack_ms": 40.0, "ask_within_ms": 10000.0, "cold_from": 0.4, "drain_grace_ms": 2000.0,
                   "fall_ms": 1500.0, "fall_multiple": 3.0, "warm_up_ms": 12000.0},
        "service_type": "streams", "tick_ms": 10.0, "tiers": ["media-fleet"], "weight_kind": "nominal",
    }


def narrow_settings(fronts):
    """Settings within the ranges of the site file narrow-steps.toml."""
    names = [("proof-of-age", 600.0, 1600.0, 4.0), ("sealed-will", 600.0, 1400.0, 2.0),
             ("last-call", 700.0, 1800.0, 1.0), ("oath", 600.0, 1500.0, 3.0)]
    settings = kursfeld_settings(fronts)
    settings["classes"] = [
        {"name": name, "aim_ms": aim, "deadline_ms": deadline, "effect": "at_most_once", "gain": gain, "group": "all",
         "late_worth": 0.0, "stream": True, "window_ms": 4000.0} for name, aim, deadline, gain in names]
    settings["domain"].update({
        "is_live": [False] * 4, "lowest_rung": [1, 0, 0, 1], "rate_factor": [1.2, 1.0, 0.8, 1.0], "seats": [0] * 4,
        "top_by_class": [2, 2, 1, 2], "rung_kb": [150.0, 430.0, 1200.0], "worth_by_rung": [0.2, 0.6, 1.0],
        "reports_every_ms": 3900.0, "seen_after_ms": 1100.0, "kind_streams": [20]})
    settings["load_report"] = {"names": ["x0"], "source": "answers"}
    settings["host_types"], settings["localities"] = ["std-2c"], ["quay", "hill", "mill"]
    settings["policy_limits"].update({
        "conn_idle_ms": 4000.0, "connect_timeout_ms": 180.0, "max_attempts": 2, "max_streams": 3,
        "max_retry_after_ms": 250.0, "cpu_us_per_s": 300000})
    settings["safety"].update({"drain_grace_ms": 350.0, "fall_ms": 800.0, "fall_multiple": 2.5})
    settings["tiers"] = ["one-lane"]
    return settings
