"""The session proxy's shell: tasks and sockets around the decisions of `wharftiller.core`."""
