"""teaselrock: a load balancer for backend servers with fast-shifting load.

The layers, top to bottom: transport, protocol, coordination, state.
Daemons, the command line, the bench and the stand-ins sit above them.
"""
