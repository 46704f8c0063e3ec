/* The holder of a duty, the record of a window's report, and calls that take effect late.

   A holder reports one window. What is checked: no two different reports are accepted, no two
   holders use the same token, and a holder that got a rejection does not use its token again.
   The model has no clock, so a holder may act at any time after its lease has ended.

   Bounds: two entries that restart once each, which changes their counts; three tokens, two
   calls and one write on their way. Any response may be lost, at each write and call; a write or
   call that got none takes effect at any later time or never, after newer ones as well. A paused
   process, a slow store and a slow platform are processes that are not scheduled.

   mutant: CONDITION  the record is written although there may be one
   mutant: READ       after a failed condition an entry sends its own counts
   mutant: RECORD     an entry sends its counts before it knows the record
   mutant: TOKEN      a new leader's token is that of the last one
   mutant: FENCED     a holder goes on after a rejection
   pan: -E

   Transition                        Function
   Entry, lead                       Leadership::OnLeaderCreated
   Entry, adopt                      Leadership::OnLeaderRecord, Next
   Entry, learn                      Leadership::Token, OnLeaseLost
   Entry, create                     UsageReporter::Next, OnFixed, OnExists, OnStoreFailed
   Entry, watch                      UsageReporter::OnRecord
   Entry, send                       UsageReporter::Next
   Entry, rejected                   UsageReporter::OnSent, Leadership::OnFenced
   Store, Platform                   outside */

#define NONE 2
#define MAX_TOKEN 3

#ifdef MUTANT_CONDITION
#define MAY_WRITE true
#else
#define MAY_WRITE (record == 0)
#endif

#ifdef MUTANT_READ
#define READ candidate
#else
#define READ record
#endif

#ifdef MUTANT_RECORD
#define BODY (known == 0 -> candidate : known)
#define MAY_SEND true
#else
#define BODY known
#define MAY_SEND (known != 0)
#endif

byte leader = NONE;
/* Revision of the leader's record. */
byte token = 0;
byte terms = 0;
/* Counts in the record, and in the report that the platform accepted; 0 for none. */
byte record = 0;
byte report = 0;
byte highest = 0;
byte holderOf[MAX_TOKEN + 1];
bool rejected[MAX_TOKEN + 1];
chan write = [1] of { byte };
/* Entry, token and counts; two channels, so that calls overtake each other. */
chan callA = [1] of { byte, byte, byte };
chan callB = [1] of { byte, byte, byte };
chan rejection[2] = [1] of { byte };

proctype Entry(byte id)
{
  /* The token held, and whether a record was created under the present lease. */
  byte mine = 0;
  bool created = false;
  byte known = 0;
  byte candidate = 2 * id + 1;
  bool restarted = false;
  byte t;
  do
  :: atomic { /* lead */
       leader == NONE && mine == 0 && terms < MAX_TOKEN ->
       terms++;
#ifdef MUTANT_TOKEN
       token = 1;
#else
       token = terms;
#endif
       leader = id;
       created = true;
       if
       :: mine = token
       :: skip
       fi
     }
  :: atomic { /* adopt */ leader == id && mine == 0 && created -> mine = token }
  :: atomic { /* the lease ends */ leader == id -> leader = NONE }
  :: atomic { /* learn */
       mine != 0 && (leader != id || token != mine) -> mine = 0; created = false
     }
  :: atomic { /* create */
       mine != 0 && known == 0 ->
       if
       :: MAY_WRITE -> record = candidate;
          if
          :: known = candidate
          :: skip
          fi
       :: nfull(write) -> write!candidate
       :: record != 0 ->
          if
          :: known = READ
          :: skip
          fi
       fi
     }
  :: atomic { /* watch */ known == 0 && record != 0 -> known = record }
  :: atomic { /* send */
       mine != 0 && MAY_SEND && (nfull(callA) || nfull(callB)) ->
       assert(!rejected[mine]);
       assert(holderOf[mine] == 0 || holderOf[mine] == id + 1);
       holderOf[mine] = id + 1;
       if
       :: nfull(callA) -> callA!id, mine, BODY
       :: nfull(callB) -> callB!id, mine, BODY
       fi
     }
  :: atomic { /* rejected */
       rejection[id]?t ->
       rejected[t] = true;
#ifndef MUTANT_FENCED
       if
       :: mine == t -> mine = 0; created = false
       :: else
       fi
#endif
     }
  :: atomic { /* restart */
       !restarted -> restarted = true;
       mine = 0; created = false; known = 0; candidate = 2 * id + 2
     }
  od
}

proctype Store()
{
  byte counts;
  do
  :: atomic {
       write?counts ->
       if
       :: MAY_WRITE -> record = counts
       :: else
       fi
     }
  od
}

proctype Platform()
{
  byte h, t, counts;
  do
  :: atomic {
       if
       :: callA?h, t, counts
       :: callB?h, t, counts
       fi;
       if
       :: t < highest ->
          if
          :: nfull(rejection[h]) -> rejection[h]!t
          :: skip
          fi
       :: else ->
          highest = t;
          assert(report == 0 || report == counts);
          report = counts
       fi
     }
  od
}

init
{
  atomic {
    run Entry(0);
    run Entry(1);
    run Store();
    run Platform()
  }
}
