/* The watch of the configuration while the store is restored from a backup.

   The store gives revisions out again, answers a watch beyond its revision with lost history, and
   states its generation in each response. The operator writes its version again. What is checked:
   when nothing is left to be done, each entry has the newest version; a version that is in force
   is not replaced by an older one.

   Bounds: two entries, three versions, two restores of one backup each, and as many other writes,
   which move the revision past a known one. The model has no clock.

   mutant: GENERATION  a watch goes on in another generation
   mutant: OLDER       an older version of the backup is adopted
   mutant: LOST        lost history is not answered by a complete read
   pan: -E

   Transition                        Function
   Entry, watch                      StoreWatcher::Run, WatchOnce, RestoreDetector::OnResponse
   Entry, read                       StoreWatcher::ReadAll, GatewayProcess::OnConfiguration
   Store                             outside */

#define NEWEST 3
#define RESTORES 2

byte generation = 1;
byte rev = 1;
byte version = 1, versionRev = 1;
/* The version that the operator wrote last, whatever the store holds. */
byte written = 1;
byte others;
bool hasBackup;
byte backupRev, backupVersion, backupVersionRev;

/* Of each entry: generation and revision of the last response, and the version in force. */
byte gen[2], pos[2], inForce[2];

inline adopt(id)
{
#ifdef MUTANT_OLDER
  inForce[id] = version
#else
  inForce[id] = (version > inForce[id] -> version : inForce[id])
#endif
}

proctype Entry(byte id)
{
  byte before;
  do
  :: atomic { /* read, if the response to a watch states another generation */
#ifndef MUTANT_GENERATION
       gen[id] != generation ->
#else
       false ->
#endif
       gen[id] = generation; pos[id] = rev;
       before = inForce[id];
       adopt(id);
       assert(inForce[id] >= before)
     }
  :: atomic { /* read, if the history is lost */
#ifndef MUTANT_LOST
       gen[id] == generation && pos[id] > rev ->
#else
       false ->
#endif
       pos[id] = rev;
       adopt(id)
     }
  :: atomic { /* watch */
#ifdef MUTANT_GENERATION
       pos[id] < rev ->
#else
       gen[id] == generation && pos[id] < rev ->
#endif
       if
       :: versionRev > pos[id] -> adopt(id)
       :: else
       fi;
       pos[id] = rev
     }
  od
}

proctype Store()
{
  do
  :: atomic { /* the operator writes a version, or the lost one again */
       written < NEWEST || version < written ->
       if
       :: written < NEWEST -> written++
       :: version < written
       fi;
       rev++; version = written; versionRev = rev
     }
  :: atomic { /* another record changes */ others < NEWEST -> others++; rev++ }
  :: atomic { /* backup */
       !hasBackup && generation <= RESTORES ->
       hasBackup = true;
       backupRev = rev; backupVersion = version; backupVersionRev = versionRev
     }
  :: atomic { /* restore */
       hasBackup ->
       hasBackup = false;
#ifdef MUTANT_LOST
       /* The generation is not stated, so that lost history alone tells of it. */
       gen[0] = generation + 1; gen[1] = generation + 1;
#endif
       generation++;
       rev = backupRev; version = backupVersion; versionRev = backupVersionRev
     }
  od
}

/* Runs when nothing else can. */
proctype Monitor()
{
  timeout -> assert(inForce[0] == NEWEST && inForce[1] == NEWEST)
}

init
{
  atomic {
    gen[0] = 1; gen[1] = 1; pos[0] = 1; pos[1] = 1; inForce[0] = 1; inForce[1] = 1;
    run Entry(0);
    run Entry(1);
    run Store();
    run Monitor()
  }
}
