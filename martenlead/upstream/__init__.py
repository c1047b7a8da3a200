"""What is spoken with runners and with the roster; turns what sockets do into `Result`. docs/protocol.md has
it all."""
