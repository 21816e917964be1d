"""Rendering of events as text and as one self-contained HTML page."""

from collections.abc import Sequence
from datetime import UTC
from datetime import datetime
import html

from magnoliacove.timeline.clock import split_reading
from magnoliacove.timeline.events import Event

__all__ = ["explain_request", "render_html", "render_text"]

# Pixels: the height of an event, the width of a process and the left margin.
_ROW_HEIGHT = 22
_LANE_WIDTH = 170
_MARGIN = 90
# Words in the kinds of events that are drawn in red.
_ERROR_WORDS = ("lost", "failed", "refused", "interrupted", "broke", "unknown")


def _format_time(event: Event) -> str:
    milliseconds, counter = split_reading(event.clock)
    moment = datetime.fromtimestamp(milliseconds / 1000, UTC)
    return f"{moment:%H:%M:%S.%f}"[:-3] + f"+{counter}"


def _format_detail(event: Event) -> str:
    return " ".join(f"{k}={v}" for k, v in event.detail.items())


def render_text(events: Sequence[Event]) -> str:
    """Return one line for each event."""
    lines = []
    for event in events:
        parts = [
            f"{_format_time(event):<17}",
            f"{event.process:<14}",
            f"v{event.version:<5}",
            f"{event.kind:<24}",
            event.request[:16],
            event.target,
            f"({event.why})" if event.why else "",
            _format_detail(event),
        ]
        lines.append(" ".join(part for part in parts if part).rstrip())
    return "\n".join(lines)


def explain_request(events: Sequence[Event], request: str) -> str:
    """Return a text that describes the course and the cost of a request."""
    own = [e for e in events if request and e.request.startswith(request)]
    if not own:
        return (
            f"no event of request {request} is kept; it may be older than "
            "the processes' ring buffers, or its name is wrong"
        )
    lines = [f"request {own[0].request}"]
    began = split_reading(own[0].clock)[0]
    for event in own:
        sentence = _describe(event)
        if sentence:
            after = split_reading(event.clock)[0] - began
            lines.append(f"  +{after:>6} ms  {event.process}: {sentence}")
    lines.append(_describe_cost(own))
    return "\n".join(lines)


def _describe(event: Event) -> str:
    detail, why = event.detail, event.why
    match event.kind:
        case "request-arrived":
            return (
                f"account {detail.get('account')} asked service "
                f"{detail.get('service')}, at configuration version "
                f"{event.version}"
            )
        case "chain-opened" | "stream-resumed":
            chain = " then ".join(detail.get("chain", []))
            word = "chose" if event.kind == "chain-opened" else "resumed on"
            return (
                f"{word} {chain} because {why}; attempt "
                f"{detail.get('attempt')}, open after "
                f"{detail.get('milliseconds')} ms, stages expect steps "
                f"{detail.get('next_steps')}"
            )
        case "stream-interrupted":
            lost = event.target or "the chain"
            return f"lost {lost} after {detail.get('tokens')} tokens: {why}"
        case "outputs-replayed":
            return (
                f"sent {detail.get('steps')} kept outputs again, from step "
                f"{detail.get('from_step')}; ran no layer again"
            )
        case "path-chosen":
            return (
                f"sent along {detail.get('path')} after waiting "
                f"{detail.get('waited')} s; expected to take "
                f"{detail.get('seconds')} s"
            )
        case "path-changed":
            return f"rerouted along {detail.get('path')} because {why}"
        case "path-lost" if detail.get("stays"):
            return (
                f"could not change its path after event "
                f"{detail.get('last_event') or 0} because {why}; its run "
                "goes on"
            )
        case "path-lost":
            return (
                f"left its path after event {detail.get('last_event') or 0} "
                f"because {why}"
            )
        case "answer-cut":
            return (
                f"the {detail.get('by')} cut the answer off after event "
                f"{detail.get('last_event') or detail.get('tokens') or 0} "
                f"because {why}"
            )
        case "request-waiting":
            return (
                f"waits: {why}; layer and tokens of capacity in each data "
                f"centre: {detail.get('room')}"
            )
        case "call-sent":
            number = detail.get("attempt", detail.get("number"))
            return f"sent try {number} to {event.target}"
        case "request-answered" if "first_event" in detail:
            return (
                f"answered in full after {detail.get('seconds')} s; first "
                f"event after {detail['first_event']} s, longest pause "
                f"{detail.get('longest_gap')} s"
            )
        case "request-answered":
            took = detail.get("milliseconds")
            spent = f"{detail.get('seconds')} s" if took is None else took
            unit = "" if took is None else " ms"
            return f"answered in full after {spent}{unit}"
        case "request-failed":
            return f"gave up: {why} (outcome {detail.get('outcome')})"
        case _:
            kind = event.kind.replace("-", " ")
            parts = [kind, event.target, f"({why})" if why else ""]
            return " ".join(part for part in parts if part)


def _describe_cost(own: Sequence[Event]) -> str:
    resumed = [e for e in own if e.kind == "stream-resumed"]
    spent = sum(float(e.detail.get("milliseconds", 0)) for e in resumed)
    replayed = sum(
        int(e.detail.get("steps", 0))
        for e in own
        if e.kind == "outputs-replayed"
    )
    fed = sum(int(e.detail.get("fed_again", 0)) for e in resumed)
    changed = sum(e.kind == "path-changed" for e in own)
    lost = sum(
        e.kind == "path-lost" and not e.detail.get("stays") for e in own
    )
    if changed or lost:
        return (
            f"  cost: rerouted around failed engines {changed} times, "
            f"restarted on another path {lost} times"
        )
    if not resumed:
        return "  cost: no recovery was needed"
    return (
        f"  cost: {len(resumed)} recoveries, {spent:.0f} ms to open the new "
        f"chains, {fed + replayed} steps replayed to replacements"
    )


def render_html(events: Sequence[Event], title: str) -> str:
    """Return a page with one lane for each process."""
    processes = sorted({event.process for event in events})
    lanes = {name: index for index, name in enumerate(processes)}
    width = _MARGIN + _LANE_WIDTH * max(1, len(processes)) + 40
    height = 60 + _ROW_HEIGHT * (len(events) + 1)
    marks = [_draw_lane(name, lane, height) for name, lane in lanes.items()]
    marks.extend(
        _draw_event(event, row, lanes[event.process])
        for row, event in enumerate(events)
    )
    body = "\n".join(marks)
    return (
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
        f"<title>{html.escape(title)}</title><style>"
        "body{font:12px sans-serif;margin:1em}text{font:11px sans-serif}"
        "</style></head><body>"
        f"<h1>{html.escape(title)}</h1>"
        "<p>Time runs down; one lane is one process. Red marks are losses "
        "and refusals. Hold the pointer over a mark for its details.</p>"
        f"<svg width='{width}' height='{height}' role='img'>{body}</svg>"
        "</body></html>"
    )


def _draw_lane(name: str, lane: int, height: int) -> str:
    x = _MARGIN + lane * _LANE_WIDTH
    return (
        f"<line x1='{x}' y1='30' x2='{x}' y2='{height}' stroke='#bbb'/>"
        f"<text x='{x}' y='20' font-weight='bold'>{html.escape(name)}</text>"
    )


def _draw_event(event: Event, row: int, lane: int) -> str:
    x, y = _MARGIN + lane * _LANE_WIDTH, 45 + row * _ROW_HEIGHT
    is_error = any(word in event.kind for word in _ERROR_WORDS)
    colour = "#c22" if is_error else "#269"
    label = f"{event.kind} {event.target}".strip()
    tip = f"{_format_time(event)} v{event.version} {event.request} "
    tip += f"{event.why} {_format_detail(event)}"
    return (
        f"<g><title>{html.escape(tip)}</title>"
        f"<text x='2' y='{y + 4}' fill='#777'>{_format_time(event)[:12]}"
        f"</text><circle cx='{x}' cy='{y}' r='4' fill='{colour}'/>"
        f"<text x='{x + 8}' y='{y + 4}'>{html.escape(label[:26])}</text></g>"
    )
