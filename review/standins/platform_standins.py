"""Stand-ins for the platform around `stepspur run --platform`, as the users' pages describe it: discovery, servers
(nodes), proxies with their clients, collectors, and the platform's starts and stops of the conductor.

Everything is on loopback and on the real clock. Only the Python standard library is used."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
LISTEN_HOST = "127.0.0.2"  # no outgoing connection of this test has a source port at this address
SLACK_S = 0.3  # PROTOCOL.md: the limits of the rules on lines, drains and cold nodes are longer by 300 ms
SETTLE_S = 1.0  # PROTOCOL.md: they start no earlier than 1 s after the conductor first answered


class CannotRun(Exception):
    """The case could not be played; it says nothing about the conductor."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file, self.t0 = open(path, "w"), time.time()

    def __call__(self, kind, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{time.time() - self.t0:8.3f} {kind} {text}\n")

    def close(self):
        self.file.close()


def base_settings(**family):
    """Settings in the form of WIRE section 15, with the figures of brandt-stock (BRIEF and its site file)."""
    info = {"admit": "ratio", "bootstrap": 8, "byZone": False, "classOwnZone": [False, False],
            "classWrites": [False, False], "egressPerS": 10000.0, "firstWait": 1.2, "handoverFee": 0.01,
            "inFlightMaxUs": 3020000, "ingestRate": 1000.0, "intervalUs": 500000, "keepsWritingUs": 2500000,
            "lineFee": 0.02, "minConnCap": 58.0, "outlierAfter": 5, "pendingMax": 15000.0, "perMessage": 3.0,
            "pick": "lottery", "proxies": 12, "pushDelayMaxUs": 500000, "pushesAllowed": 12,
            "singleWriter": False, "slices": 0, "transitUs": 200000, "unservedMaxUs": 2400000,
            "updateWindowUs": 10000000, "usualHow": 1, "waitsForTableUs": 300000, "warmKeys": False}
    info.update(family)

    def request_class(name, aim, deadline, credit):
        return {"credit": credit, "deadlineUs": deadline, "effect": "read_like", "group": "all",
                "lateWorth": 0.1, "name": name, "promiseUs": aim, "windowUs": 5000000}

    return {
        "balancers": 1, "family": "control", "familyInfo": info,
        "feedback": {"columns": ["busy", "q"], "how": "piggyback"},
        "fees": {"connection": 0.02, "crossZone": 0.06, "handshake": 0.04, "lateFail": 0.05,
                 "membershipMode": 0.0, "moves": 0.0, "peer": 0.0, "probe": 0.02, "waste": 0.05},
        "goal": {"whole": 0.5, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.2},
        "kinds": ["new-2c", "mid-2c", "old-2c"], "membershipMode": "on_request", "myZone": 0,
        "permissions": {"connIdleUs": 15000000, "cpuUsPerS": 400000, "dialTimeoutUs": 400000, "peers": False,
                        "probing": True, "streamsPerConn": 100},
        "requestClasses": [request_class("copy-lookup", 1500000, 5000000, 1.0),
                           request_class("price-set", 2000000, 5000000, 2.0)],
        "rules": {"askEveryUs": 10000000, "coldUs": 16000000, "drainGraceUs": 1500000, "fallMultiple": 4.0,
                  "fallUs": 2000000, "startCapacity": 0.26},
        "slotNo": 0, "tickUs": 4000, "valueBy": "request", "weights": "nominal",
        "zones": ["hall-aarhus", "hall-vejle", "hall-odense"],
    }


class Node:
    """A server: answers requests and probes while its process runs."""

    def __init__(self, world, name, zone, work_s=0.02):
        self.world, self.name, self.zone, self.work_s = world, name, zone, work_s
        self.server, self.port, self.held = None, 0, 0
        self.draining = self.hangs = False
        self.since_ms = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.draining = False

    async def stop(self):
        if self.server:
            self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()
            self.server = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
            path = head.split(b" ", 2)[1].decode()
            if self.hangs:
                await asyncio.sleep(60)  # takes the request and answers none
            status, body = "200 OK", ""
            if path.startswith("/work/"):
                if self.draining:
                    status = "503 Service Unavailable"
                else:
                    self.held += 1
                    self.world.ran(path[6:], self.name)
                    try:
                        await asyncio.sleep(self.work_s)
                    finally:
                        self.held -= 1
            elif path == "/status/load":
                body = self.load_text()
            elif path != "/health":
                status = "404 Not Found"
            if path in ("/health", "/status/load") and self.draining:
                status = "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return {"util": min(1.0, 0.1 * self.held), "queue": 0}

    def load_text(self):
        return ",".join(f"{k}={v:.2f}" for k, v in self.load().items())

    def entry(self, status):
        return {"name": self.name, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "type": "mid-2c",
                "group": 0, "status": status, "weight": 1.0, "since_ms": self.since_ms}


class Discovery:
    """The list of nodes, and watches on it."""

    def __init__(self, world):
        self.world, self.index, self.entries = world, 41, {}
        self.history = []  # (index, [entries])
        self.told = {}  # name -> (status, time at which the conductor was told)
        self.watches, self.server, self.port = {}, None, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def snapshot(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def set_initial(self, entries):
        self.entries = {e["name"]: e for e in entries}

    def known_list(self):
        """The list as the conductor had it last."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def change(self, entries):
        """Changes the list and tells all watches at once, as one line."""
        self.index += 1
        for e in entries:
            if e["status"] == "gone":
                self.entries.pop(e["name"], None)
            else:
                self.entries[e["name"]] = e
        self.history.append((self.index, entries))
        for e in entries:
            self.world.record("list", name=e["name"], status=e["status"], since_ms=e["since_ms"], index=self.index)
        for queue in self.watches.values():
            queue.put_nowait((self.index, entries))

    def mark_told(self, entries, whole=False):
        """The conductor has been told these entries. A node that went from draining to gone was told at the first."""
        now = time.time()
        if whole:
            names = {e["name"] for e in entries}
            for name, (status, at, since_ms) in list(self.told.items()):
                if name not in names:
                    self.told[name] = ("gone", now if status == "ready" else at, since_ms)
        for e in entries:
            status, at, since_ms = self.told.get(e["name"], (None, now, None))
            if (status == "ready") != (e["status"] == "ready") or status is None or since_ms != e["since_ms"]:
                at = now
            self.told[e["name"]] = (e["status"], at, e["since_ms"])

    async def serve(self, reader, writer):
        queue = None
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            path = head.split(" ", 2)[1]
            self.world.record("discovery-call", path=path)
            if "watch=1" not in path:
                body = json.dumps(self.snapshot())
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}".encode())
                await writer.drain()
                self.mark_told(list(self.entries.values()), whole=True)
                return
            after = int(path.split("after=")[1].split("&")[0])
            queue = asyncio.Queue()
            self.watches[id(queue)] = queue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

            async def line(text):
                data = (text + "\n").encode()
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()

            first = self.history[0][0] - 1 if self.history else self.index
            if first <= after <= self.index:
                missed = {}
                for index, entries in self.history:
                    if index > after:
                        missed.update({e["name"]: e for e in entries})
                if missed:
                    await line(json.dumps({"index": self.index, "snapshot": False, "endpoints": list(missed.values())}))
                    self.mark_told(list(missed.values()))
                else:
                    await line("")
            else:
                await line(json.dumps(self.snapshot()))
                self.mark_told(list(self.entries.values()), whole=True)
            while True:
                try:
                    index, entries = await asyncio.wait_for(queue.get(), 2)
                    await line(json.dumps({"index": index, "snapshot": False, "endpoints": entries}))
                    self.mark_told(entries)
                except asyncio.TimeoutError:
                    await line("")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if queue is not None:
                self.watches.pop(id(queue), None)
            writer.close()


class Proxy:
    """A proxy: holds the tables that it was ordered, and sends its clients' requests by them."""

    def __init__(self, world, number, zone, standing, redial_s):
        self.world, self.number, self.zone, self.redial_s = world, number, zone, redial_s
        classes = [c["name"] for c in world.settings["requestClasses"]]
        self.classes = classes
        self.tables = {c: dict(standing) for c in classes}
        how = world.settings["familyInfo"]["usualHow"]
        self.levels = {c: (1.0, how) for c in classes}
        self.ejected, self.fresh = set(), True
        self.joined_at, self.bare_since = None, {}
        self.writer, self.counts, self.failures, self.avoid = None, {}, {}, {}
        self.messages = []  # times of messages since joining
        self.drop = False

    async def run(self):
        while not self.world.over:
            try:
                await self.world.ready.wait()
                reader, writer = await asyncio.open_connection(*self.world.listen, limit=1 << 21)
            except OSError:
                await asyncio.sleep(self.redial())
                continue
            try:
                await self.stream(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError, json.JSONDecodeError):
                pass
            self.joined_at, self.writer, self.bare_since = None, None, {}
            self.world.record("stream-ended", proxy=self.number)
            writer.close()
            await asyncio.sleep(self.redial())

    def redial(self):
        return random.uniform(*self.redial_s)

    async def stream(self, reader, writer):
        attach = {"@type": "attach", "proxy": self.number, "zone": self.zone, "weight": self.world.rate, "fresh": self.fresh}
        writer.write(json.dumps(attach).encode() + b"\n")
        self.writer, self.joined_at, self.messages = writer, time.time(), []
        self.world.record("attach", proxy=self.number, zone=self.zone, fresh=self.fresh)
        parts = []
        while True:
            line = await reader.readuntil(b"\n")
            part = json.loads(line)
            if part["@type"] != "assign":
                self.world.record("other-message", proxy=self.number, text=line.decode().strip())
                continue
            parts.append(part)
            if part.get("continued"):
                continue
            arrived = time.time()
            self.messages.append(arrived)
            await asyncio.sleep(self.world.transit_s)  # the way through the channel to the proxy
            for part in parts:
                self.apply(part)
            self.world.record("assign", proxy=self.number, message=json.dumps(parts).replace(" ", ""))
            self.fresh = False
            mark = next((p["nonce_out"] for p in parts if "nonce_out" in p), None)
            parts = []
            if mark is not None:
                took = (time.time() - arrived) * 1000
                writer.write(json.dumps({"@type": "done", "proxy": self.number, "mark": mark, "took_ms": took}).encode() + b"\n")

    def apply(self, part):
        classes = part.get("routes") or self.classes
        for c in classes:
            if c not in self.tables:
                raise ConnectionError("unknown class")
            if part.get("full"):
                self.tables[c] = {}
                self.levels[c] = (1.0, self.world.settings["familyInfo"]["usualHow"])
            for name, weight in part.get("endpoints", []):
                if weight > 0:
                    self.tables[c][name] = weight
                else:
                    self.tables[c].pop(name, None)
            if "admit" in part:
                self.levels[c] = (part["admit"], part["policy"])
        self.ejected |= set(part.get("eject", []))
        self.ejected -= set(part.get("restore", []))

    def open_to(self, request_class, name):
        """WIRE, `classOwnZone`: some classes may go only to nodes in the proxy's zone."""
        own_zone = self.world.settings["familyInfo"]["classOwnZone"][self.classes.index(request_class)]
        return not own_zone or self.world.nodes[name].zone == self.zone

    def lines(self, request_class):
        """The lines that are left to pick for a class."""
        table = self.tables[request_class]
        return {n: w for n, w in table.items() if n not in self.ejected and self.open_to(request_class, n)}

    def pick(self, request_class, but=()):
        now = time.time()
        lines = {n: w for n, w in self.lines(request_class).items() if n not in but}
        free = {n: w for n, w in lines.items() if self.avoid.get(n, 0) <= now}
        lines = free or lines
        if not lines:
            return None
        return random.choices(list(lines), list(lines.values()))[0]

    async def request(self, request_class, number):
        """One request of a client: the proxy's tries, and the answer to the client."""
        world = self.world
        count = self.counts.setdefault(request_class, [0, 0])
        count[0] += 1
        level, how = self.levels[request_class]
        if random.random() >= level:
            world.answered(number, self, request_class, "refused-by-level")
            return
        tried, answer = [], "refused-no-line"
        for attempt in range(3):
            name = self.pick(request_class, tried)
            if name is None:
                break
            tried.append(name)
            outcome = await self.attempt(name, number)
            answer = outcome
            if outcome == "ok":
                break
            never_ran = outcome in ("connect-failed", "turned-away")
            allowed = {0: 0, 1: 1 if never_ran else 0, 2: 1, 3: 2}[how]
            if attempt >= allowed:
                break
        if answer != "ok":
            count[1] += 1
        world.answered(number, self, request_class, answer)

    async def attempt(self, name, number):
        world, started = self.world, time.time()
        world.sent(self, name, number)
        outcome = "ok"
        try:
            node = world.nodes[name]
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", node.port), 0.4)
            try:
                writer.write(f"GET /work/{number} HTTP/1.1\r\nHost: n\r\n\r\n".encode())
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
                if b" 200 " not in head.split(b"\r\n")[0]:
                    outcome = "turned-away"
            finally:
                writer.close()
        except (asyncio.TimeoutError, ConnectionRefusedError, OSError, asyncio.IncompleteReadError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            outcome = "connect-failed" if refused else "no-answer"
        world.met(self.zone, name, outcome, time.time() - started)
        if outcome == "ok":
            self.failures[name] = 0
        else:
            self.failures[name] = self.failures.get(name, 0) + 1
            if self.failures[name] >= 5:
                self.failures[name] = 0
                self.avoid[name] = time.time() + random.uniform(2.5, 7.8)
        return outcome


def quiet(loop, context):
    """Connections that the end of the play cuts are no news."""
    if not isinstance(context.get("exception"), (asyncio.CancelledError, ConnectionError)):
        loop.default_exception_handler(context)


class World:
    """The platform of one case."""

    def __init__(self, folder, settings, rate=8.0, transit_s=0.1, seed=1, steady=True,
                 rules=("route", "drain", "messages", "crash")):
        random.seed(seed)
        self.folder, self.settings, self.rate, self.transit_s = folder, settings, rate, transit_s
        self.rules = rules  # what this case judges; other findings are recorded as notes
        self.steady = steady  # clients send at even intervals, else at random ones
        self.record = Record(os.path.join(folder, "record.txt"))
        self.tmp = os.environ["CASE_TMP"]
        self.nodes, self.proxies, self.tasks = {}, [], []
        self.discovery = Discovery(self)
        self.over, self.ready = False, asyncio.Event()
        self.process, self.answered_hb_at, self.crashed = None, None, None
        probe = socket.socket()
        probe.bind((LISTEN_HOST, 0))
        self.listen = (LISTEN_HOST, probe.getsockname()[1])
        probe.close()
        self.stats, self.answers, self.runs = {}, {}, {}
        self.breaks = []
        self.log_file = open(os.path.join(self.tmp, "conductor.log"), "ab")
        self.request_number, self.lag = 0, 0.0

    # The conductor

    def write_config(self, known):
        config = {"name": "n1", "listen": "%s:%d" % self.listen, "discovery": f"127.0.0.1:{self.discovery.port}",
                  "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": known, "settings": self.settings}
        path = os.path.join(self.tmp, "config.json")
        with open(path + ".new", "w") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)
        return path

    async def start_conductor(self, known):
        path = self.write_config(known)
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        env.update(LB_CONFIG=path, LB_NAME="n1", LB_LISTEN="%s:%d" % self.listen,
                   LB_DISCOVERY=f"127.0.0.1:{self.discovery.port}", TMPDIR=self.tmp)
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
            run = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1)
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=self.log_file, stderr=self.log_file)
        self.record("conductor-started", pid=self.process.pid)
        for _ in range(300):
            if self.process.poll() is not None:
                raise CannotRun(f"the conductor ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(b'{"@type":"hb"}\n')
                line = await asyncio.wait_for(reader.readline(), 5)
                writer.close()
                if b"hb_ok" in line:
                    break
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        else:
            raise CannotRun("the conductor did not answer hb in 15 s")
        self.answered_hb_at = time.time()
        self.record("conductor-ready")
        self.ready.set()

    async def stop_conductor(self, sig=signal.SIGKILL):
        self.ready.clear()
        self.record("conductor-stopped", signal=sig.name)
        process, self.process = self.process, None
        process.send_signal(sig)
        deadline = time.time() + 3
        while process.poll() is None and time.time() < deadline:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
            process.wait()
        self.answered_hb_at = None

    # What happens

    def answered(self, number, proxy, request_class, answer):
        self.answers[answer] = self.answers.get(answer, 0) + 1
        self.record("answered", request=number, proxy=proxy.number, cls=request_class, answer=answer)

    def sent(self, proxy, name, number):
        self.record("sent", request=number, proxy=proxy.number, node=name)
        self.check_drain(proxy, name, number)

    def ran(self, number, name):
        self.runs.setdefault(number, []).append(name)
        self.record("run", request=number, node=name)

    def met(self, zone, name, outcome, took_s):
        stat = self.stats.setdefault((zone, name), [0, 0, 0.0])
        stat[0] += 1
        if outcome == "ok":
            stat[2] += took_s
        else:
            stat[1] += 1

    def broken(self, rule, **fields):
        if rule not in self.rules:
            self.record("note", rule=rule, **fields)
            return
        if (rule, fields.get("proxy"), fields.get("node")) not in [(b[0], b[1].get("proxy"), b[1].get("node")) for b in self.breaks]:
            self.breaks.append((rule, fields))
        self.record("RULE-BROKEN", rule=rule, **fields)

    # The rules

    def in_force(self):
        return self.answered_hb_at is not None and time.time() >= self.answered_hb_at + SETTLE_S

    def check_drain(self, proxy, name, number):
        """Rule 3: nothing is sent later than the grace after the conductor was told, or after the joining."""
        told = self.discovery.told.get(name)
        if told is None or told[0] == "ready" or proxy.joined_at is None or not self.in_force():
            return
        start = max(told[1], proxy.joined_at, self.answered_hb_at + SETTLE_S)
        grace = self.settings["rules"]["drainGraceUs"] / 1e6 + SLACK_S
        late = time.time() - start
        if late > grace:
            self.broken("drain", proxy=proxy.number, node=name, status=told[0], request=number,
                        after_s=f"{late:.2f}", allowed_s=f"{grace:.2f}")

    async def check_lines(self):
        """Rule 1: no joined proxy lacks a line for a class for too long while an open, warm node is listed ready."""
        limit = self.settings["familyInfo"]["unservedMaxUs"] / 1e6 + SLACK_S
        cold = self.settings["rules"]["coldUs"] / 1e6
        while not self.over:
            await asyncio.sleep(0.05)
            now = time.time()
            warm = [n for n, t in self.discovery.told.items()
                    if t[0] == "ready" and (t[2] == 0 or t[2] / 1000 + cold <= now)]
            for proxy in self.proxies:
                for c in proxy.classes:
                    open_warm = [n for n in warm if proxy.open_to(c, n)]
                    if proxy.joined_at is None or not self.in_force() or not open_warm or proxy.lines(c):
                        proxy.bare_since.pop(c, None)
                        continue
                    since = proxy.bare_since.setdefault(c, now)
                    if now - since > limit:
                        self.broken("route", proxy=proxy.number, cls=c, without_line_s=f"{now - since:.2f}",
                                    allowed_s=f"{limit:.2f}", warm_ready_nodes=len(open_warm),
                                    in_table=len(proxy.tables[c]), shut_out=len(proxy.ejected))

    def check_messages(self):
        """Rule 5, second half: messages to one proxy within the window."""
        allowed = self.settings["familyInfo"]["pushesAllowed"]
        window = self.settings["familyInfo"]["updateWindowUs"] / 1e6
        for proxy in self.proxies:
            times = proxy.messages
            for at in times:
                within = len([t for t in times if at <= t < at + window])
                if allowed and within > allowed:
                    self.broken("messages", proxy=proxy.number, within=within)

    # Background

    async def clients(self, proxy):
        at = time.time() + proxy.number / len(self.proxies) / self.rate
        while not self.over:
            at += 1 / self.rate if self.steady else random.expovariate(self.rate)
            await asyncio.sleep(max(0, at - time.time()))
            self.request_number += 1
            request_class = proxy.classes[0 if random.random() < 0.66 else 1]
            self.spawn(proxy.request(request_class, self.request_number))

    async def collector(self, zone):
        """Sums of what the zone's proxies met, every interval; it comes 0.7 s late."""
        span = self.settings["familyInfo"]["intervalUs"] / 1e6
        writer = None
        while not self.over:
            await asyncio.sleep(span)
            taken = {}
            for key in [k for k in self.stats if k[0] == zone]:
                taken[key] = self.stats.pop(key)
            if not self.ready.is_set():
                writer = None
                continue
            try:
                if writer is None or writer.is_closing():
                    _, writer = await asyncio.open_connection(*self.listen)
                    writer.write(json.dumps({"@type": "telemetry", "zone": zone}).encode() + b"\n")
                self.spawn(self.late_report(writer, zone, span, taken))
            except OSError:
                writer = None

    async def late_report(self, writer, zone, span, taken):
        await asyncio.sleep(0.7)
        try:
            for (_, name), (tries, failed, total) in taken.items():
                message = {"@type": "upstream_stats", "zone": zone, "server": name, "tries": tries, "failed": failed,
                           "mean_ms": 1000 * total / max(1, tries - failed), "span_ms": span * 1000}
                if tries > failed:
                    message["load"] = self.nodes[name].load()
                writer.write(json.dumps(message).encode() + b"\n")
            await writer.drain()
        except (ConnectionError, OSError):
            pass

    async def usage(self, proxy):
        span = self.settings["familyInfo"]["intervalUs"] / 1e6
        at = time.time() + (proxy.number + 0.5) / len(self.proxies) / self.rate
        while not self.over:
            at += span
            await asyncio.sleep(max(0, at - time.time()))
            counts, proxy.counts = proxy.counts, {}
            if proxy.writer is None:
                continue
            try:
                for c, (tries, failed) in counts.items():
                    proxy.writer.write(json.dumps({"@type": "client_stats", "proxy": proxy.number, "class": c, "tries": tries,
                                                   "failed": failed, "span_ms": span * 1000}).encode() + b"\n")
            except (ConnectionError, OSError):
                pass

    async def watch_lag(self):
        """The stand-ins must be on time: a late event loop says nothing about the conductor."""
        while not self.over:
            at = time.time() + 0.05
            await asyncio.sleep(0.05)
            self.lag = max(self.lag, time.time() - at)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        if len(self.tasks) > 2000:
            self.tasks = [t for t in self.tasks if not t.done()]
        return task

    async def start(self, nodes, proxies, redial_s=(0.17, 2.0)):
        """`nodes` by zone: how many; `proxies`: how many, dealt over the zones."""
        zones = self.settings["zones"]
        for zone, count in zip(zones, nodes):
            for k in range(count):
                await self.add_node(f"{zone}-{k}", zone)
        await self.discovery.start()
        self.discovery.set_initial([n.entry("ready") for n in self.nodes.values()])
        self.discovery.mark_told(list(self.discovery.entries.values()), whole=True)
        for number in range(proxies):
            zone = zones[number % len(zones)]
            own = [n for n in self.nodes.values() if n.zone == zone]
            drawn = random.sample(own, min(len(own), self.settings["familyInfo"]["bootstrap"]))
            self.proxies.append(Proxy(self, number, zone, {n.name: 1.0 for n in drawn}, redial_s))
        await self.start_conductor(self.discovery.known_list())
        for proxy in self.proxies:
            self.spawn(proxy.run())
            self.spawn(self.clients(proxy))
            self.spawn(self.usage(proxy))
        for zone in zones:
            self.spawn(self.collector(zone))
        self.spawn(self.check_lines())
        self.spawn(self.watch_process())
        self.spawn(self.watch_lag())

    async def watch_process(self):
        while not self.over:
            await asyncio.sleep(0.1)
            if self.process is not None and self.process.poll() is not None and self.ready.is_set():
                self.broken("crash", code=self.process.returncode)
                return

    async def add_node(self, name, zone, since_ms=0):
        node = Node(self, name, zone)
        node.since_ms = since_ms
        await node.start()
        self.nodes[name] = node
        return node

    async def end(self):
        self.over = True
        self.check_messages()
        if self.process is not None:
            self.ready.clear()
            await self.stop_conductor(signal.SIGTERM)
        for task in self.tasks:
            task.cancel()
        for node in self.nodes.values():
            await node.stop()


def play(folder, scenario, limit_s=115):
    """Runs `scenario()`, which returns a World after the play. Exits with 1, 0 or 2 as the issue asks."""

    async def main():
        asyncio.get_running_loop().set_exception_handler(quiet)
        world = await asyncio.wait_for(scenario(folder), limit_s)
        return world

    worlds = []
    original = World.__init__

    def remember(self, *args, **kwargs):
        original(self, *args, **kwargs)
        worlds.append(self)

    World.__init__ = remember
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        world = asyncio.run(main())
        world.record("lag", worst_s=f"{world.lag:.3f}")
        if world.lag > 0.3:
            raise CannotRun(f"the stand-ins were {world.lag:.2f} s late")
        code = 1 if world.breaks else 0
        for rule, fields in world.breaks[:20]:
            print("broken:", rule, fields)
        print("answers:", world.answers)
        world.record("answers", **world.answers)
    except CannotRun as error:
        print("could not run:", error)
    except Exception as error:  # a fault of the stand-ins says nothing about the conductor
        import traceback
        traceback.print_exc()
        print("could not run:", error)
    finally:
        for world in worlds:
            if world.process is not None and world.process.poll() is None:
                world.process.kill()
                world.process.wait()
            world.record("exit", code=code)
            world.record.close()
    sys.exit(code)
