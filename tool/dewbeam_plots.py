"""Bar plots as SVG, for the pages that tool/bench writes."""

from html import escape

WIDTH = 720
BAR = 22
GAP = 10
LEFT = 230
TOP = 46
OWN, OTHER, INK, GRID = "#0b7285", "#adb5bd", "#212529", "#dee2e6"


def bar_plot(title, unit, bars):
    """Horizontal bars from zero, on a scale to the greatest; dewbeam's own are coloured."""
    height = TOP + len(bars) * (BAR + GAP) + 24
    most = max(max(value for _, value in bars), 1e-9)
    scale = (WIDTH - LEFT - 110) / most
    parts = ['<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" '
             'font-family="sans-serif" font-size="13" fill="%s">' % (WIDTH, height, INK),
             '<rect width="100%" height="100%" fill="white"/>',
             '<text x="16" y="26" font-size="16">%s</text>' % escape(title),
             '<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="%s"/>'
             % (LEFT, TOP - 6, LEFT, height - 24, GRID)]
    for index, (name, value) in enumerate(bars):
        y = TOP + index * (BAR + GAP)
        colour = OWN if name.startswith("dewbeam") else OTHER
        parts.append('<text x="%d" y="%d" text-anchor="end">%s</text>'
                     % (LEFT - 8, y + 15, escape(name.replace("_", " "))))
        parts.append('<rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/>'
                     % (LEFT, y, max(value * scale, 1.0), BAR, colour))
        parts.append('<text x="%.1f" y="%d">%.4g</text>' % (LEFT + value * scale + 6, y + 15, value))
    parts.append('<text x="%d" y="%d" fill="#868e96">%s</text>'
                 % (LEFT, height - 8, escape(unit)))
    return "\n".join(parts + ["</svg>"]) + "\n"
