#!/usr/bin/env python3
"""Prints measures of the benchmark reports with their bounds; exits with 1 when a bound is missed.

Usage: print_verdicts.py BOUNDS REPORT_FOLDER
A measure that is absent from its report counts as missed.
"""
import json
import pathlib
import sys


def read_value(folder, bound):
    """Value at the bound's JSON pointer, or None."""
    try:
        value = json.loads((folder / f"bench_{bound['report']}.json").read_text())
        for name in bound["pointer"].strip("/").split("/"):
            value = value[int(name)] if isinstance(value, list) else value[name]
    except (OSError, ValueError, KeyError, IndexError):
        return None
    return value if isinstance(value, (int, float)) else None


def main():
    bounds = json.loads(pathlib.Path(sys.argv[1]).read_text())
    folder = pathlib.Path(sys.argv[2])
    print(f"{'measure':<60} {'value':>10} {'bound':>10} verdict")
    missed = 0
    for bound in bounds:
        value = read_value(folder, bound)
        met = value is not None and value <= bound["most"]
        missed += not met
        text = "absent" if value is None else f"{value:.4g}"
        print(f"{bound['measure']:<60} {text:>10} {bound['most']:>10} {'met' if met else 'MISSED'}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
