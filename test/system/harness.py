"""A running system for process-level tests.

Starts the system with scripts/stack, sends load with `ferrybench load`, injects faults and checks
the run with `ferrybench audit`. Tests wait for conditions; the timeout only ends a test that would
otherwise hang.
"""

import collections
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("FERRYROAD_BUILD", ROOT / "build")).resolve()
WORKLOADS = ROOT / "bench" / "workloads"
LIMIT_SECONDS = 120
POLL_SECONDS = 0.02
PROGRESS = re.compile(r": (\d+)/\d+ ended")


def wait_until(condition, what, limit=LIMIT_SECONDS):
    """Waits for a condition and returns its first true value."""
    end = time.monotonic() + limit
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(f"timed out after {limit} s waiting until {what}")
        time.sleep(POLL_SECONDS)


def exchange(url, value=None, limit=10):
    """Sends a GET, or a POST of a JSON value. Returns (status, body), or (None, "") on no answer."""
    body = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(url, data=body, headers={"Content-Type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=limit) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return None, ""


class Load:
    """One run of `ferrybench load` in the background."""

    def __init__(self, system, name, workload, options):
        self.name = name
        self.records = system.directory / f"{name}.records"
        self.report = system.directory / f"{name}.report"
        self.progress = system.directory / f"{name}.progress"
        command = [system.program("ferrybench"), "load", "--endpoints", system.endpoints_file,
                   "--workload", WORKLOADS / workload, "--run", name, "--label", name,
                   "--records", self.records, "--json", self.report, "--output", "none",
                   "--progress-ms", "20", *options]
        with open(self.progress, "wb") as output:
            self.process = subprocess.Popen([str(part) for part in command], stderr=output,
                                            stdin=subprocess.DEVNULL)

    def ended(self):
        """Returns the number of requests that have ended so far."""
        found = PROGRESS.findall(self.progress.read_text(errors="replace"))
        return int(found[-1]) if found else 0

    def wait_ended(self, count):
        """Waits until `count` requests have ended. Fails if the run ends before that."""
        def reached():
            if self.process.poll() is not None:
                raise AssertionError(f"load {self.name} ended before {count} requests had ended")
            return self.ended() >= count
        wait_until(reached, f"{count} requests of load {self.name} ended")

    def wait(self):
        """Waits for the end of the run. Returns its figures."""
        wait_until(lambda: self.process.poll() is not None, f"load {self.name} ends")
        if not self.report.exists():
            raise AssertionError(f"load {self.name} failed:\n{self.progress.read_text()}")
        return json.loads(self.report.read_text(encoding="utf-8"))["runs"][0]

    def calls(self):
        with open(self.records, encoding="utf-8") as lines:
            return [json.loads(line) for line in lines]


class System:
    """The running processes of one system, by name."""

    def __init__(self, directory, options):
        self.directory = pathlib.Path(directory)
        self.endpoints_file = self.directory / "endpoints.json"
        self.counts = collections.Counter()
        self.loads = []
        self.executions_lost = False
        self._stack("start", "--build", BUILD, *options)
        entries = json.loads((self.directory / "processes.json").read_text(encoding="utf-8"))
        self.processes = {entry["name"]: entry for entry in entries}
        self.children = {}
        self.routers = [name for name in self.processes if name.startswith("router")]
        self.engines = [name for name in self.processes if name.startswith("engine")]
        self.endpoints = json.loads(self.endpoints_file.read_text(encoding="utf-8"))

    def _stack(self, command, *options):
        arguments = [ROOT / "scripts" / "stack", command, "--dir", self.directory, *options]
        done = subprocess.run([str(part) for part in arguments], capture_output=True, text=True,
                              check=False)
        if done.returncode != 0:
            raise AssertionError(f"stack {command}: {done.stderr}")

    def program(self, name):
        return BUILD / "bin" / name

    # Faults on processes

    def signal(self, name, number):
        os.kill(self.processes[name]["pid"], number)

    def alive(self, name):
        child = self.children.get(name)
        if child is not None and child.poll() is not None:
            return False
        stat = pathlib.Path("/proc") / str(self.processes[name]["pid"]) / "stat"
        try:
            return stat.read_text().rpartition(")")[2].split()[0] not in "ZX"
        except OSError:
            return False

    def wait_dead(self, name):
        wait_until(lambda: not self.alive(name), f"{name} ends")

    def kill(self, name):
        """Kills the process with SIGKILL. An engine loses its list of executions."""
        self.signal(name, signal.SIGKILL)
        self.wait_dead(name)
        self.counts["kills"] += 1
        if "kind" in self.processes[name]:
            self.executions_lost = True

    def freeze(self, name):
        self.signal(name, signal.SIGSTOP)
        self.counts["freezes"] += 1

    def resume(self, name):
        self.signal(name, signal.SIGCONT)

    def stop(self, name):
        """Stops the process gracefully with SIGTERM. Returns once it has ended."""
        self.signal(name, signal.SIGTERM)
        self.wait_dead(name)
        self.counts["planned stops"] += 1

    def respawn(self, name):
        """Starts a new process with the same settings; it has no state of the earlier one."""
        entry = self.processes[name]
        with open(entry["log"], "ab") as log:
            self.children[name] = subprocess.Popen(
                [entry["program"], "--settings", entry["settings"]], stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, start_new_session=True)
        entry["pid"] = self.children[name].pid
        entries = list(self.processes.values())
        (self.directory / "processes.json").write_text(json.dumps(entries), encoding="utf-8")
        self.counts["restarts"] += 1

    # Faults of the emulators

    def fault(self, name, value):
        status, body = exchange(f"http://{self.processes[name]['http']}/emulator/faults", value)
        if status != 200:
            raise AssertionError(f"fault {value} on {name}: {status} {body}")

    # State of the system

    def ready(self, router):
        return exchange(f"http://{self.processes[router]['http']}/readyz")[0] == 200

    def wait_ready(self, *routers):
        for router in routers or self.routers:
            wait_until(lambda at=router: self.ready(at), f"{router} is ready")

    def ferryctl(self, router, *arguments):
        """Returns (exit code, standard output, standard error)."""
        command = [self.program("ferryctl"), "--router", self.processes[router]["operator"],
                   "--output", "json", *arguments]
        done = subprocess.run([str(part) for part in command], capture_output=True, text=True,
                              stdin=subprocess.DEVNULL, check=False)
        return done.returncode, done.stdout, done.stderr

    def status(self, router):
        """Returns the router's view, or None if `ferryctl status` fails."""
        code, output, _ = self.ferryctl(router, "status")
        return json.loads(output) if code == 0 else None

    def states(self, router):
        """Returns the states of routers and engines by name, as seen by one router."""
        status = self.status(router)
        if status is None:
            return {}
        members = status.get("routers", []) + status.get("engines", [])
        return {member["name"]: member["state"] for member in members}

    def wait_state(self, seen_by, name, *states):
        wait_until(lambda: self.states(seen_by).get(name) in states,
                   f"{seen_by} sees {name} as {' or '.join(states)}")

    def revision(self, router):
        status = self.status(router)
        return None if status is None else int(status["revision"])

    def executions(self, engine):
        status, body = exchange(f"http://{self.processes[engine]['http']}/emulator/executions")
        if status != 200:
            raise AssertionError(f"{engine}: reading the executions failed with status {status}")
        return json.loads(body)["executions"]

    # Load and audit

    def load(self, name, workload, *options):
        self.loads.append(Load(self, name, workload, options))
        return self.loads[-1]

    def run_load(self, name, workload, *options):
        return self.load(name, workload, *options).wait()

    def audit(self):
        """Audits all runs together. Returns the result of `ferrybench audit`."""
        command = [self.program("ferrybench"), "audit", "--endpoints", self.endpoints_file,
                   "--output", "json", "--records", *(load.records for load in self.loads)]
        if self.executions_lost:
            command.append("--executions-lost")
        done = subprocess.run([str(part) for part in command], capture_output=True, text=True,
                              check=False)
        if not done.stdout:
            raise AssertionError(f"audit: {done.stderr}")
        return json.loads(done.stdout)

    def close(self):
        for load in self.loads:
            if load.process.poll() is None:
                load.process.kill()
                load.process.wait()
        for name in self.processes:
            if self.alive(name):
                self.signal(name, signal.SIGCONT)
        self._stack("stop")
        for child in self.children.values():
            child.wait()


class Scenario(unittest.TestCase):
    """Base class of tests that each run on a system of their own."""

    stack_options = ()

    def setUp(self):
        self.directory = tempfile.mkdtemp(prefix="ferryroad-system-")
        self.system = None
        self.addCleanup(self._clean)
        self.system = System(self.directory, self.stack_options)

    def _clean(self):
        if self.system is not None:
            self.system.close()
        outcome = self._outcome.result
        failed = any(test is self for test, _ in outcome.failures + outcome.errors)
        if failed:
            print(f"logs and records are in {self.directory}", file=sys.stderr)
        else:
            shutil.rmtree(self.directory)

    def assert_no_violation(self):
        verdict = self.system.audit()
        outcomes = collections.Counter()
        for load in self.system.loads:
            for call in load.calls():
                refused = call["outcome"] == "refused"
                outcomes[f"refused {call['error_code']}" if refused else call["outcome"]] += 1
        counts = {**self.system.counts, **outcomes}
        print(f"{self.id()}: {verdict['calls']} requests, {verdict['executions']} executions, "
              + ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
              + f", {len(verdict['violations'])} violations")
        self.assertEqual(verdict["violations"], [])
        return verdict

    def assert_whole(self, figures, refusals=()):
        """Checks that no request was cut, failed or wrong, and that refusals are only as named."""
        seen = {name: figures[name] for name in ("cut", "failed", "wrong")}
        self.assertEqual(seen, {"cut": 0, "failed": 0, "wrong": 0}, figures["refused_by_code"])
        self.assertLessEqual(set(figures["refused_by_code"]), set(refusals))
        self.assertEqual(figures["complete"] + figures["refused"], figures["requests"])
