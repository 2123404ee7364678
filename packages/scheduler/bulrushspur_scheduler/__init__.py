"""Make the decisions of the scheduler, without sockets and clocks of its own."""
