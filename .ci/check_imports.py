"""Checks the import rules that rustfmt on the stable toolchain cannot enforce.

Each `use` imports one item, and the imports at the head of a file form three groups separated by a
blank line: the standard library, external crates, own crates. With `--fix`, the groups are rewritten.
"""

import pathlib
import re
import sys

STANDARD = ("std", "core", "alloc")
OWN = ("crate", "self", "super")
IMPORT = re.compile(r"use ([A-Za-z_0-9]+)(?:::[^{}]*)?;$")


def group_of(line):
    root = IMPORT.match(line).group(1)
    if root in STANDARD:
        return 0
    if root in OWN or root.startswith("nutmegwalk"):
        return 2
    return 1


def head_imports(lines):
    """Returns the range of lines with the private imports at the head of a file."""
    numbers = []
    for number, line in enumerate(lines):
        if IMPORT.match(line):
            numbers.append(number)
        elif numbers and line:
            break
    return (numbers[0], numbers[-1] + 1) if numbers else (0, 0)


def arranged(imports):
    groups = [sorted(line for line in imports if line and group_of(line) == group) for group in range(3)]
    return "\n\n".join("\n".join(group) for group in groups if group).split("\n")


def main():
    fix = "--fix" in sys.argv
    failed = False
    for path in sorted(pathlib.Path(".").rglob("*.rs")):
        if "target" in path.parts:
            continue
        lines = path.read_text().split("\n")
        for number, line in enumerate(lines, 1):
            if re.match(r"\s*(pub(\([a-z]+\))? )?use [^;]*\{", line):
                failed = True
                print(f"{path}:{number}: import one item per `use`", file=sys.stderr)
        start, end = head_imports(lines)
        imports = lines[start:end]
        if not imports:
            continue
        wanted = arranged(imports)
        same_groups = [line for line in imports if line] == [line for line in wanted if line]
        if same_groups and imports == wanted:
            continue
        if fix:
            path.write_text("\n".join(lines[:start] + wanted + lines[end:]))
        elif sorted(imports) != sorted(wanted) or [group_of(l) if l else "" for l in imports] != [
            group_of(l) if l else "" for l in wanted
        ]:
            failed = True
            message = "separate imports into groups: standard library, external crates, own crates"
            print(f"{path}:{start + 1}: {message}", file=sys.stderr)
    sys.exit(1 if failed else 0)


main()
