"""Settings of the programs, and the operators' command line."""

import json

from click.testing import CliRunner
import pytest
import trio

from magnoliacove.commands import agent
from magnoliacove.commands import entry
from magnoliacove.commands import operate
from magnoliacove.commands import timeline
from magnoliacove.standins import fleet as fleets

_PROCESS_FLAGS = [
    "--name",
    "x",
    "--data-centre",
    "gent-a",
    "--object-api",
    "http://127.0.0.1:1",
]
_ENTRY_FLAGS = [
    *_PROCESS_FLAGS,
    "--callers",
    "127.0.0.1:0",
    "--operators",
    "127.0.0.1:0",
]
_INVALID_SETTINGS = [
    (entry, [], "--name"),
    (entry, [*_ENTRY_FLAGS, "--operator-keys", "ann"], "ann:KEY,ben:KEY"),
    (
        entry,
        [
            *_ENTRY_FLAGS,
            "--operator-keys",
            "ann:12345678",
            "--listen",
            "10.0.0.1:1",
        ],
        "MAGNOLIACOVE_LISTEN",
    ),
    (
        entry,
        [
            *_ENTRY_FLAGS,
            "--operator-keys",
            "ann:12345678",
            "--callers",
            "here",
        ],
        "write it as 10.0.0.5:7000",
    ),
    (
        entry,
        [
            *_ENTRY_FLAGS,
            "--operator-keys",
            "a:12345678",
            "--callers",
            "0.0.0.0:1",
        ],
        "there is no TLS",
    ),
    (agent, [*_PROCESS_FLAGS, "--target-form", "model"], "--target-url"),
    (
        agent,
        [*_PROCESS_FLAGS, "--target-form", "car", "--target-url", "http://x"],
        "'model', 'plain'",
    ),
    (
        agent,
        [
            *_PROCESS_FLAGS,
            "--target-form",
            "plain",
            "--target-url",
            "http://x",
            "--tls-certificate",
            __file__,
        ],
        "belong together",
    ),
    (timeline, [], "MAGNOLIACOVE_OBJECT_API"),
    (timeline, ["--explain", "--process", "127.0.0.1:1"], "--request NAME"),
]


@pytest.mark.parametrize(("program", "flags", "remedy"), _INVALID_SETTINGS)
def test_an_invalid_setting_is_reported_with_flag_and_remedy(
    program, flags, remedy
):
    result = CliRunner().invoke(
        program._command, flags, auto_envvar_prefix="MAGNOLIACOVE"
    )
    assert result.exit_code == 2
    assert remedy in result.output
    assert "Traceback" not in result.output


def test_environment_variables_set_options(monkeypatch):
    monkeypatch.setenv("MAGNOLIACOVE_NAME", "x")
    monkeypatch.setenv("MAGNOLIACOVE_LISTEN", "nowhere")
    result = CliRunner().invoke(
        entry._command,
        ["--data-centre", "gent-a", "--object-api", "http://127.0.0.1:1"],
        auto_envvar_prefix="MAGNOLIACOVE",
    )
    assert "nowhere" in result.output


_CONFIGURATION_FILE = """
[data_centre.antw-c]
region = "be-vla"

[client_account.small]
weight = 0.5
"""


async def test_operator_commands_on_a_running_fleet(tmp_path):
    """Create, update, plan, apply, drain and inspect objects in turn."""
    async with fleets.open_fleet() as fleet:
        url = fleet.entries["entry-0"].server.operators_url

        def invoke(*args, text=None):
            flags = ["--server", url, "--operator-key", fleets.OPERATOR_KEY]
            result = CliRunner().invoke(
                operate._command, [*flags, *args], input=text
            )
            return result.output if not result.exception else result.exception

        async def run(*args, text=None):
            return await trio.to_thread.run_sync(
                lambda: invoke(*args, text=text)
            )

        created = await run(
            "create", "client-account", "quill", "--api-key", "secret-key"
        )
        duplicate = await run("create", "client-account", "quill")
        shown = await run("show", "client_account", "quill")
        updated = await run(
            "update", "client-account", "quill", "--weight", "2"
        )
        listed = json.loads(await run("--json", "list", "client_account"))
        path = str(tmp_path / "f.toml")
        await trio.Path(path).write_text(_CONFIGURATION_FILE)
        planned = await run("plan", "-f", path)
        applied = await run("apply", "-f", path, "--yes")
        unchanged = await run("apply", "-f", path, "--yes")
        drained = await run("drain", "llm-0-0")
        status = await run("status")
        missing = await run("delete", "target", "no")
        layers = await run("update", "target", "llm-0-0", "--layers", "x")
    assert "accepted as version" in created
    assert "use update" in str(duplicate)
    assert "secret-key" not in shown
    assert "accepted" in updated
    quill = next(item for item in listed if item["name"] == "quill")
    assert (quill["weight"], len(quill["key_hashes"])) == (2.0, 1)
    assert "create data_centre antw-c" in planned
    assert "accepted" in applied
    assert unchanged == "nothing to change\n"
    assert "accepted" in drained
    assert "service catalog-llm: served" in status
    assert "list the names" in str(missing)
    assert "as 0-16" in str(layers)
