"""The processes of the soak."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time

from tests.earlier_build import CURRENT_BUILD, ROOT
from tests.ports import free_port
from tests.soak.proxy import Proxy

ZONES = "abcd"
MAX_TWO_ZONE_NODES = 8
"""Nodes for which two zones are enough; else there are four."""


def free_port_pair():
    """A port that nobody listens at, and neither at the next one."""
    while True:
        port, following = free_port(), free_port()
        if following == port + 1:
            return port


def zone_of(number, count):
    """The zone of one of so many things."""
    zones = 2 if count <= MAX_TWO_ZONE_NODES else len(ZONES)
    return ZONES[number * zones // count]


class Process:
    """One program, started again under the same name."""

    def __init__(self, name, folder, arguments, env=None):
        self.name = name
        self.life_count = 0
        self.was_stopped = False
        """Whether it was told to end, or was killed, and was not started since."""
        self._folder = folder
        self.arguments = ("-m", *arguments)
        self.root = ROOT
        """The tree from which it is started next."""
        self._env = {**os.environ, **(env or {})}
        self._popen = None

    @property
    def log(self):
        return self._folder / f"{self.name}.log"

    @property
    def life(self):
        return f"{self.name}#{self.life_count}"

    @property
    def pid(self):
        return self._popen.pid

    @property
    def runs(self):
        return self._popen is not None and self._popen.poll() is None

    def start(self):
        """Start it, unless another fault has done so meanwhile."""
        if self.runs:
            return
        self.life_count += 1
        self.was_stopped = False
        # Inherited: the sign of a suspension may come before the program can handle it.
        signal.signal(signal.SIGUSR1, signal.SIG_IGN)
        with self.log.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-W", "ignore", *self.arguments], cwd=self.root,
                env=self._env | {"PYTHONPATH": str(self.root)},
                stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            )  # fmt: skip

    def signal(self, number):
        with contextlib.suppress(ProcessLookupError):
            if self.runs:
                self._popen.send_signal(number)

    def terminate(self):
        self.was_stopped = True
        self.signal(signal.SIGTERM)

    def kill(self):
        self.was_stopped = True
        self.signal(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()


class Node:
    """A node: its process, its ports, and its own way to the store."""

    def __init__(self, name, zone, folder, store_port):
        self.name = name
        self.front, self.ready = free_port(), free_port()
        peer = free_port_pair()
        self.metrics = peer + 1
        self.store_link = Proxy(store_port)
        settings = folder / f"{name}.json"
        document = {
            "node": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "portRange": [peer, peer + 1],
            "bounds": {"graceS": 8, "settleMs": 1000, "statusS": 600},
            "platform": {"address": f"127.0.0.1:{self.store_link.port}", "parts": 2},
        }
        settings.write_text(json.dumps(document))
        env = {"POSTVALVE_CONFIG": str(settings)}
        self.process = Process(name, folder, [], env)
        self.use_build(CURRENT_BUILD)

    def use_build(self, build):
        """Start it from this build from now on; a life that runs goes on."""
        self.build = build
        self.process.root, self.process.arguments = build.root, build.arguments


class Engine:
    """An engine: each life has an id of its own, or the one before, behind a proxy of its own."""

    module = "tests.soak.engine"
    slots = 4

    def __init__(self, number, folder):
        self.number = number
        self.folder = folder
        self.life_number = 0
        self.start()

    def start_again(self, *, keeps_id=False):
        """Start it after its end, unless another fault has done so meanwhile."""
        if not self.process.runs:
            self.start(keeps_id=keeps_id)

    def start(self, *, keeps_id=False):
        """Start its next life; one that leaves serves on beside it."""
        self.life_number += 1
        if not keeps_id:
            self.engine_id = f"e{self.number}-{self.life_number}"
        self.born = int(time.time() * 1000)
        self.port = free_port()
        self.link = Proxy(self.port)
        arguments = [self.module, self.engine_id, str(self.port)]
        self.process = Process(self.engine_id, self.folder, arguments)
        self.process.start()
