"""The single-file program imports its own libraries, not those of the instance."""

import importlib.util
import sys
import tempfile
import unittest
import zipfile
from pathlib import Path
from unittest import mock

BOOT = Path(__file__).resolve().parent.parent / "tools" / "boot.py"


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
