"""Build ``dist/plantainhitch``: the program and its libraries in one file.

Takes the libraries from the environment that runs it, and downloads nothing. See
``docs/binary.md``. Usage: ``python tools/make_binary.py [OUTPUT]``.
"""

import hashlib
import importlib.util
import sys
import zipfile
from importlib import metadata
from pathlib import Path

from packaging.requirements import Requirement

ROOT = Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "plantainhitch"
SHEBANG = b"#!/usr/bin/env python3.11\n"
MANIFEST = "unpack.txt"
# The same for every file, so that equal contents give an equal file.
FILE_TIME = (2020, 1, 1, 0, 0, 0)
# Packages that read data files by their path.
READS_ITS_FILES = frozenset(("plantainhitch", "certifi"))
# Named by libraries, but not imported by what we use of them: build tools, made-up
# test data, and colours for terminals.
LEFT_OUT = frozenset(
    (
        "faker",
        "markdown-it-py",
        "mdurl",
        "pbr",
        "polyfactory",
        "pygments",
        "setuptools",
    )
)


def _name_of(requirement):
    return requirement.name.lower().replace("_", "-")


def distributions():
    """Return the installed libraries that requirements.in needs, by name."""
    lines = (ROOT / "requirements.in").read_text().split()
    waiting = [Requirement(line) for line in lines]
    found = {}
    while waiting:
        requirement = waiting.pop()
        name = _name_of(requirement)
        extras = requirement.extras or {""}
        if name in LEFT_OUT or (name in found and not requirement.extras):
            continue
        found[name] = metadata.distribution(name)
        for line in found[name].requires or ():
            needed = Requirement(line)
            if any(_applies(needed, extra) for extra in extras):
                waiting.append(needed)
    return found


def _applies(requirement, extra):
    marker = requirement.marker
    return marker is None or marker.evaluate({"extra": extra})


def _is_wanted(name):
    parts = Path(name).parts
    is_outside = ".." in parts or Path(name).is_absolute()
    return not is_outside and "__pycache__" not in parts


def library_files():
    """Return the libraries' files: name in the file -> path."""
    files = {}
    for distribution in distributions().values():
        for file in distribution.files:
            if _is_wanted(str(file)):
                files[str(file)] = Path(distribution.locate_file(file))
    return files


def own_files():
    """Return the program's files: name in the file -> path."""
    paths = (ROOT / "plantainhitch").rglob("*")
    return {
        str(path.relative_to(ROOT)): path
        for path in paths
        if path.is_file() and "__pycache__" not in path.parts
    }


def _is_shared_library(name):
    return ".so" in Path(name).suffixes


def names_to_unpack(files):
    """Return the files that can't be used from inside the file."""
    tops = {Path(name).parts[0] for name in files if _is_shared_library(name)}
    tops |= READS_ITS_FILES
    return [name for name in sorted(files) if Path(name).parts[0] in tops]


def _compiled(path, name):
    """Return a module's code as a .pyc that is never compared with its source."""
    code = compile(path.read_bytes(), name, "exec", dont_inherit=True, optimize=0)
    source_hash = importlib.util.source_hash(path.read_bytes())
    from importlib._bootstrap_external import _code_to_hash_pyc

    return bytes(_code_to_hash_pyc(code, source_hash, checked=False))


def _add(archive, name, data):
    info = zipfile.ZipInfo(name, FILE_TIME)
    info.external_attr = 0o755 << 16
    archive.writestr(info, data, zipfile.ZIP_DEFLATED)


def _add_folders(archive, files):
    """Add folders as entries of their own: namespace packages need them."""
    folders = {str(folder) for name in files for folder in Path(name).parents}
    for folder in sorted(folders - {"."}):
        archive.writestr(zipfile.ZipInfo(f"{folder}/", FILE_TIME), b"")


def _content(files, unpacked):
    """Yield (name, bytes): sources, their compiled form, and data."""
    for name, path in sorted(files.items()):
        yield name, path.read_bytes()
        if path.suffix != ".py":
            continue
        compiled = _compiled(path, name)
        if name in unpacked:
            cached = importlib.util.cache_from_source(name)
            yield cached, compiled
        else:
            yield name + "c", compiled


def build(output):
    """Write the file and make it executable."""
    files = library_files() | own_files()
    unpacked = frozenset(names_to_unpack(files))
    digest = hashlib.blake2b(digest_size=16)
    manifest = []
    output.parent.mkdir(exist_ok=True)
    with output.open("wb") as stream:
        stream.write(SHEBANG)
        with zipfile.ZipFile(stream, "w") as archive:
            _add_folders(archive, files)
            for name, data in _content(files, unpacked):
                _add(archive, name, data)
                if name in unpacked or "__pycache__" in name:
                    manifest.append(name)
                    digest.update(name.encode() + b"\0" + data)
            lines = "\n".join((digest.hexdigest(), *manifest))
            _add(archive, MANIFEST, lines.encode())
            _add(archive, "__main__.py", (ROOT / "tools" / "boot.py").read_bytes())
    output.chmod(0o755)
    return output


if __name__ == "__main__":
    built = build(Path(sys.argv[1]) if len(sys.argv) > 1 else OUTPUT)
    print(f"{built}: {built.stat().st_size / 1e6:.1f} MB")
