from __future__ import annotations

from typing import TYPE_CHECKING

import openai
import pytest
from devtools import sample_fleet as sample
from devtools.engine_model import expected_answer

from tests.helpers import call_service
from tests.helpers import entry_url
from tests.helpers import request_idempotency_key
from tests.helpers import send_chat


if TYPE_CHECKING:
    from devtools.processes import LocalFleet


async def check_openai_client(fleet: LocalFleet) -> None:
    client = openai.AsyncOpenAI(
        api_key=sample.TEAM_KEY, base_url=entry_url(fleet) + "/v1", max_retries=0
    )
    models = await client.models.list()
    assert [model.id for model in models.data] == [sample.MODEL]
    completion = await client.chat.completions.create(
        model=sample.MODEL,
        max_tokens=30,
        messages=[{"role": "user", "content": "plain LENGTH=25"}],
    )
    assert completion.choices[0].message.content == expected_answer(
        "plain LENGTH=25", 30
    )
    assert completion.usage is not None
    assert completion.usage.completion_tokens == 25
    stream = await client.chat.completions.create(
        model=sample.MODEL,
        max_tokens=30,
        stream=True,
        stream_options={"include_usage": True},
        messages=[{"role": "user", "content": "stream LENGTH=25"}],
    )
    words = []
    usage = None
    async for event in stream:
        usage = event.usage or usage
        words += [choice.delta.content or "" for choice in event.choices]
    assert "".join(words) == expected_answer("stream LENGTH=25", 30)
    assert usage is not None
    with pytest.raises(openai.NotFoundError):
        await client.chat.completions.create(
            model="none", messages=[{"role": "user", "content": "x"}]
        )
    with pytest.raises(openai.BadRequestError):
        await client.chat.completions.create(
            model=sample.MODEL,
            max_tokens=10,
            temperature=2.5,
            messages=[{"role": "user", "content": "refused by the engine"}],
        )
    cancelled = await client.chat.completions.create(
        model=sample.MODEL,
        max_tokens=1000,
        stream=True,
        messages=[{"role": "user", "content": "cancelled LENGTH=900"}],
    )
    async for _ in cancelled:
        break
    await cancelled.close()
    await client.close()
    unauthorized = openai.AsyncOpenAI(
        api_key="wrong", base_url=entry_url(fleet) + "/v1", max_retries=0
    )
    with pytest.raises(openai.AuthenticationError):
        await unauthorized.models.list()
    await unauthorized.close()


async def test_chat_and_service_calls_end_to_end(fleet: LocalFleet) -> None:
    await check_openai_client(fleet)
    url = entry_url(fleet)
    response = await send_chat(url, "hello LENGTH=40")
    assert response.text == expected_answer("hello LENGTH=40", 128)
    assert response.outcome == "done"
    stock = await call_service(url, "/stock", method="GET")
    assert (stock.status, stock.text) == (200, '{"titanium": 7}')
    key = await request_idempotency_key(url)
    other = entry_url(fleet, "entry-2")
    for entry in (url, other, url):
        booked = await call_service(entry, "/bookings", key=key, data={"booking": "b"})
        assert (booked.status, booked.outcome) == (201, "done")
    assert fleet.stats("shop-1")["runs"] == {"b": 1}
