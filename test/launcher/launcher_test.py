"""Checks that a signal can't end a router while its libraries are loaded: the executable links only
the C library and blocks signals before it loads the router. Also checks that the executable refuses
to start with a library that is missing, damaged or from another build.
"""

import argparse
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

LIMIT_S = 10.0
HANDLED = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


class Failed(Exception):
    """A check is violated; the message says how."""


def check(holds, message):
    if not holds:
        raise Failed(message)


class Installation:
    """A copy of the executable in a folder of its own, without its library."""

    def __init__(self, folder, build, program, library):
        self.program = folder / "bin" / program
        self.library = folder / library.relative_to(build)
        self.program.parent.mkdir(parents=True)
        self.library.parent.mkdir(parents=True)
        shutil.copy(build / "bin" / program, self.program)

    def start(self):
        return subprocess.Popen([self.program, "--help"], stdin=subprocess.DEVNULL,
                                stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    def check_refusal(self, *told):
        """It ends with code 1 and one line that contains each of `told`."""
        process = self.start()
        output, errors = process.communicate(timeout=LIMIT_S)
        check(process.returncode == 1 and not output, f"ended with {process.returncode}: {output}")
        check(errors.count("\n") == 1 and "can't start" in errors, f"told {errors!r}")
        for text in told:
            check(text in errors, f"{text!r} isn't in {errors!r}")


def blocked_signals(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
    mask = int(next(line.split()[1] for line in status.splitlines() if line.startswith("SigBlk")), 16)
    return {number for number in HANDLED if mask >> (number - 1) & 1}


def depends_on_the_c_library_alone(installation, _):
    listed = subprocess.run(["readelf", "-d", installation.program], check=True, text=True,
                            capture_output=True).stdout
    needed = [line.split("[")[1].rstrip("]") for line in listed.splitlines() if "(NEEDED)" in line]
    check(needed == ["libc.so.6"], f"{len(needed)} libraries are loaded before it runs: {needed}")


def signals_wait_while_the_library_is_loaded(installation, _):
    os.mkfifo(installation.library)
    process = installation.start()
    try:
        writer = open_for_reader(installation.library, process)
        check(blocked_signals(process) == set(HANDLED), f"blocks {blocked_signals(process)} only")
        for number in HANDLED:
            process.send_signal(number)
        os.close(writer)  # The library turns out to be empty.
        process.communicate(timeout=LIMIT_S)
        check(process.returncode == 1, f"ended with {process.returncode}")
    finally:
        process.kill()
        process.communicate()


def open_for_reader(fifo, process):
    """Opens the writing end once the process has opened the other."""
    until = time.monotonic() + LIMIT_S
    while True:
        try:
            return os.open(fifo, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:  # Nobody reads yet.
            check(process.poll() is None, f"ended with {process.returncode}")
            check(time.monotonic() < until, "doesn't load its library")
            time.sleep(0.001)


def missing_library_is_refused(installation, _):
    installation.check_refusal(installation.library.name, "No such file")


def damaged_library_is_refused(installation, _):
    installation.library.write_text("not a library", encoding="ascii")
    installation.check_refusal(installation.library.name)


def library_of_another_build_is_refused(installation, other_build):
    shutil.copy(other_build, installation.library)
    installation.check_refusal("of build another build")


CASES = (depends_on_the_c_library_alone, signals_wait_while_the_library_is_loaded,
         missing_library_is_refused, damaged_library_is_refused,
         library_of_another_build_is_refused)


def main(options):
    violated = 0
    for library in options.libraries:
        for case in CASES:
            with tempfile.TemporaryDirectory(prefix="ferryroad-launcher-") as folder:
                try:
                    case(Installation(pathlib.Path(folder), options.build, library.stem, library),
                         options.other_build)
                    print(f"ok       {library.stem}: {case.__name__}")
                except Failed as failure:
                    violated += 1
                    print(f"VIOLATED {library.stem}: {case.__name__}: {failure}")
    return 1 if violated else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--other-build", type=pathlib.Path, required=True)
    parser.add_argument("libraries", type=pathlib.Path, nargs="+", help="one of each program")
    sys.exit(main(parser.parse_args()))
