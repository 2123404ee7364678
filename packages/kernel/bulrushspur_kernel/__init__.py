"""Provide what all processes and commands of bulrushspur share."""

from bulrushspur_kernel.errors import (
    ANSWERS as ANSWERS,
)
from bulrushspur_kernel.errors import (
    BulrushspurError as BulrushspurError,
)
from bulrushspur_kernel.errors import (
    ErrorKind as ErrorKind,
)
from bulrushspur_kernel.errors import (
    Ran as Ran,
)
from bulrushspur_kernel.errors import (
    Refusal as Refusal,
)
