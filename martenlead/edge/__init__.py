"""The program at the edge: the door for clients, one dispatcher around one `Engine`, and an end in good
order."""
