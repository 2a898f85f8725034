"""Starts the program from its one file; it is that file's ``__main__``.

Python modules are imported from the file itself. Shared libraries can't be, so the
packages that hold any are unpacked once into a folder named by their content,
which processes of the same build on one instance share. No process is started.
"""

import os
import shutil
import stat
import sys
import tempfile
import zipfile
from pathlib import Path

# Where to unpack; on instances without disks this is memory-backed.
FOLDER_VARIABLE = "PLANTAINHITCH_UNPACK"
MANIFEST = "unpack.txt"


def _folder_of(digest):
    """Return the folder for this build, below one that only we can write to."""
    base = os.environ.get(FOLDER_VARIABLE) or os.environ.get("XDG_RUNTIME_DIR")
    parent = Path(base or tempfile.gettempdir()) / f"plantainhitch-{os.getuid()}"
    parent.mkdir(mode=0o700, parents=True, exist_ok=True)
    found = parent.lstat()
    is_ours = found.st_uid == os.getuid() and stat.S_ISDIR(found.st_mode)
    if not is_ours or found.st_mode & 0o022:
        sys.exit(f"others may write to {parent}; set {FOLDER_VARIABLE}")
    return parent / digest


def _unpack(archive, names, folder):
    """Unpack into a folder beside, then rename it: whole or not at all."""
    partial = Path(tempfile.mkdtemp(dir=folder.parent))
    archive.extractall(partial, names)
    try:
        partial.rename(folder)
    except OSError:
        # Another process was first.
        shutil.rmtree(partial)
        if not folder.is_dir():
            raise


def _is_ours(path):
    """Return whether to import from ``path``: not what the instance has installed.

    Libraries load optional parts wherever they find them.
    """
    return Path(path).name not in ("site-packages", "dist-packages")


def boot(file):
    """Make the modules in ``file`` importable."""
    with zipfile.ZipFile(file) as archive:
        digest, *names = archive.read(MANIFEST).decode().splitlines()
        try:
            folder = _folder_of(digest)
            if not folder.is_dir():
                _unpack(archive, names, folder)
        except OSError as error:
            sys.exit(f"can't unpack: {error}; set {FOLDER_VARIABLE}")
    sys.path[:] = [str(folder), *(path for path in sys.path if _is_ours(path))]


if __name__ == "__main__":
    boot(sys.path[0])
    from plantainhitch.commands.main import main

    sys.exit(main())
