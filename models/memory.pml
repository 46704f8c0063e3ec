/*
 * Memory of one endpoint: the ledger, recorded intents and fencing numbers.
 *
 * Two models of which one fits, one agent with two restarts, two jobs with up to seven
 * orders. An order stays in the network from its issue until its last chance, which
 * stands for the longest order delay; meanwhile it may be carried out at any time, up to
 * twice or never. A load uses memory from its beginning and shows in the list of
 * models only at its end. Confirmations may be lost, a list may be old when it arrives, and
 * an answer of the store may be lost after the write took effect. Both kinds of endpoint
 * are searched: those that refuse an order with an old number and those that ignore it.
 *
 * transition                 function
 * Reserve                    ledger::MemoryLedger::Reserve
 * RecordIntent               agent::IntentLog::Record, OnStore
 * Issue                      ledger::MemoryLedger::RecordOrder, agent::BackendControl::Send
 * load confirmed             ledger::MemoryLedger::OnLoadOutcome
 * unload confirmed           ledger::MemoryLedger::OnUnloadOutcome
 * AskList, TakeList          agent::PlacementSystem::OnResidents,
 *                            ledger::MemoryLedger::OnResidentModels
 * Restart                    agent::IntentLog::AdoptIntents, ledger::MemoryLedger::RestoreOrders
 *
 * mutant: ROOM      load without room in the ledger
 * mutant: LATE      give memory back although a load order may still take effect
 * mutant: EVIDENCE  count a list as evidence from its arrival instead of from its question
 * mutant: UNLOAD_EVIDENCE  count a confirmed unload as evidence from its arrival
 * mutant: FENCING   count a confirmed unload as the end of loads on any endpoint
 * mutant: ADOPT     a restarted agent ignores the recorded intents
 * mutant: RECORD    send an order without recording its intent
 * ltl: finished
 */

#define MODELS 2
#define ORDERS 7
#define SWAPS 2
#define RESTARTS 2
#define COPIES 2

/* An order in the network. */
#define NONE 0
#define LIVE 1
#define OVER 2

/* A model at the engine. */
#define ABSENT 0
#define BEGUN 1
#define LISTED 2

bit checks;

byte network[ORDERS + 1];
byte copies[ORDERS + 1];
bit isLoad[ORDERS + 1];
bit model[ORDERS + 1];
bit confirmed[ORDERS + 1];

/* The engine. */
byte held[MODELS];
byte highest = 0;

/* The store's record: open loads as a set of orders, and the last fencing number. */
bit intent[ORDERS + 1];
byte recordedFencing = 0;

/* The agent; all but the job is lost at a restart. */
bit counted[MODELS];
bit resident[MODELS];
bit open[ORDERS + 1];
byte restarts = 0;
bit done = 0;

inline CheckMemory()
{
  assert(held[0] == ABSENT || held[1] == ABSENT)
}

proctype Engine()
{
  byte n;
end:
  do
  :: atomic { select(n : 1 .. ORDERS);
       if
       :: network[n] == LIVE && copies[n] < COPIES && !(checks && n < highest) ->
          copies[n]++;
          if
          :: n > highest -> highest = n
          :: else -> skip
          fi;
          if
          :: isLoad[n] && held[model[n]] == ABSENT -> held[model[n]] = BEGUN; CheckMemory()
          :: isLoad[n] && held[model[n]] == LISTED -> confirmed[n] = 1
          :: isLoad[n] && held[model[n]] == BEGUN -> skip
          :: !isLoad[n] -> held[model[n]] = ABSENT; confirmed[n] = 1
          fi
       :: else -> skip
       fi;
       n = 0
     }
  od
}

/* Loads end, and orders lose their last chance. */
proctype Clock()
{
end:
  do
  :: held[0] == BEGUN -> held[0] = LISTED
  :: held[1] == BEGUN -> held[1] = LISTED
  :: atomic { network[1] == LIVE && held[model[1]] != BEGUN -> network[1] = OVER }
  :: atomic { network[2] == LIVE && held[model[2]] != BEGUN -> network[2] = OVER }
  :: atomic { network[3] == LIVE && held[model[3]] != BEGUN -> network[3] = OVER }
  :: atomic { network[4] == LIVE && held[model[4]] != BEGUN -> network[4] = OVER }
  :: atomic { network[5] == LIVE && held[model[5]] != BEGUN -> network[5] = OVER }
  :: atomic { network[6] == LIVE && held[model[6]] != BEGUN -> network[6] = OVER }
  :: atomic { network[7] == LIVE && held[model[7]] != BEGUN -> network[7] = OVER }
  od
}

/* True if no load order of the model can take effect any more. An order that is adopted but
   was never sent passes its last chance without effect. */
#define IS_OVER(n, m) (!open[n] || model[n] != m || network[n] != LIVE)
#define ALL_OVER(m) (IS_OVER(1, m) && IS_OVER(2, m) && IS_OVER(3, m) && IS_OVER(4, m) && \
                     IS_OVER(5, m) && IS_OVER(6, m) && IS_OVER(7, m))

inline ForgetLoads(forgotten)
{
  for (i : 1 .. ORDERS) {
    if
    :: model[i] == forgotten -> open[i] = 0
    :: else -> skip
    fi
  };
  i = 0;
  counted[forgotten] = 0
}

/* One list from question to arrival; the agent knows at the question which loads are over. */
inline ReadList()
{
  atomic { overAtAsk[0] = ALL_OVER(0); overAtAsk[1] = ALL_OVER(1) };
  atomic { listed[0] = (held[0] == LISTED); listed[1] = (held[1] == LISTED) };
  atomic {
#ifdef MUTANT_EVIDENCE
    overAtAsk[0] = ALL_OVER(0); overAtAsk[1] = ALL_OVER(1);
#endif
#ifdef MUTANT_LATE
    overAtAsk[0] = 1; overAtAsk[1] = 1;
#endif
    for (k : 0 .. MODELS - 1) {
      resident[k] = listed[k];
      if
      :: listed[k] -> counted[k] = 1
      :: !listed[k] && overAtAsk[k] && counted[k] -> ForgetLoads(k)
      :: else -> skip
      fi
    };
    k = 0; listed[0] = 0; listed[1] = 0; overAtAsk[0] = 0; overAtAsk[1] = 0
  }
}

/* Records the next order of the agent together with the loads that are open. */
inline RecordIntent(isLoading, target)
{
  atomic {
    order = recordedFencing + 1;
#ifdef MUTANT_RECORD
    recordedFencing = order;
#else
    for (i : 1 .. ORDERS) { intent[i] = open[i] };
    i = 0;
    intent[order] = isLoading;
    recordedFencing = order;
#endif
    isLoad[order] = isLoading;
    model[order] = target
  }
}

inline Issue()
{
  atomic {
    network[order] = LIVE;
    if
    :: isLoad[order] -> open[order] = 1
    :: else -> skip
    fi
  }
}

proctype Agent()
{
  byte i = 0;
  byte k = 0;
  byte order = 0;
  byte job = 0;
  bit m = 0;
  bit listed[MODELS];
  bit overAtAsk[MODELS];
  bit overAtIssue = 0;

Start:
  ReadList();
  do
  :: job == SWAPS || recordedFencing >= ORDERS - 1 -> break
  :: else ->
     m = job % MODELS;
     if
     :: resident[m] -> goto NextJob
     :: else -> skip
     fi;
     /* Make room: unload the other model, or wait until its memory is free. */
     if
     :: !resident[m] && resident[1 - m] ->
        resident[1 - m] = 0;
        RecordIntent(0, 1 - m);
        if
        :: skip
        :: goto Restart
        fi;
        atomic { overAtIssue = ALL_OVER(1 - m) };
        Issue();
        if
        :: atomic { confirmed[order] ->
#ifdef MUTANT_FENCING
             if
             :: ForgetLoads(1 - m)
#else
#ifdef MUTANT_UNLOAD_EVIDENCE
             overAtIssue = ALL_OVER(1 - m);
#endif
             if
             :: checks || overAtIssue -> ForgetLoads(1 - m)
             :: else -> skip
#endif
             fi
           }
        :: skip
        :: goto Restart
        fi
     :: else -> skip
     fi;
#ifndef MUTANT_ROOM
     do
     :: counted[1 - m] && !resident[1 - m] -> ReadList()
     :: counted[1 - m] && resident[1 - m] -> goto NextJob
     :: !counted[1 - m] -> break
     od;
#endif
     if
     :: recordedFencing >= ORDERS -> goto NextJob
     :: else -> skip
     fi;
     counted[m] = 1;
     RecordIntent(1, m);
     if
     :: skip
     :: goto Restart
     fi;
     Issue();
     if
     :: confirmed[order] -> resident[m] = 1
     :: skip
     :: goto Restart
     fi;
     ReadList();
NextJob:
     job++
  od;
  done = 1;
  goto Stop;

Restart:
  atomic {
    if
    :: restarts == RESTARTS -> done = 1; goto Stop
    :: else -> restarts++
    fi;
    for (k : 0 .. MODELS - 1) { counted[k] = 0; resident[k] = 0 };
    k = 0;
    for (i : 1 .. ORDERS) { open[i] = 0 };
#ifndef MUTANT_ADOPT
    for (i : 1 .. ORDERS) {
      if
      :: intent[i] && isLoad[i] -> open[i] = 1; counted[model[i]] = 1
      :: else -> skip
      fi
    };
#endif
    i = 0;
    order = 0;
    job = job + 1;
    if
    :: job > SWAPS -> job = SWAPS
    :: else -> skip
    fi
  };
  goto Start;
Stop:
  skip
}

init
{
  atomic {
    if
    :: checks = 0
    :: checks = 1
    fi;
    run Engine();
    run Clock();
    run Agent()
  }
}

ltl finished { <> done }
