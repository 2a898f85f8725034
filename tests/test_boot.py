"""The single-file program imports its own libraries, not those of the instance."""

import importlib.util
import os
import subprocess
import sys
import tempfile
import unittest
import zipfile
from pathlib import Path
from unittest import mock

from tools import make_binary

ROOT = Path(__file__).resolve().parent.parent
BOOT = ROOT / "tools" / "boot.py"
PROGRAM = b"""
import signal

def main():
    blocked = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    print(__file__, signal.SIGHUP in blocked)
"""


class BootTests(unittest.TestCase):
    """The module search path after the start.

    Libraries installed on an instance may have other versions than the bundled ones.
    """

    def test_installed_libraries_are_removed_from_the_path(self):
        spec = importlib.util.spec_from_file_location("boot", BOOT)
        boot = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(boot)
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "program"
            with zipfile.ZipFile(file, "w") as archive:
                archive.writestr(boot.MANIFEST, "digest\nlibrary/one.so")
                archive.writestr("library/one.so", b"")
            kept = [str(file), "/usr/lib/python3.11"]
            installed = "/usr/lib/python3.11/site-packages"
            with (
                mock.patch.object(sys, "path", [*kept, installed]),
                mock.patch.dict("os.environ", {boot.FOLDER_VARIABLE: folder}),
            ):
                boot.boot(file)
                unpacked, *rest = sys.path
            self.assertEqual(rest, kept)
            self.assertTrue((Path(unpacked) / "library" / "one.so").exists())

    def test_signals_are_held_back_and_the_package_is_the_unpacked_one(self):
        # Guards against an early import of the package from the file, in which its data
        # files can't be opened.
        package = {
            "plantainhitch/__init__.py": b"",
            "plantainhitch/commands/__init__.py": b"",
            "plantainhitch/commands/main.py": PROGRAM,
        }
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "program"
            with zipfile.ZipFile(file, "w") as archive:
                archive.writestr("unpack.txt", "\n".join(("digest", *package)))
                for name, data in package.items():
                    archive.writestr(name, data)
                for name, path in make_binary.START_FILES.items():
                    archive.write(ROOT / path, name)
            output = subprocess.check_output(
                (sys.executable, file, "entry"),
                env=os.environ | {"PLANTAINHITCH_UNPACK": folder},
                text=True,
            )
        path, is_held_back = output.split()
        self.assertTrue(Path(path).is_relative_to(folder))
        self.assertFalse(Path(path).is_relative_to(file))
        self.assertEqual("True", is_held_back)
