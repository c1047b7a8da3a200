import pytest
import structlog

pytest_plugins = ["pytester", "tests.known_red"]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(scope="session", autouse=True)
def plain_tracebacks() -> None:
    """Faults are logged as cheaply as by the programs: see martenlead/system/log.py."""
    renderer = structlog.dev.ConsoleRenderer(colors=False, exception_formatter=structlog.dev.plain_traceback)
    structlog.configure(processors=[*structlog.get_config()["processors"][:-1], renderer])
