"""The gateway's program: settings checked, the deploy files in step."""

import pathlib
import re
import subprocess
import sys

from click.testing import CliRunner

from magnoliacove.commands import gateway_command
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
        "fake.main = lambda: ("
        "os.kill(os.getpid(), signal.SIGHUP), print('alive'));"
        "package.gateway_command = fake;"
        "sys.modules[fake.__name__] = fake;"
        "from magnoliacove.commands import gateway;"
        "gateway.main()"
    )
    result = _run_code(code)
    assert (result.returncode, result.stdout) == (0, "alive\n")
