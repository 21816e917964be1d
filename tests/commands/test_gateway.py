"""The gateway's program: settings checked, the deploy files in step."""

import pathlib
import re
import subprocess
import sys

from click.testing import CliRunner
import pytest

from magnoliacove.commands import gateway
from magnoliacove.commands import gateway_command
from magnoliacove.sockets import bind_socket
from tests.platform import samples

_ROOT = pathlib.Path(__file__).parents[2]


def test_settings_can_be_checked(tmp_path):
    path = samples.write_settings(tmp_path / "s.json")
    result = CliRunner().invoke(
        gateway_command._command, ["--settings", path, "--check"]
    )
    assert result.exit_code == 0
    assert "in order" in result.output


def test_a_mistake_is_one_friendly_line(tmp_path):
    path = samples.write_settings(tmp_path / "s.json", bounds={})
    result = CliRunner().invoke(gateway_command._command, ["--settings", path])
    assert result.exit_code == 2
    assert "drain_ms" in result.output
    assert "Traceback" not in result.output


def _read_pins(name):
    text = (_ROOT / name).read_text()
    return dict(re.findall(r"^([A-Za-z0-9-]+)==(\S+)$", text, re.M))


def _run_code(code):
    """Run some lines in an interpreter of their own."""
    return subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        cwd=_ROOT,
    )


def test_deployed_libraries_have_the_versions_that_are_tested():
    deployed = _read_pins("deploy/requirements.txt")
    locked = _read_pins("requirements.lock")
    assert deployed
    assert {name: locked.get(name) for name in deployed} == deployed


def test_the_gateway_imports_only_what_is_deployed():
    """A library that only the other programs need would be missing where
    the gateway runs, and it would not start.
    """
    code = (
        "import sys, magnoliacove.commands.gateway;"
        "import magnoliacove.commands.gateway_command;"
        "import hypercorn.config, hypercorn.trio;"
        "print('\\n'.join({m.partition('.')[0] for m in sys.modules}))"
    )
    result = _run_code(code)
    assert result.returncode == 0, result.stderr
    loaded = result.stdout.split()
    absent = {"grpc", "openai", "httpx2", "connectrpc", "pydantic", "pytest"}
    assert not absent & set(loaded)


def test_a_reload_during_the_start_does_not_end_the_process():
    """The settings change just after a gateway was started, while it still
    loads its modules.  The signal's default ends the process: it was gone
    without a line in its log, and its callers found no connection.
    """
    code = (
        "import os, signal, sys, types;"
        "import magnoliacove.commands as package;"
        "fake = types.ModuleType('magnoliacove.commands.gateway_command');"
        "fake.main = lambda *_: ("
        "os.kill(os.getpid(), signal.SIGHUP), print('alive'));"
        "package.gateway_command = fake;"
        "sys.modules[fake.__name__] = fake;"
        "from magnoliacove.commands import gateway;"
        "gateway.main()"
    )
    result = _run_code(code)
    assert (result.returncode, result.stdout) == (0, "alive\n")


# What a gateway has to load before it answers costs its callers that time.
_NOT_AT_THE_START = {
    "aioprometheus",
    "asyncio",
    "capnp",
    "h2",
    "hypercorn",
    "returns",
    "magnoliacove.configuration.document",
    "magnoliacove.configuration.journal",
    "magnoliacove.directory.view",
    "magnoliacove.entry",
    "magnoliacove.operators",
    "magnoliacove.peers.snapshots",
    "magnoliacove.process",
    "magnoliacove.wire.messages",
}


def test_only_what_serves_a_request_is_loaded_at_the_start():
    """All gateways were killed and start again.  Callers come at once and
    wait for the modules to load; each that no request needs makes them
    wait longer, and some of them leave.
    """
    code = (
        "import sys;"
        "from magnoliacove.commands import gateway;"
        "sys.argv = ['gateway', '--help'];"
        "import atexit;"
        "atexit.register(lambda: print('\\n'.join(sys.modules)));"
        "gateway.main()"
    )
    result = _run_code(code)
    assert result.returncode == 0, result.stderr
    loaded = _NOT_AT_THE_START.intersection(result.stdout.split())
    assert loaded == set()


def test_callers_are_listened_for_before_anything_is_loaded():
    """All gateways were killed and start again.  A caller that connects
    while the modules load is taken and waits; it would else be refused,
    come back once to another gateway that loads as well, and be lost.
    """
    code = (
        "import sys, socket;"
        "from magnoliacove.commands import gateway;"
        "found = gateway.listen_early([], {"
        "'MAGNOLIACOVE_CALLERS': '127.0.0.1:0'});"
        "socket.create_connection(found.getsockname()).close();"
        "print('trio' in sys.modules, 'click' in sys.modules)"
    )
    result = _run_code(code)
    assert (result.returncode, result.stdout) == (0, "False False\n")


@pytest.mark.parametrize(
    "arguments", [[], ["--callers"], ["--callers", "here"], ["--metrics"]]
)
def test_without_an_address_nothing_listens_early(arguments):
    assert gateway.listen_early(arguments, {}) is None


def test_an_address_in_use_is_left_to_the_settings():
    with bind_socket("127.0.0.1", 0) as taken:
        port = taken.getsockname()[1]
        arguments = ["--callers", f"127.0.0.1:{port}"]
        assert gateway.listen_early(arguments, {}) is None
