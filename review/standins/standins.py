"""Stand-ins for the state service, the cloud, the workers and the users of valegap, and the
starting and stopping of the controllers. Only Python's standard library is used.

Everything listens on 127.0.0.1 and runs in one process, so that one clock orders all events.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections import deque
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


# --------------------------------------------------------------------------- record and ports

class Record:
    """The record of what was sent, answered and run, with seconds since its beginning."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.out = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, *words):
        self.out.write(f"{self.now():9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.out.flush()


_ports = set()


def free_port():
    """A free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randint(10_000, 30_000)
        if port in _ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _ports.add(port)
        return port


# --------------------------------------------------------------------------- HTTP

def compact(value):
    """The shortest JSON text of a value, without spaces."""
    return json.dumps(value, separators=(",", ":"))


class Reset(Exception):
    """Raised by a handler that gives no answer: the connection is closed."""


async def read_message(reader):
    """Reads one HTTP/1.1 message: its first line, headers and body. None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def serve(handler, port=None):
    """Serves `handler(method, path, query, body) -> (status, value)`; returns the port."""
    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                try:
                    status, value = await handler(method, path, query, body)
                except Reset:
                    break
                payload = b"" if value is None else compact(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    port = port or free_port()
    await asyncio.start_server(connection, HOST, port, limit=1 << 23)
    return port


async def request(port, method, path, value=None, timeout=5.0, raw=None):
    """Sends one request on a connection of its own; returns (status, value), or (None, reason)."""
    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 23)
        try:
            body = raw if raw is not None else (b"" if value is None else compact(value).encode())
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}:{port}\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, "connection closed"
            first, _, body = message
            status = int(first.split(" ")[1])
            try:
                return status, json.loads(body) if body else None
            except ValueError:
                return status, None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no response"
    except (ConnectionError, OSError):
        return None, "connection failure"


# --------------------------------------------------------------------------- state service

class Bucket:
    """A rate limit with a burst of one second's worth."""

    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, amount):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class Store:
    """The state service of PROTOCOL: keys, transactions, leases and watches, with its limits."""

    def __init__(self, limits, record=None):
        self.keys = {}
        self.edition = 0
        self.news = deque(maxlen=10_000)
        self.oldest = 0
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.limits = limits
        self.requests = Bucket(limits["rps"])
        self.writes = Bucket(limits["write_rps"])
        self.down = False
        self.record = record
        self.latency = 0.002
        self.hook = None

    def _event(self, event):
        if len(self.news) == self.news.maxlen:
            self.oldest = self.news[0][0]
        self.news.append((self.edition, event.get("Write") or event.get("Drop"), event))

    def _drop(self, key):
        if self.keys.pop(key, None) is not None:
            self._event({"Drop": key, "Mark": self.edition})

    def _revoke(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        attached = [key for key, item in self.keys.items() if item[2] == lease]
        if attached:
            self.edition += 1
        for key in attached:
            self._drop(key)
        self._wake()
        return True

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
            self._revoke(lease)

    async def expire_forever(self):
        while True:
            await asyncio.sleep(0.02)
            if not self.down:
                self._expire()

    def set_down(self, down):
        self.down = down
        if not down:
            now = time.monotonic()
            for lease, (ttl, _) in list(self.leases.items()):
                self.leases[lease] = (ttl, now + ttl)
            self._wake()

    def txn(self, value):
        guards, apply = value.get("Guards", []), value.get("Apply", [])
        changes = len(apply)
        if not self.writes.take(changes):
            return 429, {"error": "too many changes"}
        if changes > self.limits["txn_ops"] or len(guards) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many operations"}
        for change in apply:
            if "Write" in change:
                if len(compact(change["V"])) > self.limits["value_kb"] * 1024:
                    return 400, {"error": "value too large"}
                tenure = change.get("Tenure")
                if tenure is not None and tenure not in self.leases:
                    return 400, {"error": "no such lease"}
        failed = [guard["Path"] for guard in guards
                  if (self.keys[guard["Path"]][1] if guard["Path"] in self.keys else 0)
                  != guard["Mark"]]
        if failed:
            return 409, {"failed": failed, "Edition": self.edition}
        if apply:
            self.edition += 1
            for change in apply:
                if "Write" in change:
                    key = change["Write"]
                    self.keys[key] = (change["V"], self.edition, change.get("Tenure"))
                    self._event({"Write": key, "V": change["V"], "Mark": self.edition})
                else:
                    self._drop(change["Drop"])
            self._wake()
        return 200, {"Edition": self.edition}

    async def handle(self, method, path, query, body):
        if self.down:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        await asyncio.sleep(self.latency)
        self._expire()
        if self.hook:
            answer = await self.hook(method, path, query, body)
            if answer is not None:
                return answer
        return await self.execute(method, path, query, body)

    async def execute(self, method, path, query, body):
        if path == "/txn":
            if len(body) > 64 * 1024:
                return 400, {"error": "too large"}
            return self.txn(json.loads(body))
        if path == "/holds":
            ttl = json.loads(body)["TtlMs"] / 1000
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"Tenure": lease}
        if path.startswith("/holds/"):
            parts = path.split("/")
            lease = int(parts[2])
            if method == "DELETE":
                return (200, {}) if self._revoke(lease) else (404, {})
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {}
        if path == "/follow":
            return await self.follow(query)
        if path == "/store":
            prefix, after = query.get("Prefix", ""), query.get("After", "")
            most = min(int(query.get("Most", "1000")), 1000)
            found = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
            pairs, size = [], 0
            for key in found[:most]:
                item = self._item(key)
                size += len(compact(item))
                if size > 512 * 1024:
                    break
                pairs.append(item)
            return 200, {"Pairs": pairs, "HasNext": len(pairs) < len(found),
                         "Edition": self.edition}
        if path.startswith("/store/"):
            key = path[len("/store/"):]
            if key in self.keys:
                return 200, self._item(key)
            return 404, {"Edition": self.edition}
        return 400, {"error": "malformed"}

    def _item(self, key):
        value, mark, lease = self.keys[key]
        item = {"Path": key, "V": value, "Mark": mark}
        if lease is not None:
            item["Tenure"] = lease
        return item

    async def follow(self, query):
        prefix, after = query.get("Prefix", ""), int(query.get("After", "0"))
        end = time.monotonic() + min(int(query.get("HoldMs", "0")), 60_000) / 1000
        while True:
            if after < self.oldest:
                return 410, {"error": "too old"}
            changed = self.changed
            found = [event for edition, key, event in self.news
                     if edition > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if not self.down and (found or left <= 0):
                return 200, {"Edition": self.edition, "News": found}
            try:
                await asyncio.wait_for(changed.wait(), max(left, 0.05))
            except asyncio.TimeoutError:
                pass


# --------------------------------------------------------------------------- workers

class Task:
    def __init__(self, state):
        self.state = state          # fetching, running, flushing, ended
        self.why = None
        self.end = None             # the timer of the end


class Worker:
    """One machine with its worker, as PROTOCOL describes it. An image is fetched once and is then
    cached. `world.started` and `world.ended` learn what is on the
    machine; `world.outcome(worker, job)` says how long a task runs and how it ends."""

    def __init__(self, world, name, kind, zone, spot):
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        self.port = None
        self.session, self.bar, self.token = 1, 0, 0
        self.tasks = {}
        self.images = set()
        self.notice = None
        self.alive = True
        self.lease_from = time.monotonic()
        self.node = random.randrange(len(world.nodes))
        self.wake = asyncio.Event()
        self.command_hook = None
        self.reports = True

    async def start(self):
        self.port = await serve(self.handle)
        self.loop = asyncio.create_task(self.report_forever())
        self.lease_loop = asyncio.create_task(self.lease_forever())

    def stop(self):
        """The machine is gone with everything on it."""
        self.alive = False
        self.kill_all("machine gone")
        self.loop.cancel()
        self.lease_loop.cancel()

    def report(self):
        self.bar += 1
        voices = []
        for (voice, take), task in self.tasks.items():
            entry = {"Voice": voice, "Take": take, "Stage": task.state}
            if task.why:
                entry["Coda"] = task.why
            voices.append(entry)
        notice = None if self.notice is None else max(0.0, self.notice - time.monotonic())
        return {"Stand": self.name, "Addr": f"{HOST}:{self.port}", "Instrument": self.kind,
                "Hall": self.zone, "Borrowed": self.spot, "Rehearsal": self.session,
                "Bar": self.bar, "Baton": self.token, "CueS": notice, "Voices": voices}

    # What is on the machine.

    def begin(self, key):
        task = self.tasks.get(key)
        if task is None or task.state != "fetching":
            return
        task.state = "running"
        voice, take = key
        self.images.add(self.world.image(voice))
        self.world.started(self, voice, take)
        run_s, why = self.world.outcome(self, voice)
        if run_s is not None:
            task.end = asyncio.get_running_loop().call_later(run_s, self.finish, key, why)
        self.wake.set()

    def finish(self, key, why):
        task = self.tasks.get(key)
        if task is None or task.state == "ended":
            return
        if task.end:
            task.end.cancel()
        was_on = task.state in ("running", "flushing")
        task.state, task.why = "ended", why
        if was_on:
            self.world.ended(self, *key, why)
        self.wake.set()

    def kill_all(self, why):
        for key, task in list(self.tasks.items()):
            if task.end:
                task.end.cancel()
            if task.state in ("running", "flushing"):
                self.world.ended(self, *key, why)
        self.tasks.clear()

    def execute(self, cues, channel):
        for cue in cues:
            key = (cue["Voice"], cue["Take"])
            if cue["CueKind"] == "launch":
                if key in self.tasks:
                    continue
                self.world.note_launch(self, key, channel)
                task = self.tasks[key] = Task("fetching")
                if any(voice == key[0] and other.state != "ended"
                       for (voice, take), other in self.tasks.items() if take != key[1]):
                    task.state, task.why = "ended", "in_use"
                elif not self.world.knows(key[0]):
                    task.state, task.why = "ended", "unknown"
                elif not self.world.fits(self, key[0]):
                    task.state, task.why = "ended", "full"
                elif self.world.image(key[0]) in self.images:
                    self.begin(key)
                else:
                    asyncio.get_running_loop().call_later(self.world.fetch_s(self, key[0]),
                                                        self.begin, key)
                self.wake.set()
            elif cue["CueKind"] == "stop":
                if key in self.tasks and self.tasks[key].state != "ended":
                    self.finish(key, "halted")
            elif cue["CueKind"] == "clear":
                if key in self.tasks and self.tasks[key].state == "ended":
                    del self.tasks[key]

    # Direct commands.

    async def handle(self, method, path, query, body):
        if not self.alive:
            raise Reset
        if path == "/status":
            return 200, self.report()
        if path != "/commands":
            return 404, {}
        if len(body) > 64 * 1024:
            return 413, {"error": "the body is too large"}
        value = json.loads(body)
        if "Baton" not in value or "Rehearsal" not in value:
            return 400, {"error": "missing"}
        if self.command_hook:
            await self.command_hook(self, value)
        return self.command(value)

    def command(self, value, channel="direct"):
        """Carries a batch of direct commands out, now."""
        if value["Baton"] > self.token:
            self.token = value["Baton"]
            self.wake.set()
        if value["Baton"] < self.token or value["Rehearsal"] != self.session:
            return 409, self.report()
        self.execute(value["Cues"], channel)
        return 200, self.report()

    # Reports and the lease.

    async def report_forever(self):
        report_s = self.world.params["workers"]["report_s"]
        while self.alive:
            started = time.monotonic()
            if self.reports:
                await self.report_once()
            pause = report_s * random.uniform(0.75, 1.25) - (time.monotonic() - started)
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), max(pause, 0.0))
                await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - started)))
            except asyncio.TimeoutError:
                pass

    async def report_once(self):
        report, sent, session = self.report(), time.monotonic(), self.session
        label, port = self.world.nodes[self.node]
        status, answer = await request(self.world.report_port(self, port), "POST", "/v1/report",
                                       report, timeout=4.0)
        self.world.note_report(self, report, label, status, answer)
        if status == 200 and len(compact(answer)) > 64 * 1024:
            status = None           # a line that is longer than the protocol allows is not read
        if status == 200:
            if session != self.session or not isinstance(answer, dict) \
                    or answer.get("Baton", -1) < self.token:
                return
            self.token = answer["Baton"]
            self.lease_from = max(self.lease_from, sent)
            self.execute(answer.get("Cues", []), "report")
            return
        if status == 421 and isinstance(answer, dict):
            named = [index for index, (other, _) in enumerate(self.world.nodes)
                     if other == answer.get("Conductor")]
            if named and named[0] != self.node:
                self.node = named[0]
                self.wake.set()
                return
        await asyncio.sleep(1.0)
        self.node = (self.node + 1) % len(self.world.nodes)
        self.wake.set()

    async def lease_forever(self):
        lease_s = self.world.params["workers"]["lease_s"]
        while self.alive:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.lease_from > lease_s:
                self.world.record("worker", self.name, "lease expired, session", self.session,
                                  "with", len(self.tasks), "tasks")
                self.kill_all("lease expired")
                self.session += 1
                self.bar = 0
                self.lease_from = time.monotonic()
                self.wake.set()


# --------------------------------------------------------------------------- cloud

class Cloud:
    """The cloud's interface. A rented machine is up after the boot time of its type."""

    def __init__(self, world, types, capacity):
        self.world, self.types, self.capacity = world, types, capacity
        self.machines, self.granted, self.last = {}, {}, 0
        self.exhausted = set()      # the types of which there are no more machines

    async def add(self, kind, zone, spot, boot_s=0.0, held_s=0.0):
        """A machine that is up `boot_s` from now and was rented `held_s` ago."""
        self.last += 1
        name = f"vm-{self.last:06}"
        worker = Worker(self.world, name, kind, zone, spot)
        self.machines[name] = (worker, time.monotonic() - held_s, boot_s)
        asyncio.create_task(self.boot(worker, boot_s))
        return worker

    async def boot(self, worker, boot_s):
        await asyncio.sleep(boot_s)
        if worker.name in self.machines:
            worker.lease_from = time.monotonic()
            await worker.start()
            self.world.record("cloud", worker.name, worker.kind, worker.zone, "is up")

    async def handle(self, method, path, query, body):
        if path == "/machine_types":
            return 200, {"Instruments": self.types}
        if path == "/rentals" and method == "POST":
            wanted = json.loads(body)
            if wanted["Booking"] in self.granted:
                return 200, {"Stands": self.granted[wanted["Booking"]]}
            names = []
            for _ in range(wanted["Count"]):
                if len(self.machines) >= self.capacity or wanted["Instrument"] in self.exhausted:
                    break
                startup = next(t["StartupS"] for t in self.types if t["Name"] == wanted["Instrument"])
                worker = await self.add(wanted["Instrument"], wanted["Hall"], wanted["Borrowed"],
                                        startup)
                names.append(worker.name)
            if not names:
                return 503, {"error": "no capacity"}
            self.granted[wanted["Booking"]] = names
            self.world.record("cloud rents", wanted, names)
            return 200, {"Stands": names}
        if path == "/rentals/delete":
            names = json.loads(body)["Stands"]
            self.world.record("cloud deletes", names)
            for name in names:
                self.remove(name)
            return 200, {}
        if path == "/rentals":
            after = query.get("After", "")
            stands = []
            for name in sorted(self.machines):
                worker, rented, _ = self.machines[name]
                if name > after:
                    up = worker.port is not None
                    stands.append({
                        "NameId": name, "Addr": f"{HOST}:{worker.port}" if up else "",
                        "Instrument": worker.kind, "Hall": worker.zone, "Borrowed": worker.spot,
                        "Stage": "running" if up else "starting",
                        "HeldS": time.monotonic() - rented})
            return 200, {"Stands": stands, "HasNext": False}
        return 404, {}

    def remove(self, name):
        if name in self.machines:
            worker = self.machines.pop(name)[0]
            if worker.port is not None:
                worker.stop()
            worker.alive = False


# --------------------------------------------------------------------------- the deployment

class World:
    """A deployment: three controllers as processes, and the stand-ins around them."""

    def __init__(self, record, params, zones, node_zones, types, capacity):
        self.record, self.params, self.zones, self.node_zones = record, params, zones, node_zones
        self.types = types
        self.store = Store(params["state"], record)
        self.cloud = Cloud(self, types, capacity)
        self.jobs = {}              # what was submitted, by id
        self.on = {}                # (job/task) -> {machine name: attempt}
        self.starts = []            # (time, voice, take, machine)
        self.ends = []              # (time, voice, take, machine, why)
        self.counted = {}           # jobs whose tasks are recorded as counts: {job: {what: number}}
        self.cancelled_at = {}
        self.broken = []
        self.processes = {}
        self.temp = tempfile.TemporaryDirectory(prefix="valegap-review-")
        self.logs = []

    # What the workers ask and tell.

    def spec(self, voice):
        return self.jobs.get(voice.rsplit("/", 1)[0])

    def knows(self, voice):
        spec = self.spec(voice)
        return spec is not None and int(voice.rsplit("/", 1)[1]) < spec["Voices"]

    def image(self, voice):
        return self.spec(voice)["Score"]

    def fetch_s(self, worker, voice):
        """How long the machine fetches the image of a task."""
        kind = next(t for t in self.types if t["Name"] == worker.kind)
        return self.spec(voice)["ImageGb"] / kind["FetchGbPerS"]

    def fits(self, worker, voice):
        kind = next(t for t in self.types if t["Name"] == worker.kind)
        for field in ("Cores", "MemGb"):
            used = sum(self.spec(other)[field] for (other, _), task in worker.tasks.items()
                       if task.state != "ended")
            if used > kind[field] + 1e-6:
                return False
        return True

    def outcome(self, worker, voice):
        """How long the task runs here (None: until it is stopped) and how it ends."""
        spec = self.spec(voice)
        if spec["Form"] == "standing":
            return None, None
        return spec["DurationS"], "done"

    def started(self, worker, voice, take):
        elsewhere = [name for name in self.on.get(voice, {}) if name != worker.name]
        self.on.setdefault(voice, {})[worker.name] = take
        self.starts.append((self.record.now(), voice, take, worker.name))
        self.note(voice, f"STARTS on {worker.name}", take)
        if elsewhere:
            self.violation("ran_twice", f"{voice} starts on {worker.name} (attempt {take}) while it"
                           f" is on {elsewhere[0]} (attempt {self.on[voice][elsewhere[0]]})")

    def ended(self, worker, voice, take, why):
        self.on.get(voice, {}).pop(worker.name, None)
        self.ends.append((self.record.now(), voice, take, worker.name, why))
        self.note(voice, f"ends on {worker.name} {why}", take)

    def note(self, voice, what, take):
        """Records what happens to a task, or counts it for `record_counts`."""
        counts = self.counted.get(voice.rsplit("/", 1)[0])
        if counts is None:
            self.record("task", voice, "attempt", take, what)
        else:
            counts[what] = counts.get(what, 0) + 1

    async def record_counts(self):
        """Writes the counts of the jobs in `counted` once a second."""
        while True:
            await asyncio.sleep(1.0)
            for name, counts in self.counted.items():
                for what, number in counts.items():
                    self.record(number, "tasks of", name, what)
                counts.clear()

    def lost_to_leases(self, job):
        """The ends of tasks of a job because the lease of their worker expired."""
        return [end for end in self.ends if end[1].startswith(job + "/")
                and end[4] == "lease expired"]

    def note_launch(self, worker, key, channel):
        self.note(key[0], f"is to be launched on {worker.name}, by {channel}", key[1])

    def note_report(self, worker, report, label, status, answer):
        pass

    def report_port(self, worker, port):
        return port

    def violation(self, rule, text):
        self.broken.append((rule, text))
        self.record("RULE BROKEN", rule, text)

    # Controllers.

    async def start(self, count=3, log_level="info"):
        self.count = count
        self.fronts = [free_port() for _ in range(count)]
        self.internals = [free_port() for _ in range(count)]
        self.labels = [f"cellar-{index}" for index in range(count)]
        self.nodes = list(zip(self.labels, self.fronts))
        self.log_level = log_level
        self.store_port = await serve(self.store.handle)
        self.cloud_port = await serve(self.cloud.handle)
        self.expiry = asyncio.create_task(self.store.expire_forever())
        for index in range(count):
            await self.start_controller(index)

    def peer_port(self, index, other):
        return self.internals[other]

    def store_port_of(self, index):
        return self.store_port

    def settings(self, index):
        return {
            "label": self.labels[index], "area": self.node_zones[index],
            "front": f"{HOST}:{self.fronts[index]}",
            "internal_addr": f"{HOST}:{self.internals[index]}",
            "others": [{"label": self.labels[other], "area": self.node_zones[other],
                        "address": f"{HOST}:{self.peer_port(index, other)}"}
                       for other in range(self.count) if other != index],
            "services": {"cloud": f"{HOST}:{self.cloud_port}",
                         "state": f"{HOST}:{self.store_port_of(index)}"},
            "settings": {"initial_size": self.count, "zones": self.zones, **self.params},
        }

    async def start_controller(self, index):
        path = Path(self.temp.name) / f"settings-{index}.json"
        path.write_text(json.dumps(self.settings(index)))
        deploy = tomllib.loads((ROOT / "deploy/service.toml").read_text())
        log = open(Path(self.temp.name) / f"log-{index}.txt", "ab")
        self.logs.append(log)
        self.processes[index] = await asyncio.create_subprocess_exec(
            *shlex.split(deploy["run"]), str(path), cwd=ROOT, stderr=log,
            env={**os.environ, "LOG_LEVEL": self.log_level})
        self.record("controller", self.labels[index], "started")

    async def kill(self, index):
        process = self.processes.pop(index)
        process.kill()
        await process.wait()
        self.record("controller", self.labels[index], "killed")

    def signal(self, index, which):
        self.processes[index].send_signal(which)
        self.record("controller", self.labels[index], "gets", which.name)

    async def stop(self):
        for index in list(self.processes):
            try:
                self.processes[index].send_signal(signal.SIGCONT)
            except ProcessLookupError:
                pass
            await self.kill(index)
        for worker, _, _ in self.cloud.machines.values():
            worker.alive = False
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for index in range(self.count):
                text = (Path(self.temp.name) / f"log-{index}.txt").read_bytes()
                Path(keep, f"log-{index}.txt").write_bytes(text)
        self.temp.cleanup()

    def log_text(self, index):
        return (Path(self.temp.name) / f"log-{index}.txt").read_text(errors="replace")

    async def leader(self, timeout=30.0):
        """The index of the controller that answers a worker's report with 200."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            item = self.store.keys.get("o/0/owner")
            if item:
                index = self.labels.index(item[0]["label"])
                status, page = await self.status_page(index)
                if status == 200 and page and "before its deadline" in page:
                    return index
            await asyncio.sleep(0.1)
        raise TimeoutError("no controller leads")

    async def status_page(self, index):
        async def exchange():
            reader, writer = await asyncio.open_connection(HOST, self.internals[index])
            writer.write(f"GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            message = await read_message(reader)
            writer.close()
            return (int(message[0].split(" ")[1]), message[2].decode()) if message else (None, None)
        try:
            return await asyncio.wait_for(exchange(), 2.0)
        except (OSError, asyncio.TimeoutError):
            return None, None

    # Users.

    async def until_ready(self, timeout=30.0):
        end = time.monotonic() + timeout
        for index in range(self.count):
            while True:
                status, _ = await request(self.fronts[index], "GET", "/ready", timeout=1.0)
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise TimeoutError("a controller is not ready")
                await asyncio.sleep(0.1)

    async def submit(self, spec, node=None, tries=60):
        """Submits like a user, until the job is accepted or refused for good."""
        self.jobs[spec["NameId"]] = spec
        for attempt in range(tries):
            index = node if node is not None else random.randrange(self.count)
            status, value = await request(self.fronts[index], "POST", "/v1/jobs", spec)
            self.record("user submits", spec["NameId"], "at", self.labels[index], "->", status, value)
            if status in (200, 201, 400, 422):
                return status, value
            await asyncio.sleep(1.0)
        return None, None

    async def poll(self, job, node=None):
        index = node if node is not None else random.randrange(self.count)
        status, value = await request(self.fronts[index], "GET", f"/v1/jobs/{job}", timeout=2.0)
        self.record("user asks for", job, "at", self.labels[index], "->", status, value)
        return status, value

    async def cancel(self, job, node=None, tries=60):
        for attempt in range(tries):
            index = node if node is not None else random.randrange(self.count)
            status, value = await request(self.fronts[index], "POST", f"/v1/jobs/{job}/cancel")
            self.record("user cancels", job, "at", self.labels[index], "->", status, value)
            if status == 200:
                if value["Stage"] == "cancelled":
                    self.cancelled_at[job] = self.record.now()
                return status, value
            await asyncio.sleep(1.0)
        return None, None


def job(number, **changes):
    """The body of a submission."""
    spec = {"NameId": f"run-{number:06}", "Repertoire": "pipe-sorting", "Section": "voicers",
            "Form": "batch", "Tempo": "standard", "Voices": 1, "Cores": 2.0, "Accelerators": 0.0,
            "MemGb": 4.0, "Score": "img-01", "ImageGb": 0.1, "Instruments": None, "Hall": None,
            "OneZone": False, "Scatter": False, "Borrowed": False, "DurationS": 5.0,
            "BreathS": 0.0, "FermataS": 0.0, "CurtainS": None}
    spec.update(changes)
    return spec


# The limits and times of the site file organ-works; the machine types boot faster, as PROTOCOL
# says that machines at times do.
ORGAN_WORKS = {
    "teams": [{"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
              for name in ("voicers", "parts-loft", "parish-liaison")],
    "objectives": [],
    "workers": {"report_s": 1.5, "lease_s": 10.0, "gang_wait_s": 35.0, "gang_peer_s": 5.0,
                "cancel_s": 30.0},
    "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 32},
    "cloud": {"rps": 8.0, "list_lag_s": 6.0},
    "resources": {"cpu": 0.08, "ram_mb": 56.0, "max_connections": 900},
    "skew_ms": 25.0,
}
ORGAN_ZONES = ["katowice-shop", "opole-shop"]
ORGAN_NODE_ZONES = ["katowice-shop", "opole-shop", "katowice-shop"]
ORGAN_TYPES = [
    {"Name": "bellows", "Cores": 8.0, "Accelerators": 0.0, "MemGb": 64.0, "CacheGb": 70.0,
     "FetchGbPerS": 0.3, "Price": 0.71, "LowPrice": 0.18, "StartupS": 2.0,
     "Halls": ["katowice-shop", "opole-shop"]},
    {"Name": "great-organ", "Cores": 64.0, "Accelerators": 0.0, "MemGb": 256.0, "CacheGb": 60.0,
     "FetchGbPerS": 0.4, "Price": 4.5, "LowPrice": 1.19, "StartupS": 2.0, "Halls": ["opole-shop"]},
]


# The same of the site file chorus-grid.
CHORUS_GRID = {
    "teams": [
        {"name": "choir-desk", "cpus": 152.0, "cpus_max": 304.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "brass-desk", "cpus": 152.0, "cpus_max": 448.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "hall-keepers", "cpus": 200.0, "cpus_max": 304.0, "gpus": 0.0, "gpus_max": 0.0}],
    "objectives": [
        {"kind": "wait", "class": "booking-desk", "within_s": 1.0, "share": 0.95},
        {"kind": "deadline", "class": "part-matcher", "share": 0.96, "times": 1.0},
        {"kind": "guarantee", "within_s": 5.0, "share": 0.97}],
    "workers": {"report_s": 3.0, "lease_s": 27.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0,
                "cancel_s": 57.0},
    "state": {"rps": 80.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 16},
    "cloud": {"rps": 6.0, "list_lag_s": 8.0},
    "resources": {"cpu": 0.2, "ram_mb": 136.0, "max_connections": 2500},
    "skew_ms": 25.0,
}
CHORUS_ZONES = ["gdansk-loft", "poznan-hall"]
CHORUS_NODE_ZONES = ["gdansk-loft", "poznan-hall", "gdansk-loft"]
CHORUS_TYPES = [
    {"Name": "lectern", "Cores": 16.0, "Accelerators": 0.0, "MemGb": 128.0, "CacheGb": 80.0,
     "FetchGbPerS": 0.12, "Price": 0.84, "LowPrice": 0.23, "StartupS": 2.0, "Halls": CHORUS_ZONES},
    {"Name": "organ-loft", "Cores": 64.0, "Accelerators": 0.0, "MemGb": 256.0, "CacheGb": 25.0,
     "FetchGbPerS": 0.12, "Price": 3.07, "LowPrice": 0.89, "StartupS": 2.0, "Halls": CHORUS_ZONES},
]


def chorus_grid(record, **kwargs):
    kwargs.setdefault("capacity", 28)
    return World(record, json.loads(json.dumps(CHORUS_GRID)), CHORUS_ZONES, CHORUS_NODE_ZONES,
                 CHORUS_TYPES, **kwargs)


def organ_works(record, **kwargs):
    kwargs.setdefault("capacity", 40)
    return World(record, json.loads(json.dumps(ORGAN_WORKS)), ORGAN_ZONES, ORGAN_NODE_ZONES,
                 ORGAN_TYPES, **kwargs)


def free_cores(world, worker, without=None):
    """The cores of a machine that is up that no task takes, but for those of one job."""
    if not worker.alive or worker.port is None:
        return 0.0
    kind = next(kind for kind in world.types if kind["Name"] == worker.kind)
    return kind["Cores"] - sum(world.spec(voice)["Cores"] for (voice, _), task
                               in worker.tasks.items()
                               if task.state != "ended" and voice.rsplit("/", 1)[0] != without)


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder, limit_s=110.0):
    """Runs a case; exits with 1 if a rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(Path(folder) / "record.txt")
    outcome = 2

    async def run():
        nonlocal outcome
        world = case.world(record)
        this = asyncio.current_task()
        for which in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(which, this.cancel)
        try:
            await asyncio.wait_for(case.play(world), limit_s)
            outcome = 1 if world.broken else 0
        except case.CannotRun as reason:
            record("the case could not run:", reason)
        except asyncio.CancelledError:
            record("the case was interrupted")
        except Exception as error:  # the case's own failure
            record("the case could not run:", repr(error))
            if os.environ.get("KEEP_LOGS"):
                import traceback
                traceback.print_exc()
        finally:
            await world.stop()

    asyncio.run(run())
    record("exit", outcome)
    print(f"exit {outcome}", flush=True)
    os._exit(outcome)
