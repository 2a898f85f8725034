"""Check that ``dist/plantainhitch`` runs without installed libraries.

The binary runs isolated from site-packages (``python -I -S``). Except for the import
check, an audit hook ends it where it would start another process.
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
GUARDED_RUN_SCRIPT = f"""
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


def start(folder, *arguments):
    """Start the binary with these arguments, under the audit hook."""
    return subprocess.Popen(
        [sys.executable, "-I", "-S", "-c", GUARDED_RUN_SCRIPT, str(BINARY), *arguments],
        env={FOLDER_VARIABLE: folder, "PATH": os.environ["PATH"]},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def check_usage(folder):
    """Check that an unknown command gives a usage error and its exit code."""
    process = start(folder, "no-such-command")
    _, errors = process.communicate(timeout=TIME_LIMIT_S)
    require(
        process.returncode == EXIT_USAGE, f"exit code {process.returncode}: {errors}"
    )
    require("usage: plantainhitch" in errors, errors)


def check_services(folder):
    """Check that the platform stand-in and an entry start, serve HTTP and stop."""
    platform = Service(folder, "standin", "platform", "--listen", "127.0.0.1:0")
    with platform:
        require(platform.get("/counters") is not None, "counters")
        settings = Path(folder) / "entry.toml"
        settings.write_text(ENTRY_SETTINGS.format(platform=platform.address))
        with Service(folder, "entry", str(settings)) as entry:
            document = entry.get("/schema/openapi.json")
            require("paths" in document, "no OpenAPI document")


class Service:
    """A running service of the binary; ``address`` is its HTTP address.

    As a context manager it ends the process: with SIGTERM and a check of the exit
    code, or after an exception with SIGKILL.
    """

    def __init__(self, folder, *arguments):
        self._process = start(folder, *arguments)
        line = self._process.stdout.readline()
        if not line:
            require(False, f"{arguments} didn't start: {self._process.stderr.read()}")
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
            require(code in (0, -signal.SIGTERM), f"exit code {code}: {errors}")

    def get(self, path):
        """Return the decoded JSON response of a GET of ``path``."""
        url = f"http://{self.address}{path}"
        with urllib.request.urlopen(url, timeout=TIME_LIMIT_S) as response:
            return json.load(response)


def check_modules(folder):
    """Check that every module of the program can be imported."""
    script = (
        "import sys; sys.path.insert(0, sys.argv[1]); import importlib, runpy;"
        "boot = runpy.run_path(sys.argv[1], run_name='b')['boot'];"
        "boot(sys.argv[1]); import pkgutil, plantainhitch as p;"
        "names = [m.name for m in pkgutil.walk_packages(p.__path__, 'plantainhitch.')];"
        "[importlib.import_module(n) for n in names if not n.endswith('__main__')];"
        "print(len(names))"
    )
    completed = subprocess.run(
        [sys.executable, "-I", "-S", "-c", script, str(BINARY)],
        env={FOLDER_VARIABLE: folder, "PATH": os.environ["PATH"]},
        capture_output=True,
        text=True,
        timeout=TIME_LIMIT_S,
        check=False,
    )
    require(completed.returncode == 0, completed.stderr)
    print(f"{completed.stdout.strip()} modules imported from the binary")


def require(condition, detail):
    """Exit with code 1 and the detail unless the condition holds."""
    if not condition:
        sys.exit(f"check of the binary failed: {detail}")


def main():
    """Run all checks with a new temporary folder to unpack into."""
    with tempfile.TemporaryDirectory() as folder:
        for check in (check_usage, check_services, check_modules):
            check(folder)
    print("all checks of the binary passed")


if __name__ == "__main__":
    main()
