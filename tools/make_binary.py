"""Build ``dist/plantainhitch``: the program and its libraries in one zip file.

The libraries come from the environment that runs this script; none is downloaded. See
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
# Files that run before the packages are unpacked, by their names in the archive.
START_FILES = {
    "__main__.py": "tools/boot.py",
    "signal_mask.py": "plantainhitch/signal_mask.py",
}
# A constant modification time, so that builds of equal contents are identical.
FILE_TIME = (2020, 1, 1, 0, 0, 0)
# Packages that open their data files by path, which fails inside a zip file.
FILE_READING_PACKAGES = frozenset(("plantainhitch", "certifi"))
# Requirements of libraries that the program never imports: build tools, generators of
# test data, and terminal formatting.
EXCLUDED_LIBRARIES = frozenset(
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


def _normalized_name(requirement):
    return requirement.name.lower().replace("_", "-")


def distributions():
    """Return {name: distribution} of requirements.in and their dependencies."""
    lines = (ROOT / "requirements.in").read_text().split()
    pending = [Requirement(line) for line in lines]
    found = {}
    while pending:
        requirement = pending.pop()
        name = _normalized_name(requirement)
        extras = requirement.extras or {""}
        if name in EXCLUDED_LIBRARIES or (name in found and not requirement.extras):
            continue
        found[name] = metadata.distribution(name)
        for line in found[name].requires or ():
            dependency = Requirement(line)
            if any(_is_applicable(dependency, extra) for extra in extras):
                pending.append(dependency)
    return found


def _is_applicable(requirement, extra):
    marker = requirement.marker
    return marker is None or marker.evaluate({"extra": extra})


def _is_packaged(name):
    parts = Path(name).parts
    is_outside = ".." in parts or Path(name).is_absolute()
    return not is_outside and "__pycache__" not in parts


def library_files():
    """Return {name in the archive: path} of the libraries' files."""
    files = {}
    for distribution in distributions().values():
        for file in distribution.files:
            if _is_packaged(str(file)):
                files[str(file)] = Path(distribution.locate_file(file))
    return files


def program_files():
    """Return {name in the archive: path} of the program's files."""
    paths = (ROOT / "plantainhitch").rglob("*")
    return {
        str(path.relative_to(ROOT)): path
        for path in paths
        if path.is_file() and "__pycache__" not in path.parts
    }


def _is_shared_library(name):
    return ".so" in Path(name).suffixes


def names_to_unpack(files):
    """Return the sorted names of files that can't be used from inside the archive.

    They are all files of packages that contain shared libraries or read data files.
    """
    top_level_names = {
        Path(name).parts[0] for name in files if _is_shared_library(name)
    }
    top_level_names |= FILE_READING_PACKAGES
    return [name for name in sorted(files) if Path(name).parts[0] in top_level_names]


def _compile_to_pyc(path, name):
    """Return a module as the bytes of an unchecked, hash-based .pyc file.

    The import system never compares such a file with its source.
    """
    code = compile(path.read_bytes(), name, "exec", dont_inherit=True, optimize=0)
    source_hash = importlib.util.source_hash(path.read_bytes())
    from importlib._bootstrap_external import _code_to_hash_pyc

    return bytes(_code_to_hash_pyc(code, source_hash, checked=False))


def _write_file(archive, name, data):
    info = zipfile.ZipInfo(name, FILE_TIME)
    info.external_attr = 0o755 << 16
    archive.writestr(info, data, zipfile.ZIP_DEFLATED)


def _write_folders(archive, files):
    """Write an archive member for each folder; namespace packages need them."""
    folders = {str(folder) for name in files for folder in Path(name).parents}
    for folder in sorted(folders - {"."}):
        archive.writestr(zipfile.ZipInfo(f"{folder}/", FILE_TIME), b"")


def _iterate_files(files, unpacked):
    """Yield (name, bytes) of each file, and of the .pyc after each source file.

    The .pyc of a file to unpack goes to its ``__pycache__``; others go beside it.
    """
    for name, path in sorted(files.items()):
        yield name, path.read_bytes()
        if path.suffix != ".py":
            continue
        compiled = _compile_to_pyc(path, name)
        if name in unpacked:
            cached = importlib.util.cache_from_source(name)
            yield cached, compiled
        else:
            yield name + "c", compiled


def build(output):
    """Write the executable archive to ``output`` and return ``output``.

    Its manifest names the digest of the files to unpack, then the files.
    """
    files = library_files() | program_files()
    unpacked = frozenset(names_to_unpack(files))
    digest = hashlib.blake2b(digest_size=16)
    manifest = []
    output.parent.mkdir(exist_ok=True)
    with output.open("wb") as stream:
        stream.write(SHEBANG)
        with zipfile.ZipFile(stream, "w") as archive:
            _write_folders(archive, files)
            for name, data in _iterate_files(files, unpacked):
                _write_file(archive, name, data)
                if name in unpacked or "__pycache__" in name:
                    manifest.append(name)
                    digest.update(name.encode() + b"\0" + data)
            lines = "\n".join((digest.hexdigest(), *manifest))
            _write_file(archive, MANIFEST, lines.encode())
            for name, path in START_FILES.items():
                _write_file(archive, name, (ROOT / path).read_bytes())
    output.chmod(0o755)
    return output


if __name__ == "__main__":
    built = build(Path(sys.argv[1]) if len(sys.argv) > 1 else OUTPUT)
    print(f"{built}: {built.stat().st_size / 1e6:.1f} MB")
