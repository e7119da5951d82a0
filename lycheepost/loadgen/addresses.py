"""A caller's list of the system's addresses.

There is no load balancer. A caller asks any known address for the list of addresses,
uses the list for as long as its answer says, and tries the next address when one
does not accept its connection.
"""

from dataclasses import dataclass, field

import aiohttp

_ADDRESS_TIMEOUT_SECONDS = 2.0
"""After this time the next address is more likely to return a list."""


@dataclass
class AddressBook:
    """The addresses that one customer knows.

    Attributes:
        seeds: Addresses from the caller's settings, used as a fallback.
        current: Addresses of the last list, best first.
        valid_until_seconds: When the list is requested again, on the loop's clock.
    """

    seeds: tuple[str, ...]
    current: tuple[str, ...] = ()
    valid_until_seconds: float = 0.0
    failed: set[str] = field(default_factory=set)

    def choices(self) -> tuple[str, ...]:
        """Return the addresses in the order to try them, failed ones last."""
        known = self.current or self.seeds
        others = tuple(seed for seed in self.seeds if seed not in known)
        ordered = known + others
        return tuple(sorted(ordered, key=lambda address: address in self.failed))

    def adopt(
        self, addresses: tuple[str, ...], valid_seconds: float, now_seconds: float
    ) -> None:
        """Use a new list for ``valid_seconds``."""
        self.current = addresses
        self.valid_until_seconds = now_seconds + valid_seconds
        self.failed.clear()

    def mark_failed(self, address: str) -> None:
        """Try ``address`` last until the next list."""
        self.failed.add(address)


async def refresh_addresses(
    book: AddressBook, session: aiohttp.ClientSession, key: str, now_seconds: float
) -> None:
    """Request a new list if the current one has expired.

    If no address answers, the expired list stays in use: its addresses may still
    work, while an empty list would not.
    """
    if now_seconds < book.valid_until_seconds:
        return
    headers = {"Authorization": f"Bearer {key}"}
    timeout = aiohttp.ClientTimeout(total=_ADDRESS_TIMEOUT_SECONDS)
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
