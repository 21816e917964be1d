"""The OpenAI-style completions and chat API."""

from collections.abc import Mapping
from dataclasses import dataclass
import json
import time
from typing import Any

from magnoliacove import defaults
from magnoliacove import errors

__all__ = ["AnswerWriter", "ModelRequest", "read_request", "write_error"]


@dataclass(frozen=True)
class ModelRequest:
    """A validated request to a model.

    :param chat: whether it uses the chat API.
    :param usage: whether a stream ends with the token counts.
    """

    model: str
    prompt: bytes
    max_tokens: int
    stream: bool
    chat: bool
    usage: bool


def read_request(body: bytes, *, chat: bool) -> ModelRequest:
    """Parse and validate a JSON body.

    :raises magnoliacove.errors.RequestError: naming the invalid part.
    """
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise _make_invalid_error(f"the body is no JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise _make_invalid_error("the body must be a JSON object")
    model = data.get("model")
    if not isinstance(model, str) or not model:
        raise _make_invalid_error("name the service in 'model'")
    options = data.get("stream_options") or {}
    limit = data.get("max_completion_tokens") or data.get("max_tokens")
    return ModelRequest(
        model,
        _read_messages(data) if chat else _read_prompt(data),
        _read_max_tokens(limit),
        data.get("stream") is True,
        chat,
        isinstance(options, dict) and options.get("include_usage") is True,
    )


def _make_invalid_error(message: str) -> errors.RequestError:
    return errors.RequestError("invalid_request", message, status=400)


def _read_max_tokens(value: Any) -> int:
    if value is None:
        return defaults.DEFAULT_MAX_TOKENS
    limit = defaults.MAX_TOKENS_LIMIT
    if isinstance(value, bool) or not isinstance(value, int):
        raise _make_invalid_error("'max_tokens' must be a whole number")
    if not 0 < value <= limit:
        raise _make_invalid_error(
            f"'max_tokens' must lie between 1 and {limit}"
        )
    return value


def _read_prompt(data: Mapping[str, Any]) -> bytes:
    prompt = data.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise _make_invalid_error("'prompt' must be a text that is not empty")
    return prompt.encode()


def _read_messages(data: Mapping[str, Any]) -> bytes:
    entries = data.get("messages")
    if not isinstance(entries, list) or not entries:
        raise _make_invalid_error(
            "'messages' must be a list that is not empty"
        )
    return "\n".join(_read_message(entry) for entry in entries).encode()


def _read_message(entry: Any) -> str:
    if not isinstance(entry, dict) or not isinstance(entry.get("role"), str):
        raise _make_invalid_error(
            "each message needs a 'role' and a 'content'"
        )
    content = entry.get("content")
    if isinstance(content, list):
        parts = [p for p in content if isinstance(p, dict)]
        content = "".join(str(p.get("text", "")) for p in parts)
    if not isinstance(content, str):
        raise _make_invalid_error("a message's 'content' must be a text")
    return f"{entry['role']}: {content}"


class AnswerWriter:
    """Writes the JSON of one response, whole or streamed."""

    def __init__(self, request: ModelRequest, name: str) -> None:
        self._request = request
        self._id = f"{'chatcmpl' if request.chat else 'cmpl'}-{name}"
        kind = "chat.completion" if request.chat else "text_completion"
        self._created = int(time.time())
        streamed = ".chunk" if request.chat else ""
        self._head = {
            "id": self._id,
            "object": kind + streamed if request.stream else kind,
            "created": self._created,
            "model": request.model,
        }
        # Only the text differs between parts, so the rest is encoded once.
        head = json.dumps(self._head)[:-1].encode()
        self._prefix = b"data: " + head + b', "choices": [{"index": 0, '
        if request.chat:
            self._prefix += b'"delta": {"content": '
            self._suffix = b'}, "finish_reason": null}]}\n\n'
        else:
            self._prefix += b'"text": '
            self._suffix = b', "finish_reason": null}]}\n\n'

    def write_role(self) -> bytes:
        """Return the first event of a chat stream."""
        if not self._request.chat:
            return b""
        delta = {"role": "assistant", "content": ""}
        return self._write_event(
            [{"index": 0, "delta": delta, "finish_reason": None}]
        )

    def write_token(self, text: bytes) -> bytes:
        """Return the event that carries a token."""
        quoted = json.dumps(text.decode("utf-8", "replace")).encode()
        return self._prefix + quoted + self._suffix

    def write_end(self, reason: str, tokens: int) -> bytes:
        """Return the final events of a stream."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        empty: dict[str, Any] = {"delta": {}}
        choice.update(empty if self._request.chat else {"text": ""})
        end = self._write_event([choice])
        if self._request.usage:
            end += self._write_event([], usage=self._usage(tokens))
        return end + b"data: [DONE]\n\n"

    def write_whole(self, texts: list[bytes], reason: str) -> bytes:
        """Return a response that is not streamed."""
        text = b"".join(texts).decode("utf-8", "replace")
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        if self._request.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        usage = self._usage(len(texts))
        return json.dumps(
            {**self._head, "choices": [choice], "usage": usage}
        ).encode()

    def _usage(self, tokens: int) -> dict[str, int]:
        prompt = len(self._request.prompt.split())
        return {
            "prompt_tokens": prompt,
            "completion_tokens": tokens,
            "total_tokens": prompt + tokens,
        }

    def _write_event(self, choices: list[Any], **more: Any) -> bytes:
        data = {**self._head, "choices": choices, **more}
        return b"data: " + json.dumps(data).encode() + b"\n\n"


def write_error(exc: errors.RequestError) -> dict[str, Any]:
    """Return an error in the API's format, with the outcome added."""
    invalid = exc.status in (400, 401, 404, 413, 422)
    return {
        "error": {
            "message": str(exc),
            "type": "invalid_request_error" if invalid else "server_error",
            "param": None,
            "code": exc.code,
            "outcome": exc.outcome.value,
            "retry_after": exc.retry_after,
        }
    }
