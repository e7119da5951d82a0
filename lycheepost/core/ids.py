"""Typed identifiers, so that type checking detects mixed-up kinds of ids."""

from typing import NewType

CustomerId = NewType("CustomerId", str)
ModelId = NewType("ModelId", str)
SoftwareVersion = NewType("SoftwareVersion", str)
WeightsVersion = NewType("WeightsVersion", str)
TargetGroupId = NewType("TargetGroupId", str)
TargetId = NewType("TargetId", str)
AvailabilityZone = NewType("AvailabilityZone", str)
RegionId = NewType("RegionId", str)
DaemonId = NewType("DaemonId", str)
RequestId = NewType("RequestId", str)
StreamId = NewType("StreamId", str)
"""A stream over all tries of its caller: the id of the try that began it."""

IdempotencyKey = NewType("IdempotencyKey", str)
Incarnation = NewType("Incarnation", str)
"""The boot id of a target, which changes whenever it restarts with no state."""
StartKey = NewType("StartKey", str)
"""One start of one target; differs from those of all other targets."""
RunKey = NewType("RunKey", int)
"""64-bit hash that identifies one run of one request on one start of a target."""
PlanId = NewType("PlanId", str)
OrderId = NewType("OrderId", str)
Revision = NewType("Revision", int)
FencingNumber = NewType("FencingNumber", int)
StoreEra = NewType("StoreEra", int)
"""Counts how often the platform's store was restored from a copy."""
StoreVersion = NewType("StoreVersion", int)
"""Version of a row; of a store with eras it contains the era (``storeversions``)."""
PrefixDigest = NewType("PrefixDigest", int)
"""64-bit hash that identifies one prefix level: chained in ``decide.levels``, of one
part alone in ``decide.promptlevels``."""
PromptPartKey = NewType("PromptPartKey", int)
"""64-bit hash of one part of a prompt, whoever sends it and whatever surrounds it."""
BodyFingerprint = NewType("BodyFingerprint", int)
"""64-bit hash of one customer and one request body."""
