"""Protocols between entry hosts, with their generated code.

gRPC's native library would write plain lines among the JSON lines of the log;
what it has to say comes as errors of the calls as well.
"""

import os

os.environ.setdefault("GRPC_VERBOSITY", "NONE")
