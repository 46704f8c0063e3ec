/* Acceptance of changes, change of the roster, and evidence.

   A change of the configuration is accepted once a quorum of the roster holds it. The model
   checks that a process that claims evidence knows all that was accepted before the instant of
   its evidence. It has no clock: what was accepted is noted when a question is sent.

   Bounds: four processes, one change of the configuration, one change of the roster by any
   number of members ({0,1,2} to {2,3}; the code changes one member at a time), one round of one
   process that polls a quorum, one that relies on its answer, and one process that ends: the VM
   of process 0 goes, or process 1 restarts with empty memory. Messages are late, lost, repeated and overtake each other because
   each step reads the state of one peer at any later time or never. A store that is down or
   slow, a lost answer of the store and a paused process are processes that are not scheduled.

   mutant: ADOPT_FIRST      answers count before their versions are adopted
   mutant: JOINT_QUORUM     a roster that is not accepted needs no majority of its predecessor
   mutant: OLD_MAJORITY     a roster is accepted without a majority of its predecessor
   mutant: CATCH_UP         a roster is accepted although its members miss earlier changes
   mutant: SAME_ROSTER      answers under an earlier roster count
   mutant: GONE             a process that may live counts as ended
   mutant: INCARNATION      a restarted member counts as the member it was
   mutant: OPERATOR_ROSTER  an operator overlooks a higher roster in an answer
   mutant: RELAY_AGE        evidence of a peer counts from now instead of its own age
   pan: -E
   ltl: accepted -DWITHOUT_POLLER

   Transition                       Function
   Node, adopt                      ControlState::AdoptRecord
   Operator                         AcceptedBy of the operators' commands, HasQuorum
   Planner, acknowledge and decide  RosterKeeper::MayAccept, HasAcknowledged, HasEnded
   Poller, ask and answer           Freshness::Tick, OnQuestion, OnAnswer
   Poller, evaluate                 FreshnessTracker::Evaluate, HasQuorum
   Relay                            FreshnessTracker::OnReply, Evaluate
   restart, go                      EntryCore (a new incarnation), VmPresence::IsGone */

#define NODES 4
#define ALL_OF(mask, set) (((mask) & (set)) == (set))

byte storeConfiguration = 0;
byte storeRoster = 1;
bool accepted = false;

byte configuration[NODES];
byte roster[NODES];
/* Roster under which a member took the change: the lowest that its answers state. */
byte takenUnder[NODES];
bool ended[NODES];

/* Majorities of {0,1,2} and of {2,3}. */
#define OLD(mask) (ALL_OF(mask, 3) || ALL_OF(mask, 5) || ALL_OF(mask, 6))
#define NEW(mask) ALL_OF(mask, 12)

#ifdef MUTANT_JOINT_QUORUM
#define QUORUM(version, mask) ((version == 1 && OLD(mask)) || (version > 1 && NEW(mask)))
#else
#define QUORUM(version, mask)                                                               \
  ((version == 1 && OLD(mask)) || (version == 2 && OLD(mask) && NEW(mask)) ||               \
   (version == 3 && NEW(mask)))
#endif

#ifdef MUTANT_ADOPT_FIRST
#define ADOPTED(m) true
#else
#define ADOPTED(m) (configuration[m] == 0)
#endif

#ifdef MUTANT_SAME_ROSTER
#define SAME_ROSTER(m, version) true
#else
#define SAME_ROSTER(m, version) (roster[m] == version)
#endif

#ifdef MUTANT_OLD_MAJORITY
#define OLD_MAJORITY(mask) true
#else
#define OLD_MAJORITY(mask) OLD(mask)
#endif

#ifdef MUTANT_CATCH_UP
#define CAUGHT_UP(mask) true
#else
#define CAUGHT_UP(mask) (storeConfiguration == 0 || NEW(mask))
#endif

#ifdef MUTANT_OPERATOR_ROSTER
#define COUNTS(m, version) (configuration[m] == 1)
#else
#define COUNTS(m, version) (configuration[m] == 1 && takenUnder[m] <= version)
#endif

#ifdef MUTANT_GONE
#define HAS_ENDED(m) (ended[m] || m == 0)
#else
#define HAS_ENDED(m) ended[m]
#endif

proctype Node(byte n)
{
end:
  do
  :: atomic {
       !ended[n] && configuration[n] < storeConfiguration ->
       configuration[n] = 1;
       takenUnder[n] = roster[n]
     }
  :: atomic { !ended[n] && roster[n] < storeRoster -> roster[n]++ }
  od
}

/* Writes the change and counts acknowledgements under a roster that it read. What a member
   answered once stays true, so that counting needs no memory of its own. */
proctype Operator()
{
  byte mask;
  byte seen;
  byte m;

  storeConfiguration = 1;
  do
  :: atomic {
       !accepted ->
       if
       :: seen = storeRoster
#ifndef WITHOUT_POLLER
       /* It may still go by an earlier read; for progress it reads again. */
       :: storeRoster > 1 -> seen = 1
       :: storeRoster > 2 -> seen = 2
#endif
       fi;
       mask = 0;
       m = 0;
       do
       :: m < NODES ->
          if
          :: COUNTS(m, seen) -> mask = mask | (1 << m)
          :: else -> skip
          fi;
          m = m + 1
       :: else -> break
       od;
       accepted = QUORUM(seen, mask);
       mask = 0;
       seen = 0;
       m = 0
     }
  :: accepted -> break
  od
}

/* Proposes {2,3}, and accepts it on acknowledgements followed by a read of the store. */
proctype Planner()
{
  byte old = 0;
  byte new = 0;
  byte held = 0;
  byte m = 0;
  bool decided = false;

  storeRoster = 2;
  do
  :: atomic {
       !decided ->
       m = 0;
       do
       :: m < NODES ->
          if
          :: HAS_ENDED(m) || roster[m] >= 2 -> old = old | (1 << m)
          :: else -> skip
          fi;
          if
          :: ended[m] || roster[m] >= 2 ->
             new = new | (1 << m);
             if
             :: ended[m] || configuration[m] == 1 -> held = held | (1 << m)
             :: else -> skip
             fi
          :: else -> skip
          fi;
          m = m + 1
       :: else -> break
       od;
       decided = (NEW(new) && OLD_MAJORITY(old) && CAUGHT_UP(held));
       old = 0;
       new = 0;
       held = 0;
       m = 0
     }
  :: decided -> storeRoster = 3; break
  od
}

/* Evidence of the polling process: what was accepted before its instant. */
bool hasEvidence = false;
bool evidenceCovers = false;
byte poller = 1;

/* Polls under the roster `version` and evaluates once it has adopted that one. Answers that
   state the change count only after the poller took it, and then it knows it: only answers
   without it can do harm, and only these are kept. */
proctype Poller()
{
  bool acceptedBefore = false;
  byte version = 0;
  byte mask = 0;
  byte m = 0;

  if
  :: poller = 1
  :: poller = 3
  fi;
  atomic {
    acceptedBefore = accepted;
    if
    :: version = 1
    :: version = 2
    :: version = 3
    fi
  };
end:
  do
  :: atomic {
       if
       :: m = 0
       :: m = 1
       :: m = 2
       :: m = 3
       fi;
       if
       :: m != poller && !ended[m] && ADOPTED(m) && SAME_ROSTER(m, version) ->
          mask = mask | (1 << m)
       :: else -> skip
       fi;
       m = 0
     }
  :: atomic {
       !ended[poller] && roster[poller] == version &&
       QUORUM(version, (mask | (1 << poller))) ->
       hasEvidence = true;
       evidenceCovers = acceptedBefore;
       assert(!evidenceCovers || configuration[poller] == 1);
       mask = 0;
       version = 0;
       acceptedBefore = false;
       break
     }
  od
}

/* Process 2 takes the evidence of the polling process. */
proctype Relay()
{
  bool covers = false;
  bool stated = false;

end:
  atomic {
    hasEvidence && !ended[poller] ->
    covers = evidenceCovers;
    stated = configuration[poller]
  };
#ifdef MUTANT_RELAY_AGE
  covers = accepted;
#endif
  atomic { configuration[2] >= stated -> assert(!covers || configuration[2] == 1) }
}

/* One process ends: process 1 restarts with empty memory, or the VM of process 0 goes. */
proctype End()
{
  if
#ifdef MUTANT_INCARNATION
  :: configuration[1] = 0
#else
  :: ended[1] = true
#endif
  :: ended[0] = true
  :: skip
  fi
}

init
{
  atomic {
    byte i;
    for (i : 0 .. 3) {
      roster[i] = 1;
      run Node(i)
    }
    i = 0;
    run Operator();
    run Planner();
#ifndef WITHOUT_POLLER
    run Poller();
    run Relay();
#endif
    run End()
  }
}

ltl accepted { <> accepted }
