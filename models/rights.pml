/* A share of an account's rate and burst, its grants, and its reclaim.

   Two holders, a requester that spends grants of holder 1, and a clock whose ticks may come
   while any process stands still. The record names holder 1, then 0, then 1 again; a holder may
   miss a version, live on unheard or restart. A share refills by one token a tick up to two. What
   is checked holds for a window of any length: `excess` is the largest sum, over all windows
   that end now, of tokens spent less the refill.

   Bounds: two tokens, in-touch limit of one tick, grant life of three, two questions to holder
   1, one restart or one repeated answer; holder 0 spends what it has itself and at once. Messages
   are late, lost and overtake each other. A read of the store may take any time or be lost; a
   store that is down is one that is not read. Evidence is modelled by reads of the store alone;
   configuration.pml shows that the other kinds mean the same. Refunds are not modelled.

   mutant: RECLAIM_WAIT       a reclaimed share is used at once
   mutant: WAIT_GRANT_LIFE    the wait leaves out the life of a grant
   mutant: GRANT_IN_TOUCH     a holder grants without recent evidence
   mutant: EXPIRY_FROM_ANSWER a grant lives from its arrival instead of its question
   mutant: OUTSTANDING        the bucket refills beside unspent grants
   mutant: SHARE_SINCE        a holder that missed a version goes on with its share
   mutant: ACCEPT_TWICE       a repeated answer counts again
   pan: -E -w24
   ltl: taken -DCALM

   Transition              Function
   Planner                 RightsKeeper::Next, PlanShares
   Holder, read and adopt  RecordPoller, ShareHolder::Adopt, AdoptShare, StartWaiting
   Holder, grant           CreditExchange::Grant, RateBucket::Grant
   Client, ask and accept  CreditRequester::Plan, OnGrant
   Client, spend           CreditPool::TryCharge
   Client, report          CreditPool::TakeActivity, RateBucket::Report
   Clock                   RateBucket::Advance, ShareHolder::Tick */

#define IN_TOUCH 1
#define GRANT_LIFE 3
#define CAPACITY 2
#define QUESTIONS(n) 2
#define HOLDER(v) ((v) == 2 -> 0 : 1)

#if defined(MUTANT_RECLAIM_WAIT)
#define WAIT 1
#elif defined(MUTANT_WAIT_GRANT_LIFE)
#define WAIT IN_TOUCH
#else
#define WAIT (IN_TOUCH + GRANT_LIFE)
#endif

#ifdef MUTANT_GRANT_IN_TOUCH
#define MAY_GRANT(n) has[n]
#else
#define MAY_GRANT(n) (has[n] && age[n] < IN_TOUCH)
#endif

#ifdef MUTANT_OUTSTANDING
#define ROOM(n) (level[n] < CAPACITY)
#else
#define ROOM(n) (level[n] + out[n] < CAPACITY)
#endif

#ifdef MUTANT_EXPIRY_FROM_ANSWER
#define LEFT(n) GRANT_LIFE
#else
#define LEFT(n) (GRANT_LIFE - askAge[n])
#endif

#ifdef MUTANT_SHARE_SINCE
#define GOES_ON(n) has[n]
#else
#define GOES_ON(n) false
#endif

byte version = 1;
bool restarted = false;
bool repeated = false;
byte excess = 0;

/* Holders. */
byte adopted[2];
bool has[2];
byte level[2];
byte waitLeft[2];
byte out[2];
byte outLeft[2];
byte outNonce[2];
byte age[2];
byte readAge[2];
byte readVersion[2];

/* Requester. */
byte asked[2];
byte pending[2];
byte askAge[2];
byte credit[2];
byte creditLeft[2];
byte creditNonce[2];

chan request[2] = [1] of { byte };
chan reply[2] = [2] of { byte, byte };

inline adopt(n, v)
{
  if
  :: v > adopted[n] ->
     adopted[n] = v;
     if
     :: HOLDER(v) == n && (n == 0 || !restarted) ->
        if
        :: GOES_ON(n) -> skip
        :: else -> has[n] = false; level[n] = 0; waitLeft[n] = WAIT
        fi
     :: else -> has[n] = false; level[n] = 0; waitLeft[n] = 0
     fi
  :: else -> skip
  fi
}

proctype Holder(byte n)
{
  byte k;
  byte g;

end:
  do
  /* The oldest state that a read may return is that at its begin. */
  :: d_step { readVersion[n] == 0 -> readVersion[n] = version; readAge[n] = 0 }
  :: d_step {
       readVersion[n] > 0 ->
       adopt(n, readVersion[n]);
       age[n] = readAge[n];
       readVersion[n] = 0;
       readAge[n] = 0
     }
#ifndef CALM
  :: d_step { readVersion[n] > 0 -> readVersion[n] = 0; readAge[n] = 0 }
  :: d_step { nempty(request[n]) -> request[n]?k; k = 0 }
#endif
  :: d_step {
       n == 0 && MAY_GRANT(0) && level[0] > 0 ->
       excess = excess + level[0];
       level[0] = 0;
       assert(excess <= CAPACITY)
     }
  :: atomic {
       nempty(request[n]) ->
       request[n]?k;
       if
       :: MAY_GRANT(n) && level[n] > 0 && out[n] == 0 && len(reply[n]) < 2 ->
          g = level[n];
          level[n] = level[n] - g;
          out[n] = g;
          outLeft[n] = GRANT_LIFE;
          outNonce[n] = k;
          reply[n]!k, g
       :: else -> skip
       fi;
       k = 0;
       g = 0
     }
  od
}

proctype Planner()
{
  version = 2;
  version = 3
}

proctype Client()
{
  byte n;
  byte k;
  byte g;

end:
  do
  :: atomic {
       n = 1;
       if
       :: pending[n] == 0 && asked[n] < QUESTIONS(n) && nfull(request[n]) ->
          asked[n]++;
          pending[n] = asked[n];
          askAge[n] = 0;
          request[n]!asked[n]
       :: nempty(reply[n]) ->
          reply[n]?k, g;
          if
          :: k == pending[n] && askAge[n] < GRANT_LIFE && credit[n] == 0 ->
             credit[n] = g;
             creditLeft[n] = LEFT(n);
             creditNonce[n] = k;
#ifndef MUTANT_ACCEPT_TWICE
             pending[n] = 0;
             askAge[n] = 0
#endif
          :: else -> skip
          fi
#ifndef CALM
       :: nempty(reply[n]) -> reply[n]?k, g
       :: len(reply[n]) == 1 && !repeated && !restarted ->
          reply[n]?k, g;
          reply[n]!k, g;
          reply[n]!k, g;
          repeated = true
#endif
       :: credit[n] > 0 ->
          credit[n]--;
          excess++;
          assert(excess <= CAPACITY)
       :: out[n] > credit[n] && outNonce[n] == creditNonce[n] -> out[n] = credit[n]
       fi;
       n = 0;
       k = 0;
       g = 0
     }
  od
}

inline tick(n)
{
  if
  :: waitLeft[n] == 1 -> waitLeft[n] = 0; has[n] = true; level[n] = 0
  :: waitLeft[n] > 1 -> waitLeft[n]--
  :: waitLeft[n] == 0 && has[n] && ROOM(n) -> level[n]++
  :: else -> skip
  fi;
  if
  :: outLeft[n] == 1 -> outLeft[n] = 0; out[n] = 0; outNonce[n] = 0
  :: outLeft[n] > 1 -> outLeft[n]--
  :: else -> skip
  fi;
  if
  :: age[n] < IN_TOUCH -> age[n]++
  :: else -> skip
  fi;
  if
  :: readVersion[n] > 0 && readAge[n] < IN_TOUCH -> readAge[n]++
  :: else -> skip
  fi;
  if
  :: pending[n] > 0 && askAge[n] < GRANT_LIFE -> askAge[n]++
  :: else -> skip
  fi;
  if
  :: pending[n] > 0 && askAge[n] == GRANT_LIFE -> pending[n] = 0; askAge[n] = 0
  :: else -> skip
  fi;
  if
  :: creditLeft[n] > 1 -> creditLeft[n]--
  :: else -> creditLeft[n] = 0; credit[n] = 0; creditNonce[n] = 0
  fi
}

proctype Clock()
{
end:
  do
  :: d_step {
       if
       :: excess > 0 -> excess--
       :: else -> skip
       fi;
       tick(0);
       tick(1)
     }
  od
}

proctype Restart()
{
#ifndef CALM
  if
  :: d_step {
       !repeated ->
       restarted = true;
       adopted[1] = 0;
       has[1] = false;
       level[1] = 0;
       waitLeft[1] = 0;
       out[1] = 0;
       outLeft[1] = 0;
       outNonce[1] = 0;
       age[1] = IN_TOUCH;
       readVersion[1] = 0;
       readAge[1] = 0
     }
  :: skip
  fi
#else
  skip
#endif
}

init
{
  atomic {
    adopted[0] = 1;
    adopted[1] = 1;
    has[1] = true;
    level[1] = CAPACITY;
    age[0] = IN_TOUCH;
    age[1] = IN_TOUCH;
    run Holder(0);
    run Holder(1);
    run Planner();
    run Client();
    run Clock();
    run Restart()
  }
}

ltl taken { <> (adopted[1] == 3 && has[1]) }
