"""Updates of the list of executors, whatever their service makes of them."""

import asyncio

from helpers import post
from test_service import play


def test_a_bad_field_in_the_middle_of_a_whole_list_costs_the_program_nothing():
    """What stands behind it is used, what is not named is gone, and the watch goes on."""

    async def story(world):
        await world.until(lambda: world.watches)
        await world.tell(world.entry(0) | {"zone": [], "cell": None}, world.entry(1), whole=True)
        await asyncio.sleep(0.05)
        assert {(await world.ask(post(name=f"a{number}")))[0] for number in range(4)} == {200}
        assert world.executors[1].got
        await world.tell(world.entry(1, lifecycle="leaving"))
        await asyncio.sleep(0.05)
        before = len(world.executors[1].got)
        for number in range(4):
            assert (await world.ask(post(name=f"b{number}")))[0] == 200
        assert len(world.executors[1].got) == before and len(world.watches) == 1

    play(story, None, None)
