/*
 * Keepers and eviction of one model.
 *
 * Two planners, which may both believe that they plan, change the keeper record of the store by
 * compare-and-swap. Agents load the model when they are ordered to and evict it under pressure at
 * any time, but never while they keep it: the intent to unload is written in one transaction that
 * compares the revision of the keeper record with the one that the agent read. Orders and reports
 * are lost, late and repeated; agents restart empty; endpoints go out of service and return; the
 * store is down at times.
 *
 * Bounds: two endpoints, two planners, one restart, one endpoint out of service for a time, one
 * outage, one lost order; one keeper is wanted.
 *
 * Safety: no agent commits to evict a model while the record has it as a keeper, and a model
 * that a live keeper held is not lost by eviction. A restart that a planner could
 * not know of when it wrote is a fault of its own and sets the claim back until a keeper holds the
 * model again.
 * Progress (recovers): when faults are over, the model becomes resident for good.
 *
 *   transition        function
 *   ReadRecord        entry::PlacementSystem::OnStoreReply, placement::KeeperPlanner::NoteKept
 *   TakeReport        entry::FleetReports::OnReport
 *   WriteRecord       placement::KeeperPlanner::Choose, entry::PlacementSystem::WriteKeepers
 *   OrderLoad         placement::PlanKeeperLoads, entry::LoadOrders::Start
 *   Load, Evict       agent::PlacementSystem::PlanLoad, PlanUnload, agent::IntentLog::Write
 *
 * mutant: EVICT_COMPARE
 * mutant: RECORD_COMPARE
 * mutant: EVIDENCE
 * mutant: TRIM
 * mutant: UNLOADING_MARK
 * ltl: recovers
 */

#define N 2
#define PLANNERS 2

/* The store: who keeps the model. */
bool keeps[N];
bool storeUp = true;

/* Agents. */
bool resident[N];
bool unloading[N];
bool ordered[N];
bool serving[N] = true;
/* True while the revision that an agent or planner read is that of the record. */
bool agentCurrent[N];
bool plannerCurrent[PLANNERS];

/* For the claims only. */
bool protectedCopy = false;
bool tainted[PLANNERS];

byte restarts = 1;
byte changes = 1;
byte outages = 1;
byte losses = 1;

#define HELD (resident[0] || resident[1])
#define KEPT_AND_HELD ((keeps[0] && resident[0] && !unloading[0]) || (keeps[1] && resident[1] && !unloading[1]))
#define NO_FAULTS (restarts == 0 && changes == 0 && outages == 0 && losses == 0 && storeUp)

#ifdef MUTANT_UNLOADING_MARK
#define REPORT(e) resident[e]
#else
#define REPORT(e) (resident[e] && !unloading[e])
#endif

#ifdef MUTANT_TRIM
#define SURE(e) true
#else
#ifdef MUTANT_EVIDENCE
#define SURE(e) holds[e]
#else
#define SURE(e) evidence[e]
#endif
#endif

#ifdef MUTANT_RECORD_COMPARE
#define COMPARED true
#else
#define COMPARED plannerCurrent[me]
#endif

active [N] proctype Agent()
{
  byte me = _pid;

end:
  do
  /* Load: an order may come late or again; the intent needs the store. */
  :: atomic {
       ordered[me] && storeUp && !unloading[me] ->
       ordered[me] = false;
       resident[me] = true;
       if
       :: KEPT_AND_HELD -> protectedCopy = true
       :: else
       fi
     }
  /* Evict: the first try brings the keeper record, the second compares with it. */
  :: atomic {
       resident[me] && !unloading[me] && storeUp && !keeps[me] ->
       agentCurrent[me] = true;
       unloading[me] = true
     };
     if
     :: atomic {
          storeUp ->
          if
#ifndef MUTANT_EVICT_COMPARE
          :: !agentCurrent[me] ->
             unloading[me] = false
#endif
          :: else -> assert(!keeps[me]); goto committed
          fi
        }
     :: atomic { !storeUp -> unloading[me] = false; agentCurrent[me] = false }
     fi
  :: atomic {
       restarts > 0 ->
       restarts--;
       resident[me] = false;
       unloading[me] = false;
       agentCurrent[me] = false;
       tainted[0] = true;
       tainted[1] = true;
       if
       :: !KEPT_AND_HELD -> protectedCopy = false
       :: else
       fi
     }
  od;

committed:
  atomic {
    resident[me] = false;
    unloading[me] = false;
    agentCurrent[me] = false;
    assert(!protectedCopy || HELD);
    goto end
  }
}

active [PLANNERS] proctype Planner()
{
  byte me = _pid - N;
  bool kept[N];      /* keepers as read */
  bool holds[N];     /* as reported */
  bool evidence[N];  /* reported to a question asked while the endpoint was known to keep */
  bool wants = false;

  do
  :: /* ReadRecord: also shows which agents restarted. */
     d_step {
       storeUp ->
       plannerCurrent[me] = true;
       kept[0] = keeps[0];
       kept[1] = keeps[1];
       tainted[me] = false
     };
     /* TakeReport. */
     d_step {
       holds[0] = REPORT(0);
       evidence[0] = kept[0] && holds[0];
       holds[1] = REPORT(1);
       evidence[1] = kept[1] && holds[1];
       /* No keeper serves: one that does becomes a keeper, a holder rather than another. */
       if
       :: !(kept[0] && serving[0]) && !(kept[1] && serving[1]) ->
          if
          :: serving[0] && (holds[0] || !holds[1] || !serving[1]) -> kept[0] = true
          :: else -> kept[1] = serving[1]
          fi;
          wants = true
       :: else
       fi;
       /* One keeper too many goes once the other holds the model. */
       if
       :: kept[0] && kept[1] && serving[1] && SURE(1) -> kept[0] = false; wants = true
       :: else ->
          if
          :: kept[0] && kept[1] && serving[0] && SURE(0) -> kept[1] = false; wants = true
          :: else
          fi
       fi
     };
     /* WriteRecord. */
     d_step {
       if
       :: wants && storeUp && COMPARED ->
          keeps[0] = kept[0];
          keeps[1] = kept[1];
          agentCurrent[0] = false;
          agentCurrent[1] = false;
          plannerCurrent[0] = false;
          plannerCurrent[1] = false;
          if
          :: tainted[me] -> protectedCopy = false
          :: else -> protectedCopy = protectedCopy || KEPT_AND_HELD
          fi
       :: else
       fi;
       /* OrderLoad. */
       ordered[0] = ordered[0] || (kept[0] && serving[0] && !holds[0]);
       ordered[1] = ordered[1] || (kept[1] && serving[1] && !holds[1]);
       plannerCurrent[me] = false;
       kept[0] = false;
       kept[1] = false;
       holds[0] = false;
       holds[1] = false;
       evidence[0] = false;
       evidence[1] = false;
       wants = false
     }
  od
}

active proctype Faults()
{
  do
  :: atomic { changes > 0 -> changes--; serving[0] = false }
  :: atomic { changes > 0 -> changes--; serving[1] = false }
  :: atomic { !serving[0] -> serving[0] = true }
  :: atomic { !serving[1] -> serving[1] = true }
  :: atomic { outages > 0 -> outages--; storeUp = false }
  :: atomic { !storeUp -> storeUp = true }
  :: atomic { losses > 0 && ordered[0] -> losses--; ordered[0] = false }
  :: atomic { losses > 0 && ordered[1] -> losses--; ordered[1] = false }
  od
}

ltl recovers { [] (([] NO_FAULTS) -> <> [] HELD) }
