/* The leader's record and token while the store is restored from a backup; restoredwatch.pml has
   the watch of the configuration.

   The store gives revisions and numbers of leases out again, and each response states its
   generation. What is checked: no token is used by two entries, no two entries that know the
   generation lead at the same time unless a lease has ended since, and when nothing is left to be
   done one of them leads under a token that the engine takes.

   Bounds: two entries, one backup, one restore, one lease that ends, one other write. The leases
   of the backup end with their records, without them, or go on. A write of the leader's record
   may get no response, and may take effect at any later time, also after the restore. The model
   has no clock.

   mutant: TOKEN   the token is the revision of the leader's record alone
   mutant: NOTICE  an entry keeps lease and token across the restore
   mutant: STALE   a leader's record of the backup is not replaced
   mutant: CLAIM   a leader's record is claimed by the number of its lease alone
   pan: -E

   Transition                        Function
   Entry, notice                     RestoreDetector::OnResponse, Leadership::OnStoreRestored
   Entry, grant                      Leadership::Next, OnLeaseGranted
   Entry, lease lost                 Leadership::OnLeaseLost
   Entry, lead                       Leadership::Next, OnLeaderCreated
   Entry, claim                      Leadership::IsOwn, OnLeaderRecord
   Entry, learn                      Leadership::OnLeaderRecord
   Entry, order                      Leadership::Token, OnFenced
   Store, Engine                     outside */

#define NONE 2
#define MAX_LEASES 5
#define PER_GENERATION 14

/* The store, and the backup of it. */
byte generation = 1;
byte rev = 1;
bool otherWrite;
byte holder = NONE, holderLease, holderRev, holderGen;
byte lastLease;
bool alive[MAX_LEASES + 1];

bool hasBackup, restored;
byte bRev, bHolder, bHolderLease, bHolderRev, bHolderGen, bLastLease;
bool bAlive[MAX_LEASES + 1];

bool leaseEnded;
byte grants;
/* A write of the leader's record on its way: entry + 1, lease, generation, expected revision. */
byte lateEntry, lateLease, lateGen, lateExpected;

/* Of each entry: what it knows, its lease and its token; 0 for none. */
byte gen[2], lease[2], mine[2];

byte highest;
byte holderOf[2 * PER_GENERATION];
byte ordered[2];

#ifdef MUTANT_TOKEN
#define TOKEN(r) (r)
#else
#define TOKEN(r) (generation * PER_GENERATION + (r) - PER_GENERATION)
#endif

#ifdef MUTANT_CLAIM
#define IS_OWN(id) (holder != NONE && lease[id] != 0 && holderLease == lease[id])
#else
#define IS_OWN(id) (holder == id && lease[id] != 0 && holderLease == lease[id] && \
                    holderGen == gen[id])
#endif

#ifdef MUTANT_STALE
#define IS_ABANDONED(id) false
#else
#define IS_ABANDONED(id) (holder != NONE && \
                          (holderGen < gen[id] || (holder == id && !IS_OWN(id))))
#endif

#define KNOWS(id) (gen[id] == generation)

inline writeLeader(id, l, g, expected, done)
{
  done = false;
  if
  :: alive[l] && ((expected == 0 && holder == NONE) ||
                  (expected != 0 && holder != NONE && holderRev == expected)) ->
     rev++;
     holder = id; holderLease = l; holderRev = rev; holderGen = g;
     done = true
  :: else
  fi
}

proctype Entry(byte id)
{
  byte expected;
  bool done;
  do
  :: atomic { /* notice, in the response to any call */
       !KNOWS(id) ->
       gen[id] = generation;
#ifndef MUTANT_NOTICE
       lease[id] = 0; mine[id] = 0
#endif
     }
  :: atomic { /* grant */
       KNOWS(id) && lease[id] == 0 && grants < MAX_LEASES && lastLease < MAX_LEASES ->
       grants++; lastLease++; alive[lastLease] = true; lease[id] = lastLease
     }
  :: atomic { /* lease lost */
       KNOWS(id) && lease[id] != 0 && !alive[lease[id]] -> lease[id] = 0; mine[id] = 0
     }
  :: atomic { /* lead */
       KNOWS(id) && lease[id] != 0 && mine[id] == 0 && lateEntry == 0 &&
       (holder == NONE || IS_ABANDONED(id)) ->
       expected = (holder == NONE -> 0 : holderRev);
       if
       :: writeLeader(id, lease[id], gen[id], expected, done);
          if
          :: done ->
             mine[id] = TOKEN(rev)
          :: else
          fi
       :: !restored && lateEntry == 0 -> lateEntry = id + 1; lateLease = lease[id];
          lateGen = gen[id]; lateExpected = expected
       fi
     }
  :: atomic { /* claim */
       KNOWS(id) && mine[id] == 0 && IS_OWN(id) -> mine[id] = TOKEN(holderRev)
     }
  :: atomic { /* learn */
       KNOWS(id) && mine[id] != 0 && !IS_OWN(id) && holder != id -> mine[id] = 0
     }
  :: atomic { /* order */
       mine[id] != 0 && ordered[id] != mine[id] ->
       assert(holderOf[mine[id]] == 0 || holderOf[mine[id]] == id + 1);
       holderOf[mine[id]] = id + 1;
       ordered[id] = mine[id];
       if
       :: mine[id] < highest -> mine[id] = 0; lease[id] = 0
       :: else -> highest = mine[id]
       fi;
       assert(leaseEnded || mine[0] == 0 || mine[1] == 0 || !KNOWS(0) || !KNOWS(1))
     }
  od
}

proctype Store()
{
  byte i;
  bool done;
  do
  :: atomic { /* another record changes */ !otherWrite -> otherWrite = true; rev++ }
  :: atomic { /* a lease ends */
       !leaseEnded && holder != NONE && alive[holderLease] ->
       leaseEnded = true; alive[holderLease] = false; rev++; holder = NONE
     }
  :: atomic { /* a late write */
       lateEntry != 0 ->
       writeLeader(lateEntry - 1, lateLease, lateGen, lateExpected, done);
       lateEntry = 0
     }
  :: atomic { /* backup */
       !hasBackup ->
       hasBackup = true;
       bRev = rev; bHolder = holder; bHolderLease = holderLease; bHolderRev = holderRev;
       bHolderGen = holderGen; bLastLease = lastLease;
       i = 0;
       do
       :: i <= MAX_LEASES -> bAlive[i] = alive[i]; i++
       :: else -> break
       od;
       i = 0
     }
  :: atomic { /* restore */
       hasBackup && !restored ->
       restored = true;
       generation++;
       rev = bRev; holder = bHolder; holderLease = bHolderLease; holderRev = bHolderRev;
       holderGen = bHolderGen; lastLease = bLastLease;
       i = 0;
       do
       :: i <= MAX_LEASES -> alive[i] = bAlive[i]; i++
       :: else -> break
       od;
       i = 0;
       if
       :: /* the leases go on */ skip
       :: /* they end, the records stay */
          i = 0;
          do
          :: i <= MAX_LEASES -> alive[i] = false; i++
          :: else -> break
          od;
          i = 0
       :: /* they end with their records */
          i = 0;
          do
          :: i <= MAX_LEASES -> alive[i] = false; i++
          :: else -> break
          od;
          i = 0; holder = NONE
       fi
     }
  od
}

/* Runs when nothing else can. */
proctype Monitor()
{
  timeout ->
    assert(grants == MAX_LEASES || lastLease == MAX_LEASES ||
           (holder != NONE && mine[holder] != 0 && mine[holder] == highest))
}

init
{
  atomic {
    gen[0] = 1; gen[1] = 1;
    run Entry(0);
    run Entry(1);
    run Store();
    run Monitor()
  }
}
