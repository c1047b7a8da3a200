import pytest
import structlog

pytest_plugins = ["pytester", "tests.known_red"]


@pytest.fixture
def anyio_backend() -> str:
    """Runs asynchronous tests on asyncio, unless a test file overrides it."""
    return "asyncio"


@pytest.fixture(scope="session", autouse=True)
def plain_tracebacks() -> None:
    """Logs tracebacks as plain text, as the programs do; see martenlead/system/log.py for the reason."""
    renderer = structlog.dev.ConsoleRenderer(colors=False, exception_formatter=structlog.dev.plain_traceback)
    structlog.configure(processors=[*structlog.get_config()["processors"][:-1], renderer])
