"""Range of the integers that messages contain."""

from typing import Annotated, Final

import msgspec

# MessagePack and SQLite hold no larger ones. A larger one from outside must be refused where it
# arrives, since it could be neither relayed nor stored.
MAX_INTEGER: Final = 2**63 - 1
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
