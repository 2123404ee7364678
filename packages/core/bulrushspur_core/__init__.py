"""Decision code of the scheduler, free of sockets and clocks.

Importing the package registers every part.
"""

from bulrushspur_core import (
    authority as authority,
)
from bulrushspur_core import (
    batch as batch,
)
from bulrushspur_core import (
    deadlines as deadlines,
)
from bulrushspur_core import (
    door as door,
)
from bulrushspur_core import (
    endings as endings,
)
from bulrushspur_core import (
    estimates as estimates,
)
from bulrushspur_core import (
    evidence as evidence,
)
from bulrushspur_core import (
    health as health,
)
from bulrushspur_core import (
    id_copies as id_copies,
)
from bulrushspur_core import (
    id_homes as id_homes,
)
from bulrushspur_core import (
    ids as ids,
)
from bulrushspur_core import (
    leaving as leaving,
)
from bulrushspur_core import (
    limits as limits,
)
from bulrushspur_core import (
    log_reader as log_reader,
)
from bulrushspur_core import (
    membership as membership,
)
from bulrushspur_core import (
    moves as moves,
)
from bulrushspur_core import (
    owner as owner,
)
from bulrushspur_core import (
    parts as parts,
)
from bulrushspur_core import (
    permits as permits,
)
from bulrushspur_core import (
    repeating as repeating,
)
from bulrushspur_core import (
    rosters as rosters,
)
from bulrushspur_core import (
    task_lists as task_lists,
)
from bulrushspur_core import (
    teaching as teaching,
)
from bulrushspur_core import (
    workers as workers,
)
from bulrushspur_core.node import (
    Me as Me,
)
from bulrushspur_core.node import (
    Node as Node,
)
from bulrushspur_core.node import (
    make_node as make_node,
)
