"""Rendering of losses as text and as one self-contained HTML page."""

from collections import Counter
from collections.abc import Sequence
import html

from magnoliacove.timeline.losses import Cause
from magnoliacove.timeline.losses import Loss

__all__ = ["render_losses_html", "render_losses_text"]

# Maximum number of requests listed for each cause.
_MAX_EXAMPLES = 3
# Pixels: the width of a second and the height of a loss, the height of the
# chart and its left margin.
_COLUMN_WIDTH = 14
_LOSS_HEIGHT = 3
_CHART_HEIGHT = 300
_MARGIN = 40


def render_losses_text(losses: Sequence[Loss]) -> str:
    """Return a text with the losses by cause and by second."""
    if not losses:
        return "no request failed or was late"
    first = losses[0].second
    lines = [f"{'failed':>7} {'late':>6}  cause, with examples"]
    for cause in _rank_causes(losses):
        own = [loss for loss in losses if loss.cause is cause]
        late = sum(loss.late for loss in own)
        shown = " ".join(loss.request for loss in own[:_MAX_EXAMPLES])
        lines.append(f"{len(own) - late:>7} {late:>6}  {cause}: {shown}")
    lines.append("")
    lines.append(f"{'second':>7} {'failed':>7} {'late':>6}  main cause")
    for second in sorted({loss.second for loss in losses}):
        own = [loss for loss in losses if loss.second == second]
        late = sum(loss.late for loss in own)
        cause = _rank_causes(own)[0]
        lines.append(
            f"{second - first:>7} {len(own) - late:>7} {late:>6}  {cause}"
        )
    return "\n".join(lines)


def render_losses_html(losses: Sequence[Loss]) -> str:
    """Return a page with a column per second and a colour per cause."""
    causes = _rank_causes(losses)
    colours = {
        cause: f"hsl({360 * n // max(1, len(causes))},65%,50%)"
        for n, cause in enumerate(causes)
    }
    first = losses[0].second if losses else 0
    columns = losses[-1].second - first + 1 if losses else 1
    bars = "".join(_draw_bars(losses, first, colours))
    legend = "".join(
        f"<li><b style='color:{colours[cause]}'>&#9632;</b> "
        f"{_describe(losses, cause)}</li>"
        for cause in causes
    )
    return (
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
        "<title>Losses</title><style>body{font:13px sans-serif;margin:1em}"
        "</style></head><body><h1>Failed and late requests</h1>"
        f"<p>A column is a second after the first loss; {_LOSS_HEIGHT} pixels "
        "are one request.</p>"
        f"<svg width='{_MARGIN + columns * _COLUMN_WIDTH}' "
        f"height='{_CHART_HEIGHT}' role='img'>{bars}"
        f"</svg><ul>{legend}</ul></body></html>"
    )


def _draw_bars(
    losses: Sequence[Loss], first: int, colours: dict[Cause, str]
) -> list[str]:
    counts = Counter((loss.second - first, loss.cause) for loss in losses)
    tops: Counter[int] = Counter()
    bars = []
    for (second, cause), count in sorted(counts.items()):
        tops[second] += count * _LOSS_HEIGHT
        bars.append(
            f"<rect x='{_MARGIN + second * _COLUMN_WIDTH}' "
            f"y='{_CHART_HEIGHT - tops[second]}' width='{_COLUMN_WIDTH - 2}' "
            f"height='{count * _LOSS_HEIGHT}' fill='{colours[cause]}'>"
            f"<title>{second} s: {count}, {html.escape(cause)}</title></rect>"
        )
    return bars


def _describe(losses: Sequence[Loss], cause: Cause) -> str:
    own = [loss for loss in losses if loss.cause is cause]
    late = sum(loss.late for loss in own)
    shown = ", ".join(loss.request for loss in own[:_MAX_EXAMPLES])
    return (
        f"{html.escape(cause)}: {len(own) - late} failed, {late} late "
        f"({html.escape(shown)})"
    )


def _rank_causes(losses: Sequence[Loss]) -> list[Cause]:
    """Return the causes, the most frequent first."""
    counts = Counter(loss.cause for loss in losses)
    return sorted(counts, key=lambda cause: (-counts[cause], cause))
