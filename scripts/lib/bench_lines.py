"""Parses the output of benches.

One line per figure: bench=B figure=F value=V unit=U [bound=... ok=...].
"""


def parse(text):
    """Returns a dict from (bench, figure) to the fields of that line."""
    figures = {}
    for line in text.splitlines():
        fields = dict(part.split("=", 1) for part in line.split()
                      if "=" in part)
        if "bench" in fields and "figure" in fields and "value" in fields:
            figures[fields["bench"], fields["figure"]] = fields
    return figures
