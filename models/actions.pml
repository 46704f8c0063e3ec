/*
 * Irreversible operations: at most one run, and a true "not run".
 *
 * One operation, one agent with up to two restarts, two entries that are called with the
 * same idempotency key (a repeated call), three attempts. Messages stay in the network once
 * sent and may be delivered at any later time, any number of times or never, so that loss,
 * delay, duplication and reordering need no transitions of their own. An entry may stop at
 * any point for good or for any time. A store answer may be lost after the write took
 * effect.
 *
 * transition                 function
 * CreateRecord, ReadBack     entry::OperationLog
 * Dispatch                   entry::AttemptRun::SendSubmit
 * TakeOver, Release          entry::OperationRun
 * agent: submit              agent::BasicAgentCore::Handle(Submit), agent::CheckSubmit
 * agent: start, finish       agent::BasicAgentCore::Start, Finish
 * agent: tombstone           agent::BasicAgentCore::Handle(Tombstone)
 * agent: forget              attempts::AttemptTable::Forbid
 * agent: restart             a new agent::BasicAgentCore with a new incarnation
 *
 * Not in the model: tickets and configuration versions, which only add refusals.
 *
 * mutant: CREATE                 create the record without comparing that it is absent
 * mutant: READ_BACK              dispatch after a lost store answer without reading back
 * mutant: TAKEOVER               take over without a tombstone
 * mutant: TAKEOVER_COMPARE       take over without comparing the record
 * mutant: RELEASE                say "not run" without withdrawing the record
 * mutant: TOMBSTONE              the agent answers a tombstone and forgets it
 * mutant: TOMBSTONE_INCARNATION  the agent denies attempts of an earlier incarnation
 * mutant: INCARNATION            the agent takes attempts meant for an earlier incarnation
 * mutant: DUPLICATE              the agent runs a repeated submit again
 * mutant: REFUSAL                the agent forgets that it refused an attempt
 * ltl: outcome
 */

#define ATTEMPTS 3
#define INCARNATIONS 3
#define TRIES 1

/* Outcomes of an entry's caller. */
#define OPEN 0
#define DONE 1
#define NOT_RUN 2
#define UNKNOWN 3
#define STOPPED 4

/* What the agent knows of an attempt. */
#define UNSEEN 0
#define QUEUED 1
#define RUNNING 2
#define FINISHED 3
#define FORBIDDEN 4

/* The store's record: attempt, 0 for none. */
byte record = 0;

/* Facts fixed when an attempt is drawn. */
byte drawn = 0;
byte meantFor[ATTEMPTS + 1];

/* The network: set once sent. */
bit submitSent[ATTEMPTS + 1];
bit tombstoneSent[ATTEMPTS + 1];
bit refused[ATTEMPTS + 1];
bit completed[ATTEMPTS + 1];
bit saidNotRun[ATTEMPTS + 1];
bit saidFinished[ATTEMPTS + 1];
bit saidUnknown[ATTEMPTS + 1];

/* The agent. */
byte incarnation = 1;
byte known[ATTEMPTS + 1];

/* Truth. */
byte runs = 0;
/* Attempts up to this one may not run, since a caller heard "not run". */
byte denied = 0;
byte outcome[2];

inline Run(a)
{
  runs++;
  assert(runs <= 1);
  assert(a > denied)
}

active proctype Agent()
{
  byte a;
end:
  do
  :: atomic { incarnation < INCARNATIONS ->
       incarnation++;
       for (a : 1 .. ATTEMPTS) { known[a] = UNSEEN }
     }
  :: atomic { select(a : 1 .. ATTEMPTS);
       if
       :: submitSent[a] ->
          if
          :: known[a] == UNSEEN ->
             if
#ifndef MUTANT_INCARNATION
             :: meantFor[a] != incarnation -> saidUnknown[a] = 1
             :: meantFor[a] == incarnation -> known[a] = QUEUED
             :: meantFor[a] == incarnation -> refused[a] = 1;
#else
             :: known[a] = QUEUED
             :: refused[a] = 1;
#endif
#ifndef MUTANT_REFUSAL
                known[a] = FORBIDDEN
#endif
             fi
          :: known[a] == FORBIDDEN -> refused[a] = 1
#ifndef MUTANT_DUPLICATE
          :: known[a] == FINISHED -> completed[a] = 1
#else
          :: known[a] == FINISHED -> known[a] = QUEUED
#endif
          :: else -> skip
          fi
       :: tombstoneSent[a] ->
          if
#ifndef MUTANT_TOMBSTONE_INCARNATION
          :: known[a] == UNSEEN && meantFor[a] != incarnation -> saidUnknown[a] = 1
          :: known[a] == UNSEEN && meantFor[a] == incarnation ->
#else
          :: known[a] == UNSEEN ->
#endif
             saidNotRun[a] = 1;
#ifndef MUTANT_TOMBSTONE
             known[a] = FORBIDDEN
#endif
          :: known[a] == QUEUED || known[a] == FORBIDDEN ->
             known[a] = FORBIDDEN;
             saidNotRun[a] = 1
          :: known[a] == FINISHED -> saidFinished[a] = 1
          :: else -> skip
          fi
       :: known[a] == QUEUED -> known[a] = RUNNING; Run(a)
       :: known[a] == RUNNING -> known[a] = FINISHED; completed[a] = 1
       :: else -> skip
       fi;
       a = 0
     }
  od
}

/* Draws an attempt for the agent as the entry knows it, which may be out of date. */
inline Draw(mine)
{
  drawn++;
  mine = drawn;
  record = mine;
  if
  :: meantFor[mine] = incarnation
  :: incarnation > 1 -> meantFor[mine] = incarnation - 1
  fi
}

proctype Entry(byte me)
{
  byte mine = 0;
  byte other = 0;
  byte tries = 0;

CreateRecord:
  atomic {
    if
    :: drawn == ATTEMPTS -> goto GiveUp
#ifndef MUTANT_CREATE
    :: drawn < ATTEMPTS && record == 0 -> Draw(mine)
    :: drawn < ATTEMPTS && record != 0 -> goto Follow
#else
    :: drawn < ATTEMPTS -> Draw(mine)
#endif
    fi
  };
  if
  :: skip
  :: atomic { /* The answer is lost after the write took effect. */
#ifndef MUTANT_READ_BACK
       if
       :: record == mine -> skip
       :: else -> goto Follow
       fi
#else
       /* A second write under another attempt, in the belief that the first had no effect. */
       submitSent[mine] = 1;
       if
       :: drawn < ATTEMPTS -> Draw(mine)
       :: else -> skip
       fi
#endif
     }
  :: atomic { outcome[me] = STOPPED; goto Stop }
  fi;

Dispatch:
  submitSent[mine] = 1;
  do
  :: atomic { completed[mine] ->
       assert(runs == 1);
       outcome[me] = DONE;
       goto Stop
     }
  :: atomic { refused[mine] -> goto Release }
  :: atomic { saidUnknown[mine] -> goto GiveUp }
  :: atomic { tries < TRIES -> tries++; goto Follow }
  :: atomic { outcome[me] = STOPPED; goto Stop }
  :: goto GiveUp
  od;

Release:
  atomic {
    if
#ifndef MUTANT_RELEASE
    :: record == mine -> record = 0
    :: else -> goto Follow
#else
    :: skip
#endif
    fi;
    assert(runs == 0);
    denied = drawn;
    outcome[me] = NOT_RUN;
    goto Stop
  };

Follow:
  atomic {
    other = record;
    if
    :: other == 0 -> goto CreateRecord
    :: else -> tombstoneSent[other] = 1
    fi
  };
  do
#ifdef MUTANT_TAKEOVER
  :: goto TakeOver
#endif
  :: atomic { saidNotRun[other] -> goto TakeOver }
  :: atomic { saidFinished[other] ->
       assert(runs == 1);
       outcome[me] = DONE;
       goto Stop
     }
  :: atomic { saidUnknown[other] -> goto GiveUp }
  :: atomic { outcome[me] = STOPPED; goto Stop }
  :: goto GiveUp
  od;

TakeOver:
  atomic {
    if
    :: drawn == ATTEMPTS -> goto GiveUp
#ifndef MUTANT_TAKEOVER_COMPARE
    :: drawn < ATTEMPTS && record == other -> Draw(mine); goto Dispatch
    :: drawn < ATTEMPTS && record != other -> goto Follow
#else
    :: drawn < ATTEMPTS -> Draw(mine); goto Dispatch
#endif
    fi
  };

GiveUp:
  outcome[me] = UNKNOWN;
Stop:
  skip
}

init
{
  atomic {
    run Entry(0);
    run Entry(1)
  }
}

ltl outcome { <> (outcome[0] != OPEN && outcome[1] != OPEN) }
