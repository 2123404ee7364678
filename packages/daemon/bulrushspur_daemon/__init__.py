"""Run the entry process of a VM: a gateway, and the leader if it is elected."""
