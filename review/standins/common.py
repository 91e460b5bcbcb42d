"""Shared parts of the stand-ins: record, HTTP over asyncio, free ports, controllers as processes."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run, with the time, to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")

    def write(self, text):
        self.file.write(f"{now():9.3f} {text}\n")

    def say(self, text):
        self.write(text)
        self.file.flush()
        print(f"{now():8.2f} {text}", flush=True)

    def close(self):
        self.file.close()


class Ports:
    """Free ports of this machine, below those that the system gives to outgoing connections."""

    BLOCK = 64

    def __init__(self):
        self.guard, self.left = None, []

    def begin_block(self):
        """Takes a block of ports. Its first one is kept bound, so that no other script takes it."""
        for _ in range(200):
            first = 12_000 + self.BLOCK * random.randrange(300)
            guard = socket.socket()
            try:
                guard.bind((HOST, first))
                guard.listen()
            except OSError:
                guard.close()
                continue
            self.guard, self.left = guard, list(range(first + 1, first + self.BLOCK))
            return
        raise RuntimeError("there is no free block of ports")

    def take(self, count):
        if self.guard is None:
            self.begin_block()
        ports = []
        while len(ports) < count and self.left:
            port = self.left.pop(0)
            with socket.socket() as s:
                s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    s.bind((HOST, port))
                except OSError:
                    continue
            ports.append(port)
        if len(ports) < count:
            raise RuntimeError("there are too few free ports")
        return ports


free_ports = Ports().take


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


class NoAnswer(Exception):
    """The stand-in does not answer this request; its connection stays open and silent."""


class Server:
    """An HTTP/1.1 server; `handle(method, path, body)` returns (status, value)."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None

    async def listen(self, port):
        self.server = await asyncio.start_server(self.connection, HOST, port, backlog=512)

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                try:
                    status, value = await self.handle(method, path, body)
                except NoAnswer:
                    await reader.read()
                    return
                payload = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reset_all(self):
        """Resets all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        if self.server:
            self.server.close()
        self.reset_all()


class Connection:
    """A client's connection, kept open between requests."""

    def __init__(self, port):
        self.port = port
        self.reader = None
        self.writer = None
        # Requests on it wait for each other.
        self.lock = asyncio.Lock()
        # The client doesn't use it any more.
        self.dropped = False

    async def request(self, method, path, body=None, timeout=5.0, close=False):
        """Returns (status, headers, value); raises OSError or TimeoutError without an answer."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, body, close), timeout)
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            self.close()
            raise OSError(f"connection failure: {type(error).__name__}") from None
        except (asyncio.TimeoutError, TimeoutError):
            self.close()
            raise TimeoutError("no response") from None
        except asyncio.CancelledError:
            self.close()
            raise

    async def exchange(self, method, path, body, close):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        payload = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}:{self.port}\r\n"
        if body is not None:
            head += f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n"
        if close:
            head += "Connection: close\r\n"
        self.writer.write(head.encode() + b"\r\n" + payload)
        first, headers = await read_head(self.reader)
        text = await read_body(self.reader, headers)
        if close or headers.get("connection", "").lower() == "close":
            self.close()
        value = json.loads(text) if text else None
        return int(first.split(" ")[1]), headers, value

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Controllers:
    """The project's program, started with the command of the deploy file."""

    def __init__(self, record, names, zones, settings, cloud_port, state_port):
        self.record = record
        self.names = names
        count = len(names)
        ports = free_ports(2 * count)
        self.ports = ports[:count]
        self.peer_ports = ports[count:]
        self.folder = tempfile.mkdtemp(prefix="millethold-review-")
        with open(os.path.join(REPOSITORY, "deploy", "service.toml"), "rb") as file:
            self.command = tomllib.load(file)["run"].split()
        self.processes = [None] * count
        self.zones = zones
        self.settings = settings
        self.cloud_port = cloud_port
        self.state_port = state_port

    def write_settings(self):
        for i, name in enumerate(self.names):
            text = f'member = "{name}"\nlocation = "{self.zones[i]}"\n'
            text += f'bind = "{HOST}:{self.ports[i]}"\npeer_bind = "{HOST}:{self.peer_ports[i]}"\n'
            for j, peer in enumerate(self.names):
                if j != i:
                    text += f'[[peers]]\nmember = "{peer}"\nlocation = "{self.zones[j]}"\n'
                    text += f'address = "{HOST}:{self.peer_ports[j]}"\n'
            text += f'[endpoints]\ncloud = "{HOST}:{self.cloud_port}"\n'
            text += f'state = "{HOST}:{self.state_port}"\n' + self.settings
            with open(os.path.join(self.folder, f"{name}.toml"), "w") as file:
                file.write(text)

    def start(self, i):
        name = self.names[i]
        log = open(os.path.join(self.folder, f"{name}.log"), "a")
        command = self.command + [os.path.join(self.folder, f"{name}.toml")]
        level = os.environ.get("REVIEW_LOG_LEVEL", "info")
        self.processes[i] = subprocess.Popen(
            command, cwd=REPOSITORY, stderr=log, stdout=log, stdin=subprocess.DEVNULL,
            env={**os.environ, "LOG_LEVEL": level},
        )
        log.close()
        self.record.write(f"controller {name} started")

    def signal(self, i, number):
        self.processes[i].send_signal(number)
        self.record.write(f"controller {self.names[i]}: signal {signal.Signals(number).name}")

    def ended_by_itself(self):
        return [self.names[i] for i, p in enumerate(self.processes) if p and p.poll() is not None]

    def stop(self):
        for process in self.processes:
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            if process:
                process.wait()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Balancer:
    """The load balancer: for each new connection a healthy node with the fewest open ones."""

    def __init__(self, record, controllers):
        self.record = record
        self.controllers = controllers
        count = len(controllers.names)
        self.healthy = [False] * count
        self.ever = [False] * count
        self.recent = [[] for _ in range(count)]
        self.open = [[] for _ in range(count)]
        self.removed_at = [0.0] * count

    async def probe(self, i):
        while True:
            try:
                status, _, _ = await Connection(self.controllers.ports[i]).request(
                    "GET", "/healthz", timeout=1.0, close=True)
                good = status == 200
            except (OSError, TimeoutError):
                good = False
            recent = self.recent[i]
            recent.append(good)
            del recent[:-6]
            if self.healthy[i]:
                if recent[-2:] == [False, False] or recent.count(False) >= 3:
                    self.healthy[i] = False
                    self.removed_at[i] = now()
                    self.record.write(f"balancer: {self.controllers.names[i]} is unhealthy")
            else:
                back = recent[-2:] == [True, True] and now() - self.removed_at[i] >= 3.0
                if back or (good and not self.ever[i]):
                    self.healthy[i] = self.ever[i] = True
                    recent.clear()
                    self.record.write(f"balancer: {self.controllers.names[i]} is healthy")
                elif self.ever[i] and now() - self.removed_at[i] >= 5.0:
                    for connection in self.open[i]:
                        connection.close()
                    self.open[i].clear()
            await asyncio.sleep(1.0)

    def connect(self):
        """A connection to the node that the balancer picks; (connection, node) or None."""
        for i in range(len(self.open)):
            self.open[i] = [c for c in self.open[i] if not c.dropped]
        candidates = [i for i in range(len(self.open)) if self.healthy[i]]
        if not candidates:
            return None
        least = min(len(self.open[i]) for i in candidates)
        node = random.choice([i for i in candidates if len(self.open[i]) == least])
        connection = Connection(self.controllers.ports[node])
        self.open[node].append(connection)
        return connection, node

    @staticmethod
    def drop(connection):
        connection.dropped = True
        connection.close()


def run_script(main, folder, limit_s=120.0):
    """Runs `main(record)` with a time limit; exits with its result."""
    record = Record(os.environ.get("REVIEW_RECORD") or os.path.join(folder, "record.txt"))

    async def guarded():
        return await asyncio.wait_for(main(record), limit_s - now() - 2.0)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        result = asyncio.run(guarded())
    except (asyncio.TimeoutError, TimeoutError):
        record.say("the case could not run: out of time")
        result = 2
    except Exception as error:  # whatever goes wrong here says nothing about the rule
        traceback.print_exc()
        record.say(f"the case could not run: {error!r}")
        result = 2
    record.say(f"exit status {result}")
    record.close()
    sys.exit(result)
