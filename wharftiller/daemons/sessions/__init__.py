"""The session proxy: tasks and sockets around the pure logic of `wharftiller.core`."""
