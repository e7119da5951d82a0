"""What a caller knows of the system's addresses, and whom it asks next.

There is no balancer: a caller asks any address that it knows for the list to
use, keeps the answer for as long as the answer says, and moves on to the next
address when one does not take its connection.
"""

from dataclasses import dataclass, field

import aiohttp

_ADDRESS_SECONDS = 2.0
"""A caller that waits longer for a list does better to ask the next address."""


@dataclass
class AddressBook:
    """One customer's knowledge of the addresses.

    Attributes:
        seeds: Addresses from the caller's own settings, asked when all else
            fails.
        current: The last answer, best first.
        valid_until_seconds: When it is asked again, on the loop's clock.
    """

    seeds: tuple[str, ...]
    current: tuple[str, ...] = ()
    valid_until_seconds: float = 0.0
    failed: set[str] = field(default_factory=set)

    def choices(self) -> tuple[str, ...]:
        """Return addresses to try, in order; failed ones last."""
        known = self.current or self.seeds
        others = tuple(seed for seed in self.seeds if seed not in known)
        ordered = known + others
        return tuple(sorted(ordered, key=lambda address: address in self.failed))

    def adopt(
        self, addresses: tuple[str, ...], valid_seconds: float, now_seconds: float
    ) -> None:
        """Keep an answer for ``valid_seconds``."""
        self.current = addresses
        self.valid_until_seconds = now_seconds + valid_seconds
        self.failed.clear()

    def mark_failed(self, address: str) -> None:
        """Use ``address`` last until the next answer."""
        self.failed.add(address)


async def refresh_addresses(
    book: AddressBook, session: aiohttp.ClientSession, key: str, now_seconds: float
) -> None:
    """Ask for the list if the kept answer has run out.

    With no answer from any address the old list stays in use: an old address
    that still works serves the caller, and an empty list would not.
    """
    if now_seconds < book.valid_until_seconds:
        return
    headers = {"Authorization": f"Bearer {key}"}
    timeout = aiohttp.ClientTimeout(total=_ADDRESS_SECONDS)
    for address in book.choices():
        try:
            async with session.get(
                f"{address}/v1/addresses", headers=headers, timeout=timeout
            ) as response:
                if response.status != 200:
                    continue
                answer = await response.json()
            addresses = tuple(str(item) for item in answer["addresses"])
            valid_seconds = float(answer["valid_for_seconds"])
        except (aiohttp.ClientError, TimeoutError, KeyError, TypeError, ValueError):
            book.mark_failed(address)
            continue
        if addresses:
            book.adopt(addresses, valid_seconds, now_seconds)
            return
