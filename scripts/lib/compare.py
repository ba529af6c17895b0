"""Runs benches on this tree and on an earlier commit and prints the ratios
(now / before) of their figures.

compare.py REV NAME...
"""
import pathlib
import subprocess
import sys
import tempfile

import bench_lines

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


class CompareError(Exception):
    """A required step failed, so nothing can be compared."""


def run(command, folder):
    completed = subprocess.run(command, cwd=folder, capture_output=True,
                               text=True)
    if completed.returncode != 0:
        raise CompareError(f"{' '.join(map(str, command))} in {folder} exited "
                           f"with status {completed.returncode}:\n"
                           f"{completed.stderr}")
    return completed.stdout


def run_bench(folder, name):
    """Returns the figures of a bench; empty if the tree has no such bench.

    Ignores the exit status: a figure may exceed its bound here.
    """
    commands = [[folder / "build" / f"{name}_bench"],
                [sys.executable, folder / "scripts/lib" / f"{name}_bench.py"]]
    figures = {}
    for command in commands:
        if command[-1].exists():
            completed = subprocess.run(command, cwd=folder,
                                       capture_output=True, text=True)
            figures |= bench_lines.parse(completed.stdout)
    return figures


def print_ratios(name, earlier, current):
    for key in sorted(earlier.keys() | current.keys()):
        old, new = earlier.get(key), current.get(key)
        if old is None or new is None:
            print(f"bench={name} figure={key[1]} only="
                  f"{'present' if old is None else 'earlier'}")
            continue
        before, now = float(old["value"]), float(new["value"])
        ratio = f"{now / before:.3f}" if before else "none"
        print(f"bench={name} figure={key[1]} before={before:.6g} "
              f"now={now:.6g} unit={new['unit']} ratio={ratio}", flush=True)


def compare(revision, names):
    commit = run(["git", "rev-parse", "--verify", f"{revision}^{{commit}}"],
                 ROOT).strip()
    with tempfile.TemporaryDirectory(prefix="compare-") as folder:
        tree = pathlib.Path(folder) / "tree"
        run(["git", "worktree", "add", "--detach", str(tree), commit], ROOT)
        try:
            run(["scripts/build", "build"], tree)
            print(f"compare: now against {commit[:12]}", flush=True)
            for name in names:
                print_ratios(name, run_bench(tree, name),
                             run_bench(ROOT, name))
        finally:
            run(["git", "worktree", "remove", "--force", str(tree)], ROOT)


def main():
    if len(sys.argv) < 3:
        print("usage: scripts/bench --compare REV [NAME...]", file=sys.stderr)
        return 2
    try:
        compare(sys.argv[1], sys.argv[2:])
    except CompareError as error:
        print(f"compare: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
