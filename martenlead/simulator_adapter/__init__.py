"""The simulator's protocol on standard input and output: decodes events and encodes replies.

Maps ids to the policy's objects and seconds to nanoseconds; all decisions are the policy's.
"""
