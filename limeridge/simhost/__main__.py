"""`python -m limeridge.simhost`: the simulator's host, which reads events from standard input and writes
decisions to standard output, with one Brain for each instance."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import TextIO

from limeridge.brain import Brain
from limeridge.interface import Decision, Outcome, Stage, Txn, Verb
from limeridge.words import GAUGES, parse_settings

PRUNE_EVERY = 256  # txns between two removals of finished ones from an instance's table


class Instance:
    """One Brain and its txns by the ids that the simulator gave them."""

    def __init__(self, name: str, pairs: list[tuple[str, str]], now: int) -> None:
        self.name = name
        fields = dict(pairs)
        settings = parse_settings((name, value) for name, value in pairs if name not in ("who", "salt"))
        self.brain = Brain(settings, int(fields["salt"]), now)
        self.txns: dict[int, Txn] = {}

    def handle_event(self, kind: str, fields: dict[str, str], now: int) -> None:
        brain = self.brain
        if kind == "submit":
            prior = int(fields.get("prior") or 0)
            job = int(fields["job"])
            self.txns[job] = brain.on_txn_arrived(
                now,
                job,
                int(fields["service"]),
                customer=int(fields.get("account") or 0),
                caller=int(fields.get("srcPeer") or 0),
                max_wait=int(fields.get("budget") or 0),
                age=int(fields.get("age") or 0),
                size_kb=float(fields.get("sizeKb") or 0),
                resent=fields.get("resent") in ("1", "true"),
                prior=self.txns.get(prior),
                repeat=prior != 0,
                effort=int(fields.get("effort") or 0),
            )
            if len(self.txns) % PRUNE_EVERY == 0:
                self.txns = {
                    ref: txn
                    for ref, txn in self.txns.items()
                    if txn.stage != Stage.OVER or txn.remembered_until + 60_000_000 > now
                }
        elif kind == "elapsed":
            gauges = (pair.partition(":") for pair in fields.get("gauge", "").split(",") if pair)
            brain.on_wake(
                now,
                int(fields.get("ref") or 0),
                {GAUGES[name]: float(value) for name, _, value in gauges if name in GAUGES},
            )
        elif kind == "terminate_soon":
            brain.start_drain(now, int(fields["budget"]))
        elif kind in ("completed", "downstream", "blocked", "dropped"):
            txn = self.txns.get(int(fields["job"]))
            if txn is None:
                return
            if kind == "completed":
                brain.on_run_ended(now, txn, Outcome(int(fields["status"])), int(fields.get("spent") or 0))
            elif kind == "downstream":
                brain.on_call_ended(now, txn, Outcome(int(fields["status"])), int(fields.get("spent") or 0))
            elif kind == "blocked":
                brain.on_call_needed(now, txn)
            else:
                brain.on_caller_gone(now, txn)

    def decision_lines(self) -> Iterator[str]:
        while (decision := self.brain.decide()) is not None:
            yield format_decision(self.name, decision)


def format_decision(who: str, decision: Decision) -> str:
    verb, us = decision.verb, decision.us
    job = "" if decision.txn is None else f"\tjob={decision.txn.ref}"
    match verb:
        case Verb.RUN:
            action = "execute" + "\twho=" + who + job
        case Verb.DECLINE:
            action = f"overload_reply\twho={who}{job}\tretryAfter={us}\tterminal={int(decision.flag)}"
        case Verb.VOID:
            action = f"give_up\twho={who}{job}"
        case Verb.HALT:
            action = f"take_off\twho={who}{job}"
        case Verb.CALL:
            action = f"go_call\twho={who}{job}\tgiveUpAfter={us}"
        case Verb.SKIP:
            action = f"degrade\twho={who}{job}"
        case Verb.MEMO:
            action = f"memo\twho={who}{job}\tlifetime={us}"
        case Verb.FORGET:
            action = f"forget\twho={who}{job}"
        case Verb.ATTACH:
            action = f"attach\twho={who}{job}"
        case Verb.FITNESS:
            action = f"fitness\twho={who}\tcached=1\tactive={int(decision.flag)}"
        case Verb.PUBLISH:
            action = f"publish\twho={who}\tlevel={decision.level:.6g}"
        case Verb.IDLE_LIMIT:
            action = f"idle_limit\twho={who}\tlifetime={us}"
        case Verb.WAKE:
            action = f"notify_me\twho={who}\talarmTime={us}\tref=1"
        case Verb.NOTE:
            action = f"note_down\twho={who}\twhat={decision.text}"
    return action


def serve(source: TextIO, sink: TextIO) -> None:
    """Handles batches of events until the input ends. An instance that raises has its error reported in place
    of its decisions; the others are not affected."""
    instances: dict[str, Instance] = {}
    touched: dict[str, Instance] = {}  # those that got an event in this batch
    failed: dict[str, str] = {}
    now: int | None = None
    for raw_line in source:
        line = raw_line.rstrip("\r\n")
        if not line:
            continue
        kind, *parts = line.split("\t")
        pairs = [(name, value) for name, _, value in (part.partition("=") for part in parts)]
        if kind == "batch":
            now = int(dict(pairs)["wall"])
            touched, failed = {}, {}
        elif now is None:
            raise ValueError("event line outside a batch")
        elif kind == "flush":
            replies: list[str] = []
            for who, instance in touched.items():
                if who in failed:
                    continue
                try:
                    replies.extend(list(instance.decision_lines()))
                except Exception as error:
                    failed[who] = error_text(error)
            replies.extend(f"bail_out\twho={who}\twhat={text}" for who, text in failed.items())
            sink.write("\n".join([*replies, "yield", ""]))
            sink.flush()
            now = None
        else:
            who = dict(pairs).get("who", "")
            if not who:
                raise ValueError("event without an instance name (who)")
            try:
                if kind == "init":
                    instances[who] = touched[who] = Instance(who, pairs, now)
                elif kind == "exit":
                    instances.pop(who, None)
                    touched.pop(who, None)
                elif who in instances:
                    touched[who] = instances[who]
                    instances[who].handle_event(kind, dict(pairs), now)
            except Exception as error:
                failed[who] = error_text(error)
    if now is not None:
        raise ValueError("input ended inside a batch")


def error_text(error: Exception) -> str:
    return " ".join(f"{type(error).__name__} {error}".split())


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except Exception as error:
        print(error_text(error), file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
