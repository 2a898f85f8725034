"""Run ``dist/plantainhitch`` and check that it works by itself.

It runs without the libraries of any environment, and with an audit hook that ends
it where it would start another process.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import urllib.request
from pathlib import Path

BINARY = Path(__file__).resolve().parent.parent / "dist" / "plantainhitch"
FOLDER_VARIABLE = "PLANTAINHITCH_UNPACK"
TIME_LIMIT_S = 30
EXIT_USAGE = 2
EXIT_STARTED_CHILD = 70
ENTRY_SETTINGS = """
[process]
name = "entry-1"
zone = "zone-1"
[listen]
http = "127.0.0.1:0"
link = "127.0.0.1:0"
[platform]
address = "{platform}"
"""
RUN = f"""
import os, runpy, sys
STARTS = ("os.exec", "os.fork", "os.forkpty", "os.posix_spawn", "os.spawn",
    "os.startfile", "os.system", "pty.spawn", "subprocess.Popen")
def guard(event, arguments):
    if event in STARTS:
        os.write(2, f"{{event}} {{arguments}}".encode())
        os._exit({EXIT_STARTED_CHILD})
sys.addaudithook(guard)
sys.argv = sys.argv[1:]
runpy.run_path(sys.argv[0], run_name="__main__")
"""


def start(folder, *words):
    """Start the binary with these words."""
    return subprocess.Popen(
        [sys.executable, "-I", "-S", "-c", RUN, str(BINARY), *words],
        env={FOLDER_VARIABLE: folder, "PATH": os.environ["PATH"]},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def check_usage(folder):
    """The command line is there and refuses a bad command."""
    process = start(folder, "no-such-command")
    _, errors = process.communicate(timeout=TIME_LIMIT_S)
    expect(
        process.returncode == EXIT_USAGE, f"exit code {process.returncode}: {errors}"
    )
    expect("usage: plantainhitch" in errors, errors)


def check_services(folder):
    """The platform's stand-in and an entry start, answer over HTTP, and end."""
    platform = Service(folder, "standin", "platform", "--listen", "127.0.0.1:0")
    with platform:
        expect(platform.get("/counters") is not None, "counters")
        settings = Path(folder) / "entry.toml"
        settings.write_text(ENTRY_SETTINGS.format(platform=platform.address))
        with Service(folder, "entry", str(settings)) as entry:
            document = entry.get("/schema/openapi.json")
            expect("paths" in document, "no OpenAPI document")


class Service:
    """A process of the binary that prints its address when it is ready."""

    def __init__(self, folder, *words):
        self._process = start(folder, *words)
        line = self._process.stdout.readline()
        if not line:
            expect(False, f"{words} didn't start: {self._process.stderr.read()}")
        self.address = json.loads(line)["http"]

    def __enter__(self):
        return self

    def __exit__(self, kind, *details):
        if kind is None:
            self._process.send_signal(signal.SIGTERM)
        else:
            self._process.kill()
        _, errors = self._process.communicate(timeout=TIME_LIMIT_S)
        code = self._process.returncode
        if kind is None:
            expect(code in (0, -signal.SIGTERM), f"exit code {code}: {errors}")

    def get(self, path):
        """Return the JSON at ``path``."""
        url = f"http://{self.address}{path}"
        with urllib.request.urlopen(url, timeout=TIME_LIMIT_S) as answer:
            return json.load(answer)


def check_modules(folder):
    """Every module of the program can be imported."""
    script = (
        "import sys; sys.path.insert(0, sys.argv[1]); import importlib, runpy;"
        "boot = runpy.run_path(sys.argv[1], run_name='b')['boot'];"
        "boot(sys.argv[1]); import pkgutil, plantainhitch as p;"
        "names = [m.name for m in pkgutil.walk_packages(p.__path__, 'plantainhitch.')];"
        "[importlib.import_module(n) for n in names if not n.endswith('__main__')];"
        "print(len(names))"
    )
    done = subprocess.run(
        [sys.executable, "-I", "-S", "-c", script, str(BINARY)],
        env={FOLDER_VARIABLE: folder, "PATH": os.environ["PATH"]},
        capture_output=True,
        text=True,
        timeout=TIME_LIMIT_S,
        check=False,
    )
    expect(done.returncode == 0, done.stderr)
    print(f"{done.stdout.strip()} modules imported from the one file")


def expect(is_so, detail):
    """End with exit code 1 where something isn't as it must be."""
    if not is_so:
        sys.exit(f"the binary fails its check: {detail}")


def main():
    """Run all checks in a fresh folder."""
    with tempfile.TemporaryDirectory() as folder:
        for check in (check_usage, check_services, check_modules):
            check(folder)
    print("the binary works")


if __name__ == "__main__":
    main()
