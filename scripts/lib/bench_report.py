"""Writes an HTML page with a table of bench figures and plots of slopes.

bench_report.py LINES.txt PAGE.html

A slope is a group of figures of one bench whose names differ only in the
number at the end (the size), such as idle_12 and idle_1100.
"""
import html
import pathlib
import re
import sys

import bench_lines

WIDTH, HEIGHT, MARGIN = 480, 240, 50


def slopes(figures):
    """Returns a dict from (bench, name, unit) to the sorted (size, value)
    points of that slope."""
    groups = {}
    for (bench, name), fields in figures.items():
        match = re.fullmatch(r"(.*)_(\d+)", name)
        if match:
            key = bench, match[1], fields["unit"]
            groups.setdefault(key, []).append(
                (int(match[2]), float(fields["value"])))
    return {k: sorted(v) for k, v in groups.items() if len(v) > 1}


def plot(title, unit, points):
    max_x = max(x for x, _ in points)
    max_y = max(y for _, y in points) or 1

    def to_pixel(x, y):
        return (MARGIN + x / max_x * (WIDTH - 2 * MARGIN),
                HEIGHT - MARGIN - y / max_y * (HEIGHT - 2 * MARGIN))

    pixels = [to_pixel(x, y) for x, y in points]
    line = " ".join(f"{x:.1f},{y:.1f}" for x, y in pixels)
    circles = "".join(
        f'<circle cx="{x:.1f}" cy="{y:.1f}" r="3"><title>{size}: {value:g} '
        f"{html.escape(unit)}</title></circle>"
        for (x, y), (size, value) in zip(pixels, points))
    base = HEIGHT - MARGIN
    return f"""<figure><svg width="{WIDTH}" height="{HEIGHT}" role="img">
<title>{html.escape(title)}</title>
<path d="M{MARGIN},{MARGIN / 2} V{base} H{WIDTH - MARGIN / 2}" class="axis"/>
<polyline points="{line}"/>{circles}
<text x="{MARGIN}" y="{MARGIN / 2 - 5}">{max_y:g} {html.escape(unit)}</text>
<text x="{WIDTH - MARGIN}" y="{base + 18}" text-anchor="end">{max_x}</text>
<text x="{MARGIN}" y="{base + 18}">0</text>
</svg><figcaption>{html.escape(title)}</figcaption></figure>"""


def table(figures):
    rows = []
    for (bench, name), fields in figures.items():
        ok = fields.get("ok", "")
        rows.append(
            f'<tr class="{"passed" if ok == "false" else ""}">' + "".join(
                f"<td>{html.escape(cell)}</td>" for cell in
                (bench, name, fields["value"], fields["unit"],
                 fields.get("bound", ""), ok)) + "</tr>")
    head = "".join(f"<th>{h}</th>" for h in
                   ("bench", "figure", "value", "unit", "bound", "ok"))
    return f"<table><tr>{head}</tr>{''.join(rows)}</table>"


def page(figures):
    plots = "".join(plot(f"{bench}: {name}", unit, points)
                    for (bench, name, unit), points
                    in sorted(slopes(figures).items()))
    return f"""<!doctype html><html lang="en"><meta charset="utf-8">
<title>cyclamenwind: bench report</title><style>
body {{ font-family: sans-serif; max-width: 64em; margin: auto; }}
figure {{ display: inline-block; margin: 0.5em; }}
polyline, .axis {{ fill: none; stroke: #246; }} .axis {{ stroke: #999; }}
circle {{ fill: #246; }} text {{ font-size: 11px; }}
td, th {{ padding: 0 0.8em; text-align: left; }} .passed {{ color: #b00; }}
</style><h1>Bench report</h1><h2>Slopes</h2>{plots}
<h2>Figures</h2>{table(figures)}</html>
"""


def main():
    if len(sys.argv) != 3:
        print("usage: bench_report.py LINES.txt PAGE.html", file=sys.stderr)
        return 2
    figures = bench_lines.parse(pathlib.Path(sys.argv[1]).read_text())
    pathlib.Path(sys.argv[2]).write_text(page(figures))
    print(f"report: {len(figures)} figures, {len(slopes(figures))} slopes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
