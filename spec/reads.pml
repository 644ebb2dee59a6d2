/* A spin model of linearizable reads; see src/replica_reads.cc.
 *
 * Four replicas decide INDEXES changes in sequence. The guarantees of Paxos are
 * assumed (spec/agreement.pml): a change is accepted once a quorum has voted for
 * it, and a replica votes at an index only after applying all lower ones. A
 * replica learns a decided change at any time, or never.
 *
 * A reader asks the replicas, in any order and at any time after the read
 * started, for the highest index that may be decided. After a quorum answered,
 * it waits until it has applied that index and returns its state, which must
 * include every change that was accepted before the read started.
 *
 * Broken variants, each of which must violate the assertion:
 *   LOCAL_READ   the reader answers immediately from its own state
 *   NO_VOTES     replicas report only the highest index they applied
 *   ALONE        the reader uses only its own votes and asks no other replica
 */

#define REPLICAS 4
#define QUORUM 3
#ifndef INDEXES
#define INDEXES 2
#endif

#ifdef ALONE
#define READ_QUORUM 1
#else
#define READ_QUORUM 3
#endif

byte applied[REPLICAS];   /* highest index applied */
byte voted[REPLICAS];     /* highest index voted for */
byte accepted = 0;        /* highest index reported to an operator */

/* Votes at the next index if all lower ones are applied. */
inline vote(r) {
  if
  :: voted[r] < INDEXES && applied[r] == voted[r] -> voted[r]++
  :: else
  fi
}

inline count_votes(index, votes) {
  votes = 0;
  byte k = 0;
  do
  :: k < REPLICAS ->
     if
     :: voted[k] >= index -> votes++
     :: else
     fi;
     k++
  :: else -> break
  od
}

/* Accepts the next change once a quorum voted for it; one of the voters applies
 * it in the same step. */
active proctype Decide() {
  byte votes;
  byte who;
end:
  do
  :: atomic {
       accepted < INDEXES ->
       count_votes(accepted + 1, votes);
       if
       :: votes >= QUORUM ->
          select(who : 0 .. REPLICAS - 1);
          if
          :: voted[who] > accepted && applied[who] == accepted ->
             accepted++;
             applied[who] = accepted
          :: else
          fi
       :: else
       fi
     }
  :: accepted == INDEXES -> break
  od
}

active [REPLICAS] proctype Replica() {
  byte self = _pid - 1;
end:
  do
  :: atomic { voted[self] < INDEXES && applied[self] == voted[self] -> vote(self) }
     /* Learns a decided change. */
  :: atomic { applied[self] < accepted ->
       applied[self]++;
       if
       :: voted[self] < applied[self] -> voted[self] = applied[self]
       :: else
       fi
     }
  od
}

active proctype Reader() {
  byte before = 0;
  byte needed = 0;
  byte answers = 1;       /* Its own answer. */
  byte asked = 1;         /* Bit set; replica 0 reads. */
  byte who;
  atomic { before = accepted; needed = (voted[0] > applied[0] -> voted[0] : applied[0]) }
#ifndef LOCAL_READ
  do
  :: answers < READ_QUORUM ->
     atomic {
       select(who : 1 .. REPLICAS - 1);
       if
       :: (asked >> who & 1) == 0 ->
          asked = asked | (1 << who);
          answers++;
          if
#ifndef NO_VOTES
          :: voted[who] > needed -> needed = voted[who]
#else
          :: applied[who] > needed -> needed = applied[who]
#endif
          :: else
          fi
       :: else
       fi
     }
  :: else -> break
  od;
end:
  applied[0] >= needed;
#endif
  assert(applied[0] >= before)
}
