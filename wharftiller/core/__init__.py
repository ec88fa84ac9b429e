"""The decision core: tables of rows and systems that run over them, without I/O."""
