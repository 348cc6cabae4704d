"""Length of the names that instances and operators send."""

from typing import Annotated, Final

import msgspec

# Names are stored in the replicated log and relayed in messages, whose sizes are limited.
_MAX_NAME_CHARS: Final = 255
Name = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_CHARS)]
NonEmptyName = Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_CHARS)]
