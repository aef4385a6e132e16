"""Stand-ins for everything outside of the controllers, as the users' pages describe it: the state
service, the cloud, workers, the load balancer's health checks and users. Standard library only.

All of them run in one process on loopback with the real clock. The controllers are separate
processes, started with the `run` command of deploy/service.toml.
"""

import collections
import http.client
import json
import os
import random
import shlex
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


# ---------------------------------------------------------------- record


class Recorder:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, who, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now():9.3f} {who:<12} {text}\n")

    def close(self):
        with self.lock:
            self.file.close()


# ---------------------------------------------------------------- HTTP


class Drop(Exception):
    """Ends a connection without an answer."""


class Server(socketserver.ThreadingMixIn, socketserver.TCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


def serve(answer):
    """Serves answer(method, path, query, body) -> (status, object) on a free port."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_):
            pass

        def work(self):
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length) if length else b""
            parts = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(parts.query))
            try:
                status, value = answer(self.command, parts.path, query, body)
            except Drop:
                self.close_connection = True
                return
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
            self.wfile.write(head.encode() + data)

        do_GET = do_POST = do_DELETE = work

    server = Server(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server.server_address[1]


def call(address, method, path, body=None, timeout=5.0):
    """One request on a connection of its own. Returns (status, headers, object), or None."""
    host, port = address
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, {"Content-Type": "application/json"} if data else {})
        response = connection.getresponse()
        text = response.read()
        try:
            value = json.loads(text) if text else None
        except ValueError:
            value = None
        return response.status, response.headers, value
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Bucket:
    """A rate with a burst of some seconds' worth."""

    def __init__(self, rate, burst_s):
        self.rate, self.level, self.capacity = rate, rate * burst_s, rate * burst_s
        self.at = time.monotonic()
        self.lock = threading.Lock()

    def take(self, amount):
        with self.lock:
            now = time.monotonic()
            self.level = min(self.capacity, self.level + (now - self.at) * self.rate)
            self.at = now
            if self.level < amount:
                return False
            self.level -= amount
            return True


# ---------------------------------------------------------------- state service


class StateService:
    """Keys with revisions, transactions, watches. One address for each controller, so that a single
    one can be refused or slowed down."""

    CHANGES_KEPT = 10_000
    PAGE_ITEMS, PAGE_BYTES = 1_000, 512 * 1024

    def __init__(self, site):
        self.site = site
        self.cond = threading.Condition()
        self.keys = {}
        self.epoch = 1
        self.log = collections.deque()
        self.forgotten_to = 0
        self.requests = Bucket(site["rps"], 1.0)
        self.changes = Bucket(site["write_rps"], 1.0)
        self.refused = set()
        self.list_delay_s = 0.0
        self.largest_watch = 0
        self.throttled = 0
        self.next_lease = 1

    def listen(self, node):
        return serve(lambda *request: self.answer(node, *request))

    def answer(self, node, method, path, query, body):
        if path == "/watch" and method == "GET":
            return self.watch(node, query)
        # Answers normally take under 10 ms.
        time.sleep(random.uniform(0.001, 0.006))
        if node in self.refused:
            return 503, {"error": "unavailable"}
        if not self.requests.take(1):
            self.throttled += 1
            return 429, {"error": "too many requests"}
        if path == "/txn" and method == "POST":
            return self.transaction(body)
        if path == "/keys" and method == "GET":
            if self.list_delay_s:
                time.sleep(self.list_delay_s)
            return self.list(query)
        if path.startswith("/keys/") and method == "GET":
            with self.cond:
                key = path[len("/keys/"):]
                if key not in self.keys:
                    return 404, {"epoch": self.epoch}
                value, stamp, _ = self.keys[key]
                return 200, {"k": key, "v": value, "stamp": stamp}
        return 400, {"error": "malformed"}

    def list(self, query):
        under, since = query.get("under", ""), query.get("since", "")
        most = min(int(query.get("most", self.PAGE_ITEMS)), self.PAGE_ITEMS)
        with self.cond:
            names = sorted(k for k in self.keys if k.startswith(under) and k > since)
            items, size = [], 0
            for name in names:
                value, stamp, text = self.keys[name]
                size += len(text) + len(name) + 40
                if len(items) >= most or (items and size > self.PAGE_BYTES):
                    return 200, {"items": items, "more": True, "epoch": self.epoch}
                items.append({"k": name, "v": value, "stamp": stamp})
            return 200, {"items": items, "more": False, "epoch": self.epoch}

    def transaction(self, body):
        site = self.site
        try:
            request = json.loads(body)
            conditions, changes = request.get("if", []), request.get("apply", [])
        except (ValueError, AttributeError):
            return 400, {"error": "malformed"}
        if (len(body) > 64 * 1024 or len(changes) > site["txn_ops"]
                or len(conditions) > 4 * site["txn_ops"]):
            return 400, {"error": "too large"}
        if changes and not self.changes.take(len(changes)):
            self.throttled += 1
            return 429, {"error": "too many changes"}
        texts = [json.dumps(c["v"], separators=(",", ":")) if "put" in c else "" for c in changes]
        if any(len(text) > site["value_kb"] * 1024 for text in texts):
            return 400, {"error": "value too large"}
        with self.cond:
            failed = [c["k"] for c in conditions
                      if (self.keys[c["k"]][1] if c["k"] in self.keys else 0) != c["stamp"]]
            if failed:
                return 409, {"failed": failed, "epoch": self.epoch}
            if not changes:
                return 200, {"epoch": self.epoch}
            self.epoch += 1
            for change, text in zip(changes, texts):
                if "put" in change:
                    self.keys[change["put"]] = (change["v"], self.epoch, text)
                    news = f'{{"put":{json.dumps(change["put"])},"v":{text},"stamp":{self.epoch}}}'
                    self.log.append((self.epoch, change["put"], news))
                elif self.keys.pop(change["remove"], None) is not None:
                    news = f'{{"remove":{json.dumps(change["remove"])},"stamp":{self.epoch}}}'
                    self.log.append((self.epoch, change["remove"], news))
            while len(self.log) > self.CHANGES_KEPT:
                self.forgotten_to = self.log.popleft()[0]
            self.cond.notify_all()
            return 200, {"epoch": self.epoch}

    def watch(self, node, query):
        if node in self.refused:
            # Open watches wait; a new one is a request like others.
            time.sleep(random.uniform(0.001, 0.006))
            return 503, {"error": "unavailable"}
        if not self.requests.take(1):
            self.throttled += 1
            return 429, {"error": "too many requests"}
        under, since = query.get("under", ""), int(query.get("since", 0))
        until = time.monotonic() + min(int(query.get("holdMs", 0)), 60_000) / 1000
        while True:
            with self.cond:
                if since < self.forgotten_to:
                    return 410, {"error": "too old"}
                news = []
                for epoch, key, text in reversed(self.log):
                    if epoch <= since:
                        break
                    if key.startswith(under):
                        news.append(text)
                is_refused = node in self.refused
                left = until - time.monotonic()
                if (news or left <= 0) and not is_refused:
                    data = f'{{"epoch":{self.epoch},"news":[{",".join(reversed(news))}]}}'.encode()
                    self.largest_watch = max(self.largest_watch, len(data))
                    return 200, data
                # An open watch waits while the service refuses its node.
                self.cond.wait(0.05 if is_refused else max(0.001, min(left, 0.5)))
            if is_refused and left < -30:
                raise Drop()


# ---------------------------------------------------------------- workers


class Worker:
    """A machine's worker, by "Workers -> controller nodes" and "Controller nodes -> workers"."""

    def __init__(self, world, name, flavour, yard, reclaimable):
        self.world, self.name, self.yard = world, name, yard
        self.flavour, self.reclaimable = flavour, reclaimable
        kind = world.flavours[flavour]
        self.vcpus, self.ram = kind["vcpus"], kind["ramGb"]
        self.rate = kind["pullGbPerS"]
        self.lock = threading.RLock()
        self.tenure, self.tally, self.fence = 1, 0, 0
        self.drops = {}
        self.images = set()
        self.answered_sent_at = time.monotonic()
        self.is_cut = False
        self.is_sick = False
        self.is_gone = False
        self.changed = threading.Event()
        self.reports = []
        self.port = serve(self.answer)
        self.address = f"127.0.0.1:{self.port}"
        self.node = random.randrange(len(world.nodes))
        threading.Thread(target=self.report_forever, daemon=True).start()
        threading.Thread(target=self.run_forever, daemon=True).start()

    # What the machine does.

    def run_forever(self):
        while not self.is_gone:
            time.sleep(0.02)
            with self.lock:
                now = time.monotonic()
                if now > self.answered_sent_at + self.world.site["lease_s"]:
                    self.end_session(now)
                for (drop, attempt), task in list(self.drops.items()):
                    if task["standing"] == "fetching" and now >= task["until"]:
                        self.images.add(task["bundle"])
                        task["standing"] = "running"
                        task["until"] = now + task["run_s"] if task["run_s"] else None
                        if self.is_sick:  # it fails every task that it starts
                            task.update(until=now + 0.5, ends="error")
                        self.world.task_began(self, drop, attempt)
                        self.changed.set()
                    elif task["standing"] == "running" and task["until"] and now >= task["until"]:
                        self.exit(drop, attempt, task["ends"])

    def end_session(self, now):
        for (drop, attempt), task in self.drops.items():
            if task["standing"] in ("running", "flushing"):
                self.world.task_ended(self, drop, attempt, "lease over")
        self.drops.clear()
        self.tenure += 1
        self.tally = 0
        self.answered_sent_at = now
        self.world.record.line(self.name, f"lease over, session {self.tenure}")
        self.changed.set()

    def exit(self, drop, attempt, cause):
        task = self.drops[(drop, attempt)]
        if task["standing"] in ("running", "flushing"):
            self.world.task_ended(self, drop, attempt, cause)
        if cause == "done":
            self.world.finished.add(drop)
        task.update(standing="exited", cause=cause, until=None)
        self.changed.set()

    def execute(self, order):
        verb, drop, attempt = order["verb"], order["drop"], order["try"]
        self.world.record.line(self.name, f"order {verb} {drop} try {attempt}")
        key = (drop, attempt)
        if verb == "start" and key not in self.drops:
            job = self.world.jobs.get(drop.split("/")[0])
            present = [k for k, t in self.drops.items() if t["standing"] != "exited"]
            task = {"standing": "exited", "cause": None, "until": None, "run_s": 0,
                    "ends": "done", "bundle": "", "vcpus": 0.0, "ram": 0.0}
            self.drops[key] = task
            used = sum(self.drops[k]["vcpus"] for k in present)
            used_ram = sum(self.drops[k]["ram"] for k in present)
            if job is None:
                task["cause"] = "no_such"
            elif any(k[0] == drop for k in present):
                task["cause"] = "in_use"
            elif (used + job["vcpus"] > self.vcpus + 1e-6
                  or used_ram + job["ramGb"] > self.ram + 1e-6):
                task["cause"] = "no_room"
            else:
                fetch_s = 0.0 if job["bundle"] in self.images else job["pullGb"] / self.rate
                run_s = 0.0 if job["shape"] == "daemon" else self.world.run_s(job["nameId"])
                if drop in self.world.finished:
                    run_s = 0.001
                task.update(standing="fetching", until=time.monotonic() + fetch_s, run_s=run_s,
                            bundle=job["bundle"], vcpus=job["vcpus"], ram=job["ramGb"])
            self.changed.set()
        elif verb == "halt" and key in self.drops:
            if self.drops[key]["standing"] != "exited":
                self.exit(drop, attempt, "stopped")
        elif verb == "forget" and key in self.drops:
            if self.drops[key]["standing"] == "exited":
                del self.drops[key]

    def report(self):
        self.tally += 1
        drops = []
        for (drop, attempt), task in self.drops.items():
            entry = {"drop": drop, "try": attempt, "standing": task["standing"]}
            if task["cause"]:
                entry["cause"] = task["cause"]
            drops.append(entry)
        return {"host": self.name, "address": self.address, "flavour": self.flavour,
                "yard": self.yard, "reclaimable": self.reclaimable, "tenure": self.tenure,
                "tally": self.tally, "fence": self.fence, "warningS": None, "drops": drops}

    # Reports.

    def report_forever(self):
        connection, connected_to, last_at = None, None, 0.0
        while not self.is_gone:
            pause = self.world.site["report_s"] * random.uniform(0.75, 1.25)
            if self.changed.wait(pause):
                time.sleep(max(0.0, last_at + 0.5 - time.monotonic()))
            self.changed.clear()
            if self.is_gone:
                return
            last_at = sent_at = time.monotonic()
            with self.lock:
                body = self.report()
            if self.is_cut:
                time.sleep(4.0)
                self.node = (self.node + 1) % len(self.world.nodes)
                time.sleep(1.0)
                continue
            text = json.dumps(body, separators=(",", ":"))
            if len(text) > 64 * 1024:
                self.world.oversized = f"a report of {self.name} would be longer than 64 KiB"
                self.world.record.line(self.name, f"can't send a report of {len(text)} bytes")
                continue
            try:
                if connection is None or connected_to != self.node:
                    if connection:
                        connection.close()
                    port = self.world.nodes[self.node].client_port
                    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=4.0)
                    connected_to = self.node
                connection.request("POST", "/checkin", text,
                                   {"Content-Type": "application/json"})
                response = connection.getresponse()
                status, received = response.status, response.read()
                value = json.loads(received) if received else {}
            except (OSError, http.client.HTTPException, ValueError):
                status, value = 0, {}
            if self.is_cut or self.is_gone:
                status = 0
            self.reports.append((sent_at, len(body["drops"]), len(text), status))
            if status not in (200, 421, 503):
                name = self.world.nodes[self.node].name
                self.world.record.line(self.name, f"report of {len(body['drops'])} drops, {len(text)}"
                                       f" bytes, to {name} -> {status or 'no answer'}"
                                       f" {json.dumps(value)[:100]}")
            if status == 200:
                with self.lock:
                    if body["tenure"] == self.tenure and value.get("fence", -1) >= self.fence:
                        if value["fence"] > self.fence:
                            self.fence = value["fence"]
                            self.changed.set()
                        self.answered_sent_at = sent_at
                        for order in value.get("orders", []):
                            self.execute(order)
                continue
            if connection:
                connection.close()
                connection = None
            names = [node.name for node in self.world.nodes]
            steward = value.get("steward") if status == 421 else None
            if steward in names and names.index(steward) != self.node:
                self.node = names.index(steward)
                self.changed.set()
            else:
                self.node = (self.node + 1) % len(names)
                time.sleep(1.0)
                self.changed.set()

    # Direct commands.

    def answer(self, method, path, query, body):
        while self.is_cut and not self.is_gone:
            time.sleep(0.1)  # the packets are held
        if self.is_gone:
            raise Drop()
        with self.lock:
            if path == "/status":
                return 200, self.report()
            if path != "/do":
                return 404, {}
            request = json.loads(body)
            if "fence" not in request or "tenure" not in request:
                return 400, {}
            if request["fence"] < self.fence or request["tenure"] != self.tenure:
                self.world.record.line(self.name, f"refused a command: fence {request['fence']}, "
                                       f"tenure {request['tenure']}")
                return 409, self.report()
            if request["fence"] > self.fence:
                self.fence = request["fence"]
                self.changed.set()
            for order in request.get("orders", []):
                self.execute(order)
            return 200, self.report()

    def remove(self):
        with self.lock:
            self.is_gone = True
            for (drop, attempt), task in self.drops.items():
                if task["standing"] in ("running", "flushing"):
                    self.world.task_ended(self, drop, attempt, "machine gone")
            self.drops.clear()
        self.changed.set()


# ---------------------------------------------------------------- cloud


class Cloud:
    """Rents machines within a capacity for each (flavour, yard, reclaimable)."""

    def __init__(self, world, capacity):
        self.world = world
        self.capacity = dict(capacity)
        self.lock = threading.RLock()
        self.hosts = {}
        self.removed = []
        self.hires = {}
        self.next = 1
        self.bucket = Bucket(world.site["cloud_rps"], 2.0)
        self.port = serve(self.answer)

    def add(self, flavour, yard, reclaimable, is_up=False):
        with self.lock:
            name = f"n-{self.next:06d}"
            self.next += 1
            host = {"name": name, "flavour": flavour, "yard": yard, "reclaimable": reclaimable,
                    "since": time.monotonic(), "worker": None}
            self.hosts[name] = host
        if is_up:
            host["since"] -= 60.0
            host["worker"] = Worker(self.world, name, flavour, yard, reclaimable)
        else:
            ready_s = self.world.flavours[flavour]["readyS"] * random.uniform(0.8, 1.2)
            threading.Timer(ready_s, self.boot, (host,)).start()
        return name

    def boot(self, host):
        with self.lock:
            if host["name"] in self.hosts and not self.world.is_over:
                host["worker"] = Worker(self.world, host["name"], host["flavour"], host["yard"],
                                        host["reclaimable"])

    def worker(self, name):
        return self.hosts[name]["worker"]

    def answer(self, method, path, query, body):
        time.sleep(random.uniform(0.05, 0.15))
        if not self.bucket.take(1):
            return 429, {"error": "too many requests"}
        if path == "/catalog":
            return 200, {"flavours": [dict(name=n, **v) for n, v in self.world.flavours.items()]}
        if path == "/hosts" and method == "GET":
            return 200, self.listed(query)
        request = json.loads(body)
        if path == "/hosts/delete":
            with self.lock:
                for name in request["hosts"]:
                    host = self.hosts.pop(name, None)
                    if host:
                        self.world.record.line("cloud", f"deleted {name}")
                        offer = (host["flavour"], host["yard"], host["reclaimable"])
                        self.capacity[offer] = self.capacity.get(offer, 0) + 1
                        self.removed.append((time.monotonic(), host))
                        if host["worker"]:
                            host["worker"].remove()
            return 200, {}
        if path == "/hosts":
            with self.lock:
                if request["hire"] in self.hires:
                    return 200, {"hosts": self.hires[request["hire"]]}
                offer = (request["flavour"], request["yard"], request["reclaimable"])
                number = min(request["number"], 50, self.capacity.get(offer, 0))
                if number <= 0:
                    self.world.record.line("cloud", f"no capacity for {offer}")
                    return 503, {"error": "no capacity"}
                self.capacity[offer] -= number
                names = [self.add(*offer) for _ in range(number)]
                self.hires[request["hire"]] = names
                self.world.record.line("cloud", f"rented {names} {offer}")
                return 200, {"hosts": names}
        return 400, {"error": "malformed"}

    def listed(self, query):
        """The list as it was `list_lag_s` ago."""
        then = time.monotonic() - self.world.site["list_lag_s"]
        since, most = query.get("since", ""), min(int(query.get("most", 500)), 500)
        with self.lock:
            hosts = [h for h in self.hosts.values() if h["since"] <= then]
            hosts += [h for at, h in self.removed if at > then and h["since"] <= then]
            hosts = sorted((h for h in hosts if h["name"] > since), key=lambda h: h["name"])
            page = [{"nameId": h["name"], "address": h["worker"].address if h["worker"] else "",
                     "flavour": h["flavour"], "yard": h["yard"], "reclaimable": h["reclaimable"],
                     "standing": "running" if h["worker"] else "starting",
                     "ageS": then - h["since"]} for h in hosts[:most]]
            return {"hosts": page, "more": len(hosts) > most}


# ---------------------------------------------------------------- controllers


def free_port():
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Node:
    """A controller's process, and what the load balancer thinks of it."""

    def __init__(self, world, name, location):
        self.world, self.name, self.location = world, name, location
        self.client_port, self.cluster_port = free_port(), free_port()
        self.state_port = world.state.listen(name)
        self.process = None
        self.starts = 0
        self.is_healthy = False
        self.probes = collections.deque(maxlen=6)

    @property
    def address(self):
        return ("127.0.0.1", self.client_port)

    def settings(self):
        site = self.world.site
        lines = [f'member = "{self.name}"', f'location = "{self.location}"',
                 f'client_listen = "127.0.0.1:{self.client_port}"',
                 f'cluster_listen = "127.0.0.1:{self.cluster_port}"', ""]
        for other in self.world.nodes:
            if other is not self:
                lines += ["[[siblings]]", f'member = "{other.name}"',
                          f'location = "{other.location}"',
                          f'peer_addr = "127.0.0.1:{other.cluster_port}"', ""]
        lines += ["[outside]", f'cloud = "127.0.0.1:{self.world.cloud.port}"',
                  f'state = "127.0.0.1:{self.state_port}"', "", "[settings]",
                  f"count = {len(self.world.nodes)}",
                  f"zones = {json.dumps(site['zones'])}",
                  f"clock_off_ms = {site['clock_off_ms']}", ""]
        for team in site["teams"]:
            lines += ["[[settings.teams]]", f'name = "{team["name"]}"']
            lines += [f"{k} = {team[k]}" for k in ("cpus", "cpus_max", "gpus", "gpus_max")] + [""]
        lines += ["[settings.workers]"]
        lines += [f"{k} = {site[k]}" for k in ("report_s", "lease_s", "gang_wait_s",
                                               "gang_peer_s", "cancel_s")]
        lines += ["", "[settings.state]"]
        lines += [f"{k} = {site[k]}" for k in ("rps", "write_rps", "value_kb", "txn_ops")]
        lines += ["", "[settings.cloud]", f"rps = {site['cloud_rps']}",
                  f"list_lag_s = {site['list_lag_s']}", "", "[settings.quota]"]
        lines += [f"{k} = {site[k]}" for k in ("cpu_share", "ram_mb", "sockets")]
        return "\n".join(lines) + "\n"

    def start(self):
        if self.world.is_over:
            return
        path = os.path.join(self.world.folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        command = self.world.command + [path]
        environment = dict(os.environ, LOG_LEVEL="info")
        self.process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log, env=environment)
        log.close()
        self.starts += 1
        self.world.record.line(self.name, f"started, process {self.process.pid}")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.world.record.line(self.name, "killed")

    def ready(self):
        answer = call(self.address, "GET", "/ready", timeout=1.0)
        return answer is not None and answer[0] == 200

    def probe_forever(self):
        """The load balancer's health check, without its longer pauses after repeated removals."""
        was_healthy, unhealthy_at = False, 0.0
        while not self.world.is_over:
            is_up = self.ready()
            self.probes.append(is_up)
            last = list(self.probes)
            if self.is_healthy:
                if last[-2:] == [False, False] or last.count(False) >= 3:
                    self.is_healthy, unhealthy_at = False, time.monotonic()
                    self.world.record.line("balancer", f"{self.name} is unhealthy")
            elif is_up and (not was_healthy or last[-2:] == [True, True]
                            and time.monotonic() > unhealthy_at + 3.0):
                self.is_healthy = was_healthy = True
                self.probes.clear()
                self.world.record.line("balancer", f"{self.name} is healthy")
            time.sleep(1.0)


# ---------------------------------------------------------------- the whole

SMALL_SITE = {
    # The deployment "Delivery Zone Scheduling Requirements Sheet" (three controllers).
    "zones": ["capital", "xela"], "locations": ["capital", "xela", "capital"],
    "clock_off_ms": 1000.0,
    "report_s": 1.5, "lease_s": 10.0, "gang_wait_s": 50.0, "gang_peer_s": 6.0, "cancel_s": 35.0,
    "rps": 150.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 40,
    "cloud_rps": 6.0, "list_lag_s": 6.0,
    "cpu_share": 0.16, "ram_mb": 56.0, "sockets": 1200,
    "teams": [
        {"name": "mapas", "cpus": 32.0, "cpus_max": 64.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "despacho", "cpus": 64.0, "cpus_max": 176.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "franquicias", "cpus": 56.0, "cpus_max": 136.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "cocinas", "cpus": 32.0, "cpus_max": 104.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "atencion", "cpus": 32.0, "cpus_max": 136.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
}

FLAVOURS = {
    "chiltepe": {"vcpus": 4.0, "accelerators": 0.0, "ramGb": 16.0, "localGb": 70.0,
                 "pullGbPerS": 0.8, "hourly": 0.2, "marketPrice": 0.05, "readyS": 20.0,
                 "yards": ["capital", "xela"]},
    "pepian": {"vcpus": 16.0, "accelerators": 0.0, "ramGb": 32.0, "localGb": 70.0,
               "pullGbPerS": 0.8, "hourly": 0.66, "marketPrice": 0.21, "readyS": 25.0,
               "yards": ["capital", "xela"]},
    "jocon": {"vcpus": 64.0, "accelerators": 0.0, "ramGb": 512.0, "localGb": 70.0,
              "pullGbPerS": 0.8, "hourly": 3.42, "marketPrice": 1.05, "readyS": 20.0,
              "yards": ["capital", "xela"]},
}


# The deployment "Your First Day on Melekt".
MELEKT_SITE = {
    "zones": ["addis"], "locations": ["addis", "addis", "addis"], "clock_off_ms": 5.0,
    "report_s": 3.0, "lease_s": 14.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0, "cancel_s": 44.0,
    "rps": 150.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 16,
    "cloud_rps": 4.0, "list_lag_s": 4.0,
    "cpu_share": 0.12, "ram_mb": 104.0, "sockets": 1200,
    "teams": [{"name": "hub-ops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
}

MELEKT_FLAVOURS = {
    "bunna": {"vcpus": 8.0, "accelerators": 0.0, "ramGb": 32.0, "localGb": 70.0,
              "pullGbPerS": 0.4, "hourly": 0.55, "marketPrice": 0.12, "readyS": 15.0,
              "yards": ["addis"]},
    "injera": {"vcpus": 32.0, "accelerators": 0.0, "ramGb": 128.0, "localGb": 40.0,
               "pullGbPerS": 0.3, "hourly": 2.02, "marketPrice": 0.5, "readyS": 25.0,
               "yards": ["addis"]},
    "shemma": {"vcpus": 64.0, "accelerators": 0.0, "ramGb": 128.0, "localGb": 35.0,
               "pullGbPerS": 0.5, "hourly": 3.77, "marketPrice": 0.91, "readyS": 35.0,
               "yards": ["addis"]},
}


def run_command():
    """The `run` line of the deploy file, as a list."""
    with open(os.path.join(ROOT, "deploy", "service.toml"), encoding="utf-8") as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == "run":
                command = shlex.split(json.loads(value.strip()))
                command[0] = os.path.join(ROOT, command[0])
                if not os.access(command[0], os.X_OK):
                    raise CannotRun(f"{command[0]} is not built")
                return command
    raise CannotRun("deploy/service.toml has no run line")


class World:
    def __init__(self, folder, site=None, flavours=None, capacity=None):
        self.site = dict(SMALL_SITE, **(site or {}))
        self.flavours = flavours or FLAVOURS
        self.command = run_command()
        self.folder = tempfile.mkdtemp(prefix="glenmount-review-")
        self.record = Recorder(os.path.join(folder, "record.txt"))
        self.is_over = False
        self.oversized = None  # why a worker could not report within the protocol's limits
        self.jobs, self.run_seconds, self.finished = {}, {}, set()
        self.task_lock = threading.Lock()
        self.task_log = []
        self.nodes = []
        self.state = StateService(self.site)
        self.cloud = Cloud(self, capacity or {})
        for index, location in enumerate(self.site["locations"]):
            self.nodes.append(Node(self, f"bothy-{index}", location))

    def start(self, timeout_s=15.0):
        for node in self.nodes:
            node.start()
            threading.Thread(target=node.probe_forever, daemon=True).start()
        self.wait_for(lambda: all(n.is_healthy for n in self.nodes), timeout_s, "ready controllers")

    def wait_for(self, condition, timeout_s, what):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.02)
        raise CannotRun(f"no {what} within {timeout_s} s")

    def run_s(self, job):
        return self.run_seconds.get(job, 10.0)

    def task_began(self, worker, drop, attempt):
        self.record.line(worker.name, f"runs {drop} try {attempt}")
        with self.task_lock:
            self.task_log.append((time.monotonic(), "began", worker.name, drop, attempt))

    def task_ended(self, worker, drop, attempt, cause):
        self.record.line(worker.name, f"ended {drop} try {attempt}: {cause}")
        with self.task_lock:
            self.task_log.append((time.monotonic(), "ended", worker.name, drop, attempt))

    def began(self, job):
        with self.task_lock:
            return [e for e in self.task_log if e[1] == "began" and e[3].split("/")[0] == job]

    # Users.

    def request(self, node, method, path, body=None, timeout=5.0, quiet=False):
        answer = call(node.address, method, path, body, timeout)
        if not quiet:
            shown = "no answer" if answer is None else f"{answer[0]} {json.dumps(answer[2])}"
            self.record.line("user", f"{node.name} {method} {path} -> {shown}")
        return answer

    def submit(self, job, run_s, first=0, give_up_s=60.0, quiet=False):
        """Submits as a user does, with retries, until an answer that is not retried."""
        self.jobs[job["nameId"]] = job
        self.run_seconds[job["nameId"]] = run_s
        if not quiet:
            self.record.line("user", f"submits {json.dumps(job)}")
        until = time.monotonic() + give_up_s
        turn = first
        while time.monotonic() < until and not self.is_over:
            node = self.nodes[turn % len(self.nodes)]
            turn += 1
            if not node.is_healthy:
                continue
            answer = self.request(node, "POST", "/v2/runs", job, quiet=quiet)
            if answer and answer[0] in (200, 201, 400, 422):
                return answer[0]
            after = answer and answer[1].get("Retry-After")
            time.sleep(max(1.0, min(30.0, float(after or 1))))
        return None

    def close(self):
        self.is_over = True
        for node in self.nodes:
            try:
                if node.process and node.process.poll() is None:
                    node.process.kill()
                    node.process.wait()
            except OSError:
                pass
        for host in list(self.cloud.hosts.values()):
            if host["worker"]:
                host["worker"].is_gone = True
        for node in self.nodes:
            path = os.path.join(self.folder, f"{node.name}.log")
            if os.path.exists(path):
                with open(path, encoding="utf-8", errors="replace") as file:
                    for line in file.read().splitlines()[-400:]:
                        if any(word in line for word in LOGGED):
                            self.record.line(node.name, "log: " + line[:300])
        self.record.close()
        if not os.environ.get("KEEP"):
            for name in os.listdir(self.folder):
                os.unlink(os.path.join(self.folder, name))
            os.rmdir(self.folder)


LOGGED = ("problem", "peer status", "state list", "watch lagging", "ERROR", "shut", "started")


def job(name, **fields):
    values = {
        "nameId": name, "jobclass": "area-redraw", "owner": "mapas", "shape": "array",
        "rank": "standard", "drops": 1, "vcpus": 4.0, "accelerators": 0.0, "ramGb": 7.6,
        "bundle": "img-01", "pullGb": 0.4, "flavours": None, "yard": None, "together": False,
        "scatter": False, "reclaimable": True, "expectS": 40.0, "snapshotS": 0.0, "flushS": 0.0,
        "dueS": None,
    }
    values.update(fields)
    return values


def play(folder, case, **world):
    """Plays case(world, with_trouble) -> True if the rule held; exits with 0, 1 or 2."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    made = None

    def out_of_time():
        print("could not run: out of time", file=sys.stderr)
        if made:
            made.record.line("case", "could not run: out of time")
            made.close()
        os._exit(2)

    limit = threading.Timer(118.5, out_of_time)
    limit.daemon = True
    limit.start()

    def end(*_):
        raise CannotRun("stopped by a signal")

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    try:
        made = World(folder, **world)
        made.record.line("case", f"TROUBLE={int(has_trouble)}")
        held = case(made, has_trouble)
        if made.oversized:
            raise CannotRun(made.oversized)
        verdict = "the rule held" if held else "THE RULE WAS BROKEN"
        made.record.line("case", verdict)
        print(verdict)
        code = 0 if held else 1
    except CannotRun as error:
        if made:
            made.record.line("case", f"could not run: {error}")
        print(f"could not run: {error}", file=sys.stderr)
        code = 2
    finally:
        if made:
            made.close()
    limit.cancel()
    sys.stdout.flush()
    os._exit(code)
