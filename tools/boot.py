"""The ``__main__`` module of the single-file program; prepares imports and starts it.

Python modules are imported from the file itself. Shared libraries can't be imported
from a zip file, so packages that contain any are unpacked once into a folder named by
the digest of their content. Processes of the same build on one instance share that
folder. No other process is started.
"""

import os
import shutil
import stat
import sys
import tempfile
import zipfile
from pathlib import Path

# Overrides the base folder to unpack into; memory-backed on instances without disks.
FOLDER_VARIABLE = "PLANTAINHITCH_UNPACK"
MANIFEST = "unpack.txt"


def _unpack_folder(digest):
    """Return the folder for this build; its parent is writable by this user only.

    Exits if the parent is no folder of this user or others may write to it.
    """
    base = os.environ.get(FOLDER_VARIABLE) or os.environ.get("XDG_RUNTIME_DIR")
    parent = Path(base or tempfile.gettempdir()) / f"plantainhitch-{os.getuid()}"
    parent.mkdir(mode=0o700, parents=True, exist_ok=True)
    status = parent.lstat()
    is_own_folder = status.st_uid == os.getuid() and stat.S_ISDIR(status.st_mode)
    if not is_own_folder or status.st_mode & 0o022:
        sys.exit(
            f"not a folder that only this user may write to: {parent}; "
            f"set {FOLDER_VARIABLE}"
        )
    return parent / digest


def _unpack(archive, names, folder):
    """Unpack into a temporary folder and rename it, so that it is never partial."""
    partial = Path(tempfile.mkdtemp(dir=folder.parent))
    archive.extractall(partial, names)
    try:
        partial.rename(folder)
    except OSError:
        # Another process of the same build renamed its folder first.
        shutil.rmtree(partial)
        if not folder.is_dir():
            raise


def _is_outside_site_packages(path):
    """Return whether ``path`` is no folder of installed packages.

    Libraries import optional dependencies wherever they find them, so the packages
    installed on the instance are taken off the import path.
    """
    return Path(path).name not in ("site-packages", "dist-packages")


def boot(archive_path):
    """Make the modules in the zip file at ``archive_path`` importable."""
    with zipfile.ZipFile(archive_path) as archive:
        digest, *names = archive.read(MANIFEST).decode().splitlines()
        try:
            folder = _unpack_folder(digest)
            if not folder.is_dir():
                _unpack(archive, names, folder)
        except OSError as error:
            sys.exit(f"can't unpack shared libraries: {error}; set {FOLDER_VARIABLE}")
    sys.path[:] = [
        str(folder),
        *(path for path in sys.path if _is_outside_site_packages(path)),
    ]


if __name__ == "__main__":
    # A copy in the file: the package itself is imported once it has been unpacked.
    import signal_mask

    signal_mask.block_for_command(sys.argv[1:])
    boot(sys.path[0])
    from plantainhitch.commands.main import main

    sys.exit(main())
