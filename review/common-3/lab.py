"""Starts the entry program and small stand-ins on loopback addresses, for the scripts of review/11 on.

The store is the project's own stand-in. Plain runners are processes of their own (runner.py).
"""
import http.client
import itertools
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "waxwingwing")
STAND_INS = os.path.join(ROOT, "build", "review-3", "waxwingwing_stand_ins")
RUNNER = os.path.join(ROOT, "review", "common-3", "runner.py")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % probe.getsockname()[1]


def call(address, method, path, headers=None, body=b"", timeout=5.0):
    """Sends one request on a connection of its own and reads the whole answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def write_record(store, topic, key, value):
    content = bytes([len(key)]) + key.encode() + value.encode()
    record = struct.pack(">I", len(content)) + content
    status, _ = call(store, "POST", "/v1/log-append?topic=%s&part=0" % topic, body=record)
    if status != 200:
        raise CannotRun("the store answers %d" % status)


def route(name, prefix, kind, **more):
    fields = dict(name=name, host="desk.example", path_prefix=prefix, type=kind, timeout_ms=8000,
                  goal_ms=400, gap_goal_ms=250, priority=1, attempts=2, anonymous=False,
                  service="desk")
    fields.update(more)
    return fields


def configuration(version, routes):
    return dict(version=version, routes=routes,
                services=[dict(name="desk", max_conns=354, cold_per_s=0)],
                limits=dict(max_header_bytes=16384, max_body_bytes=4194304, header_timeout_ms=3000,
                            idle_timeout_ms=15000),
                tenants=[dict(name="first", api_keys=["key-1"], priority=1)])


class Lab:
    """The processes and the record of one case."""

    def __init__(self, folder):
        self.started = []
        self.work = tempfile.mkdtemp(prefix="review-")
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.numbers = itertools.count(1)
        for path in (PROGRAM, STAND_INS):
            if not os.access(path, os.X_OK):
                raise CannotRun(os.path.relpath(path, ROOT) + " is not built")

    def note(self, text):
        with self.lock:
            self.record.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
            self.record.flush()

    def start(self, name, arguments, **environment):
        output = open(os.path.join(self.work, name + ".out"), "w")
        errors = open(os.path.join(self.work, name + ".err"), "w")
        process = subprocess.Popen(arguments, stdin=subprocess.DEVNULL, stdout=output, stderr=errors,
                                   env=dict(os.environ, **environment))
        process.output = output.name
        self.started.append(process)
        return process

    def first_line(self, process, limit=10.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            with open(process.output) as output:
                line = output.readline()
            if line.endswith("\n"):
                return json.loads(line)
            time.sleep(0.02)
        raise CannotRun("a process says nothing")

    def start_store(self):
        self.store = self.first_line(self.start("store", [STAND_INS, "store"]))["address"]
        return self.store

    def start_runner(self, identity, mode, slots=26):
        runner = self.start(identity, [sys.executable, RUNNER, self.store, identity, mode, str(slots)])
        runner.address = self.first_line(runner)["address"]
        return runner

    def start_entry(self, name, **limits):
        front, ready, link = free_address(), free_address(), free_address()
        port = int(link.split(":")[1])
        settings = dict(
            node_name=name, role="entry", machine_class="front", serves=["front"], ip="127.0.0.1",
            zone="ifo", region="ogun-west", zones={"ifo": "ogun-west"},
            listen=dict(front=front, ready=ready), port_range=[port, port], seeds=[],
            bootstrap=True, in_tolerance=False,
            limits=dict(dict(cpu_share=0.25, cores=1, memory_mb=260, max_fds=4100,
                             link_mbps=1000.0, disk_mb=0), **limits),
            discovery="platform", entry="vip", heartbeat_ms=1200,
            bounds=dict(contact_ms=3000, drain_ms=2000, grace_s=8, config_apply_ms=2000,
                        strict_revoke=True, revoke_ms=5000, retry_ratio=0.2, retry_window_s=10,
                        retry_slack=136, evacuate_ms=5000, stall_ms=6000),
            platform=dict(addr=self.store, form="log", writes_per_s=400, reads_per_s=2000, parts=12,
                          ttl_min_ms=1000))
        path = os.path.join(self.work, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        entry = self.start(name, [PROGRAM, "entry"], WAXWINGWING_SETTINGS=path)
        entry.front, entry.ready = front, ready
        end = time.monotonic() + 10
        while not self.says_ready(entry):
            if time.monotonic() > end:
                raise CannotRun("the entry VM is not ready")
            time.sleep(0.05)
        return entry

    def says_ready(self, entry):
        try:
            return call(entry.ready, "GET", "/v1/ready", timeout=1.0)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def headers(self, deadline_ms):
        return {"Host": "desk.example", "Request-Id": "r%06d" % next(self.numbers),
                "Deadline-Ms": str(deadline_ms), "Api-Key": "key-1"}

    def close(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.started:
            process.wait()
        shutil.rmtree(self.work, ignore_errors=True)
        self.record.close()


def run(folder, case):
    """Runs `case(lab)` and ends with its result; every process it started has ended by then."""
    lab = None
    try:
        lab = Lab(folder)
        result = case(lab)
        lab.note({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}[result])
    except CannotRun as reason:
        print("cannot run: %s" % reason, file=sys.stderr)
        result = CANNOT_RUN
    finally:
        if lab is not None:
            lab.close()
    sys.exit(result)
