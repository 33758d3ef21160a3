"""A stand-in for the users' simulator at a site with slices and single writers, on the real clock.

Follows the page WIRE ('obsidian-71eb'). It starts the deploy file's `sim`, which hosts one instance, and plays nodes,
proxies, the store, discovery and the instance's channel. Only writes are played: each proxy sends writes for each slice
to the node that its table names. All times are in seconds. Python's standard library only.
"""

import heapq
import itertools
import json
import random
import struct
import subprocess
import time

from fleet import ROOT, CannotRun, deploy_command

READY, GONE, DRAINING = 0, 1, 3
CACHED, FULL, FAILED = 2, 1, 3
TICK_S = 0.01


def record_bytes(code, body):
    return struct.pack(">HI", code, len(body)) + body


def address(number):
    return struct.pack(">BBBBH", 10, 0, 0, number, 9000)


class Adapter:
    """The process of `sim`: one reply for each batch."""

    def __init__(self):
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("sim")], cwd=ROOT, stdin=subprocess.PIPE,
                                        stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        self.number = 0

    def batch(self, now, records):
        self.number += 1
        records = [record_bytes(16, struct.pack(">I", 0))] + records
        body = b"".join(records)
        header = struct.pack(">IIQI", len(records), 12 + len(body), int(now * 1e6), self.number)
        self.process.stdin.write(header + body)
        self.process.stdin.flush()
        length = self.process.stdout.read(4)
        if len(length) < 4:
            raise CannotRun("the adapter has ended")
        reply = self.process.stdout.read(struct.unpack(">I", length)[0])
        count, _ = struct.unpack(">II", reply[:8])
        actions, at = [], 8
        for _ in range(count):
            code, size = struct.unpack(">HI", reply[at:at + 6])
            actions.append((code, reply[at + 6:at + 6 + size]))
            at += 6 + size
        return actions

    def stop(self):
        self.process.stdin.close()
        try:
            self.process.wait(3.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class Proxy:
    def __init__(self, number):
        self.number = number
        self.joined = False
        self.stream = 0  # grows with each stream, so that what belongs to an older one is dropped
        self.broken_at = None
        self.has_read_store = False
        self.owners = {}  # slice -> node, as its tables say
        self.delivered_at = 0.0


class Site:
    """The site: its settings, state and clock, and the check of the rule on single writers."""

    def __init__(self, record, settings, nodes, proxies, seed, write_s, write_every_s):
        self.record, self.settings = record, settings
        self.info = settings["familyInfo"]
        self.random = random.Random(seed)
        self.listed = {number: READY for number in nodes}
        self.proxies = [Proxy(number) for number in range(proxies)]
        self.store = {k: nodes[k % len(nodes)] for k in range(self.info["slices"])}
        self.write_s, self.write_every_s = write_s, write_every_s
        self.in_hand = {}  # (slice, node) -> writes in hand
        self.last_owner = {}  # slice -> nodes that have taken writes, in the order of their first
        self.breaks = []
        self.writes = 0
        self.agenda, self.order = [], itertools.count()
        self.events = []
        self.up = False
        self.start_number = 0
        self.channel_free_at = 0.0
        self.late = 0.0
        self.adapter = Adapter()

    def now(self):
        return self.record.now()

    def at(self, when, call, *arguments):
        heapq.heappush(self.agenda, (when, next(self.order), call, arguments))

    def later(self, delay, call, *arguments):
        self.at(self.now() + delay, call, *arguments)

    # The instance.

    def send_list(self, kind):
        entries = b"".join(
            struct.pack(">HQHB", 0, 0, 0, state) + address(node) + struct.pack(">Hf", 0, 1.0)
            for node, state in self.listed.items() if state != GONE)
        count = sum(state != GONE for state in self.listed.values())
        self.events.append(record_bytes(15, struct.pack(">II", 0, count) + entries))
        self.events.append(record_bytes(2, struct.pack(">BII", kind, 1, 0)))

    def start_instance(self):
        """Starts the instance: settings, the list as it had it last, and the charge of all slices."""
        self.up = True
        self.start_number += 1
        self.record.write("the instance starts")
        settings = json.dumps(self.settings).encode()
        self.events.append(record_bytes(
            1, struct.pack(">QI", self.random.getrandbits(64), len(settings)) + settings))
        self.send_list(CACHED)
        for number, node in self.store.items():
            self.events.append(record_bytes(13, struct.pack(">HB", number, 1)))
            if node is not None:
                self.events.append(record_bytes(14, struct.pack(">H", number) + address(node) + struct.pack(">f", 1.0)))

    def kill_instance(self):
        """Kills the instance: all streams break, and what waits in its channel is lost."""
        self.up = False
        self.record.write("the instance is killed")
        self.events = [record_bytes(6, b"")]
        for proxy in self.proxies:
            proxy.joined, proxy.has_read_store, proxy.broken_at = False, False, self.now()
            proxy.stream += 1

    def join(self, proxy, read_after):
        """A proxy's stream stands again; within a second it reads the store."""
        if not self.up:
            return self.later(0.1, self.join, proxy, read_after)
        proxy.joined = True
        proxy.stream += 1
        self.events.append(record_bytes(7, struct.pack(">fHHB", 20.0, proxy.number, 0, 0)))
        self.later(read_after, self.read_store, proxy, proxy.stream)
        self.record.write(f"proxy {proxy.number} joins")

    def read_store(self, proxy, stream):
        if proxy.stream == stream:
            proxy.has_read_store = True
            proxy.owners = {k: node for k, node in self.store.items() if node is not None}
            self.record.write(f"proxy {proxy.number} reads the store")

    def carry_out(self, actions):
        messages, stamp = {}, None
        for code, body in actions:
            if code == 5:
                number, node = struct.unpack(">H", body[:2])[0], body[5]
                weight = struct.unpack(">f", body[8:12])[0]
                self.store[number] = node if weight > 0 else None
                self.record.write(f"order: slice {number}, node {node}, weight {weight:g}")
                for proxy in self.proxies:
                    if proxy.joined:
                        messages.setdefault(proxy.number, []).append((number, node, weight))
            elif code == 12:
                stamp = struct.unpack(">I", body[:4])[0]
            elif code == 1:
                after, token = struct.unpack(">IQ", body)
                self.later(after * 1e-6, self.alarm, self.start_number, token)
            elif code == 2:
                self.later(0.05, self.answer_track, self.start_number)
            elif code == 6:
                raise CannotRun("the instance says: " + body[2:].decode())
        for number, changes in messages.items():
            lines = self.info["perMessage"] + len(changes) + (stamp is not None)
            self.channel_free_at = max(self.channel_free_at, self.now()) + lines / self.info["egressPerS"]
            delay = min(self.random.expovariate(1e6 / self.info["transitUs"]), self.info["pushDelayMaxUs"] * 1e-6)
            proxy = self.proxies[number]
            proxy.delivered_at = max(proxy.delivered_at, self.channel_free_at + delay)
            self.at(proxy.delivered_at, self.apply, proxy, proxy.stream, changes, stamp)

    def apply(self, proxy, stream, changes, stamp):
        if proxy.stream != stream:
            return
        for number, node, weight in changes:
            if weight > 0:
                proxy.owners[number] = node
            elif proxy.owners.get(number) == node:
                del proxy.owners[number]
        self.record.write(f"proxy {proxy.number} applied {changes}")
        if stamp is not None:
            self.events.append(record_bytes(9, struct.pack(">HII", proxy.number, stamp, 0)))

    def alarm(self, start_number, token):
        if self.up and self.start_number == start_number:
            self.events.append(record_bytes(3, struct.pack(">Q", token)))

    def answer_track(self, start_number):
        if self.up and self.start_number == start_number:
            self.send_list(FULL)

    def drain(self, node):
        self.listed[node] = DRAINING
        self.record.write(f"node {node} is listed as draining")
        if self.up:
            self.send_list(FULL)

    # Writes.

    def may_write(self, proxy):
        """With a stream, once it has read the store; without, for `keepsWritingUs` after the stream broke."""
        if proxy.joined and proxy.has_read_store:
            return True
        kept = self.info["keepsWritingUs"] * 1e-6
        return proxy.broken_at is not None and self.now() < proxy.broken_at + kept

    def write_all(self, proxy, number, until):
        """Sends a write of a slice, and the next one after a while."""
        if self.now() > until:
            return
        self.later(self.random.uniform(0.5, 1.5) * self.write_every_s, self.write_all, proxy, number, until)
        node = proxy.owners.get(number)
        if node is None or not self.may_write(proxy):
            return
        self.writes += 1
        now = self.now()
        for (other_slice, other), writes in self.in_hand.items():
            if other_slice == number and other != node and writes:
                oldest = min(writes)
                self.breaks.append(
                    f"{now:.3f} s: a write of slice {number} from proxy {proxy.number} reaches node {node} while node "
                    f"{other} has {len(writes)} of that slice in hand, the oldest since {oldest:.3f} s")
        taken = self.last_owner.setdefault(number, [])
        if node not in taken:
            taken.append(node)
        elif taken[-1] != node:
            self.breaks.append(f"{now:.3f} s: a write of slice {number} reaches node {node}, a former owner, "
                               f"after node {taken[-1]} has taken one")
        writes = self.in_hand.setdefault((number, node), [])
        writes.append(now)
        self.record.write(f"write {self.writes}: proxy {proxy.number} sends it for slice {number} to node {node}")
        self.later(self.random.uniform(*self.write_s), self.end_write, self.writes, writes, now)

    def end_write(self, write, writes, taken_at):
        writes.remove(taken_at)
        self.record.write(f"write {write}: it has run, and is answered")

    # The clock.

    def run(self, length):
        """Plays until `length` seconds have passed: what is due, then a batch if there is something to tell."""
        while self.now() < length:
            while self.agenda and self.agenda[0][0] <= self.now():
                when, _, call, arguments = heapq.heappop(self.agenda)
                self.late = max(self.late, self.now() - when - TICK_S)
                call(*arguments)
            if self.events:
                events, self.events = self.events, []
                self.carry_out(self.adapter.batch(self.now(), events))
            time.sleep(TICK_S)
