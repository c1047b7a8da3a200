import pytest

pytest_plugins = ["pytester", "tests.known_red"]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"
