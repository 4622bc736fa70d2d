"""`python -m limeridge.simhost`: the wire on standard input and output, one brain an instance."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import TextIO

from limeridge.brain import Brain
from limeridge.interface import Decision, Outcome, Stage, Txn, Verb
from limeridge.words import GAUGES, settings_of

PRUNE_EVERY = 256  # txns between two clearings of the door's ids


class Instance:
    """One brain and the ids by which the wire knows its txns."""

    def __init__(self, name: str, pairs: list[tuple[str, str]], now: int) -> None:
        self.name = name
        fields = dict(pairs)
        settings = settings_of((name, value) for name, value in pairs if name not in ("who", "salt"))
        self.brain = Brain(settings, int(fields["salt"]), now)
        self.txns: dict[int, Txn] = {}

    def take(self, kind: str, fields: dict[str, str], now: int) -> None:
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

    def replies(self) -> Iterator[str]:
        while (decision := self.brain.decide()) is not None:
            yield line_of(self.name, decision)


def line_of(who: str, decision: Decision) -> str:
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
    instances: dict[str, Instance] = {}
    touched: dict[str, Instance] = {}
    failed: dict[str, str] = {}
    now: int | None = None
    for raw in source:
        line = raw.rstrip("\r\n")
        if not line:
            continue
        kind, *parts = line.split("\t")
        pairs = [(name, value) for name, _, value in (part.partition("=") for part in parts)]
        if kind == "batch":
            now = int(dict(pairs)["wall"])
            touched, failed = {}, {}
        elif now is None:
            raise ValueError("a line outside a batch")
        elif kind == "flush":
            replies: list[str] = []
            for who, instance in touched.items():
                if who in failed:
                    continue
                try:
                    replies.extend(list(instance.replies()))
                except Exception as trouble:
                    failed[who] = plain(trouble)
            replies.extend(f"bail_out\twho={who}\twhat={text}" for who, text in failed.items())
            sink.write("\n".join([*replies, "yield", ""]))
            sink.flush()
            now = None
        else:
            who = dict(pairs).get("who", "")
            if not who:
                raise ValueError("an event that names no instance")
            try:
                if kind == "init":
                    instances[who] = touched[who] = Instance(who, pairs, now)
                elif kind == "exit":
                    instances.pop(who, None)
                    touched.pop(who, None)
                elif who in instances:
                    touched[who] = instances[who]
                    instances[who].take(kind, dict(pairs), now)
            except Exception as trouble:
                failed[who] = plain(trouble)
    if now is not None:
        raise ValueError("the input ends inside a batch")


def plain(trouble: Exception) -> str:
    return " ".join(f"{type(trouble).__name__} {trouble}".split())


def main() -> int:
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        serve(sys.stdin, sys.stdout)
    except Exception as trouble:
        print(plain(trouble), file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
