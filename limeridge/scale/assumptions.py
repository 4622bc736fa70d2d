"""What the model of capacity takes for granted: each assumption with its name, its reason and its figure."""

from __future__ import annotations

from limeridge.scale.evidence import Assumption, Fallback
from limeridge.scale.quantities import (
    BYTE,
    CONNECTION,
    LINE,
    MESSAGE,
    REPLACEMENT,
    REQUEST,
    SECOND,
    Quantity,
    bytes_per_second,
    cores,
    of_bytes,
    seconds,
    share,
)

# ---- the machines

MACHINE_CORES = cores(8)
MACHINE_LINK = bytes_per_second(125e6)
MACHINE = Assumption(
    "machine",
    "a control machine is like the one of the measurements (8 cores, 24 GiB), with a link of 1 Gbit/s; "
    "an instance's processor is as quick as that machine's",
)
ONE_PROCESS = Assumption(
    "one core an instance",
    "an instance is one process on one thread, so that its path of requests has one core at the most",
)
PROCESS_CORES = cores(1)

# ---- readings of the target

BOTH_WAYS = Assumption(
    "both ways",
    "the 3 KB/s of control count what is sent and what is received together: the worse reading",
)
CALLERS = Assumption(
    "callers",
    "36,000 callers in all keep connections to 20 instances each, or 36,000 in each of 610 services to one "
    "instance each; an idle connection closes after 15 s. The reading with more open connections counts",
)
EVEN_LOAD = Assumption(
    "even load", "callers spread requests evenly over the instances that are there, at the peak"
)
SUSTAINED = Assumption(
    "sustained",
    "budgets of a second hold for what goes on at rest and under the ordinary day's replacements, not for "
    "the seconds after a rack, zone or region is lost",
)
CONTROL_MEMORY = Assumption(
    "memory for control", "the 64 MB count what control adds to the process, not what it has without"
)
TURN = Assumption(
    "longest turn",
    "one turn of the reactor holds up each request that arrives meanwhile, so that none may be longer than "
    "the time that may be added",
)

HOLLOW = Assumption(
    "hollow members",
    "a hollow member's processor and memory are its part of a process that holds many; for control an "
    "instance takes no more of them than that",
)
CHURN = Assumption(
    "replacements in the sweep",
    "the sweep replaces more members in its window than the target's mean would (its notes say how often); "
    "the figure is not scaled down to the mean",
)

# ---- costs that no series gives

VOTERS_ON_INSTANCES = Assumption(
    "voters on instances", "voters are ordinary instances, as today's settings name them, within their budget"
)
PROPORTIONAL_ROUTES = Assumption(
    "routes", "there are no routes yet; one takes the memory and the bytes of a tenant"
)
WHOLE_FILES = Assumption(
    "whole files",
    "a change goes to each instance as the whole file, not compressed, at the pace of its budget",
)
WHOLE_FILE_AT_START = Assumption(
    "file at the start", "a replaced instance gets the whole file anew, by the same way as changes"
)
RESTART_TO_CHANGE = Assumption(
    "restart to change",
    "a change that no running process takes up is in force when the ordinary replacements have come round",
)
VIEWS_OF_A_REPLACEMENT = Quantity(2, MESSAGE / REPLACEMENT)
VIEW_A_REPLACEMENT = Assumption(
    "views of a replacement",
    "a replacement makes two views, one without the old life and one with the new one",
)
DISCOVERY_MESSAGES = Quantity(100_000, MESSAGE / SECOND)
DISCOVERY = Assumption(
    "service discovery's room",
    "service discovery takes 100,000 datagrams per second of ours, and a tenth of a link of 1 Gbit/s",
)
DISCOVERY_LINK_SHARE = share(0.1)
OUTAGE_TRIES = Quantity(1.5, REQUEST / SECOND)
OUTAGE_TRIES_MOST = Quantity(10, REQUEST / SECOND)
OUTAGE = Assumption(
    "records service down",
    "while the records service is down the whole fleet tries it as often as 100 members did "
    "(1.5 times a second, docs/results/duty.md); 10 a second do no harm",
)
CALL_TIME = seconds(0.05)
CALLS_OF_A_REQUEST = share(1)
CALLS = Assumption("calls", "a request makes one call to the records service, which takes 50 ms there")
DOUBLED_CAPACITY = share(1.1)
CAPACITY = Assumption(
    "capacity of shares",
    "a tenth more processes than instances may be there, old and new ones of replacements",
)
LEAST_FLOOR = share(1)
LOG_LINE = Quantity(200, BYTE / LINE)
LOG = Assumption(
    "log lines",
    "a line is 200 bytes, what the log holds back is counted as 50 lines in 10 s of each of two kinds, and "
    "shipping the log counts as control",
)
LOG_KINDS = share(2)
SHOWN_MEMBER = of_bytes(250)
SHOW_MOST = of_bytes(1e6)
SHOW = Assumption(
    "show", "a member takes 250 bytes in the answer to `limeridge peers show`; 1 MB reads in one go"
)
KNOWN_MESSAGES_MOST = Quantity(100, MESSAGE / SECOND)
IN_FORCE_KNOWN = Assumption(
    "in force, known",
    "each instance tells one place after each change by which revision it serves; 100 messages per second "
    "are what one place of the operator's takes",
)
ACCEPTS_MOST = Quantity(1_000, CONNECTION / SECOND)
ACCEPTS = Assumption("connections opened", "an instance takes 1,000 new connections per second")
BYTES_OF_CONNECTION = of_bytes(20_000)
CONNECTION_BYTES = Assumption("bytes of a connection", "a connection takes 20 KB of the instance's memory")
MOVED_SHARE = share(0.01)
MOVED = Assumption(
    "moved connections",
    "callers bear one request in a hundred that finds its connection closed and goes on another",
)
SPREAD_BACK = Assumption(
    "region back", "all instances of a region that comes back need the whole configuration within 7 s"
)

# ---- what counts while a series is not there

MEMBER_PROCESSOR = Fallback(
    cores(0.006), Assumption("member's processor", "0.6% of a core whatever the fleet, by earlier readings")
)
VOTER_PROCESSOR = Fallback(
    cores(0.33), Assumption("voter's processor", "a third of a core at the target, by three earlier readings")
)
OTHER_PROCESSOR = Fallback(
    cores(0.012), Assumption("duty's processor", "twice a member's for who holds a duty or reads the list")
)
MEMBER_BYTES = Fallback(
    bytes_per_second(1_700), Assumption("member's bytes", "1.7 KB/s each way, as sent by 300 members at rest")
)
VOTER_BYTES = Fallback(
    bytes_per_second(34_000), Assumption("voter's bytes", "ten bytes per second each way of each member")
)
MEMBER_MEMORY = Fallback(
    of_bytes(3_400 * 1_200), Assumption("member's memory", "1,200 bytes for each of 3,400 others")
)
LARGEST_MESSAGE = Fallback(
    of_bytes(3_400 * 100), Assumption("largest message", "100 bytes for each of 3,400 members")
)
VIEW_MESSAGE = Fallback(of_bytes(100e3), Assumption("view", "100 KB at the target, 30 bytes a life"))
DISCOVERY_PACKETS = Fallback(
    Quantity(11_333, MESSAGE / SECOND), Assumption("reports", "one report each 0.3 s of 3,400 instances")
)
DISCOVERY_BYTES = Fallback(
    bytes_per_second(11_333 * 20),
    Assumption("bytes of reports", "20 bytes a report, each 0.3 s, of 3,400 instances"),
)
ADDED_TIME = Fallback(
    seconds(0.0013),
    Assumption("added time", "no less than the processor of a request, 1.3 ms (docs/results/peers.md)"),
)
ADDED_BY_RELOAD = Fallback(
    seconds(2.1), Assumption("added by a reload", "the 2.1 s that reading 240,000 tenants took in one go")
)
REQUEST_PROCESSOR = Fallback(
    cores(0.16), Assumption("processor of requests", "1.3 ms a request (docs/results/peers.md), 124 a second")
)
FILE_BYTES = Fallback(
    of_bytes(12.7e6), Assumption("file", "12.7 MB of JSON for 240,000 tenants, by an earlier reading")
)
READ_TIME = Fallback(seconds(2.1), Assumption("reading", "2.1 s for 240,000 tenants, by an earlier reading"))
CONFIGURATION_MEMORY = Fallback(
    of_bytes(149e6), Assumption("memory of tenants", "163 MB against 14 without, by an earlier reading")
)
