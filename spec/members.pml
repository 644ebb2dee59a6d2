/* A spin model of membership changes; see src/replica_learner.cc.
 *
 * Replicas 0, 1 and 2 are the members. Replica 3 starts with an empty disk at a
 * new address. It learns decided values like any other replica, and a log entry
 * admits it: either in one step with the removal of replica 2, which has been
 * unreachable for a long time, or as an additional member (ADD). With REMOVE,
 * replica 3 is a member from the start and the entry only removes replica 2,
 * which left or is unresponsive; with REMOVE_SELF it removes replica 1, which
 * may propose its own removal. Replicas 0 and 1 compete to propose the change
 * and two documents, each at any index.
 *
 * Each index is decided by Classic Paxos among the members defined by the log
 * before it. A promise also holds for later indexes, so a proposer may continue
 * without a new prepare phase until the membership changes. No index may have
 * two decided values, whichever replicas have learned of the change.
 *
 * Broken variants, each of which must violate the assertion:
 *   EARLY_VOTE     the new replica's votes count before it is admitted
 *   OLD_MEMBERS    proposer 0 keeps using the members from before the change
 *   KEEP_PROMISE   a proposer keeps its promises after the change
 */

#define REPLICAS 4
#define PROPOSERS 2
#ifndef INDEXES
#define INDEXES 2
#endif
#ifndef ROUNDS
#define ROUNDS 2
#endif

#define NONE 0
#define ADMIT 1
#define DOCUMENT 2       /* DOCUMENT + p is the document of proposer p */

#if defined(REMOVE) || defined(REMOVE_SELF)
#define OLD_SET 15       /* bit set of replicas 0 to 3 */
#define OLD_QUORUM 3
#else
#define OLD_SET 7        /* replicas 0, 1 and 2 */
#define OLD_QUORUM 2
#endif
#ifdef ADD
#define NEW_SET 15       /* replicas 0 to 3 */
#define NEW_QUORUM 3
#elif defined(REMOVE_SELF)
#define NEW_SET 13       /* replicas 0, 2 and 3 */
#define NEW_QUORUM 2
#else
#define NEW_SET 11       /* replicas 0, 1 and 3 */
#define NEW_QUORUM 2
#endif

typedef Acceptor {
  byte index = 1;        /* the index it votes at; lower ones are applied */
  byte promised;         /* ballot */
  byte accepted;         /* ballot at index; 0 where none */
  byte value;
};
Acceptor acceptor[REPLICAS];

/* The proposal of replica p at its current index. */
typedef Proposer {
  byte round;
  byte ballot;
  byte phase;            /* 0 idle, 1 prepare, 2 accept */
  byte value;
  byte promises;         /* bit set of acceptors */
  byte accepts;
  byte best;             /* highest accepted ballot reported by a promise */
  byte best_value;
  bool prepared;         /* a quorum promised for this and all later indexes */
};
Proposer proposer[PROPOSERS];

byte decided[INDEXES + 2];
byte admitted_at = 255;  /* the index that decided the admission */

#define is_new(index) (admitted_at < index)
#define in_set(set, r) ((set >> r) & 1)
#define count(set) ((set & 1) + (set >> 1 & 1) + (set >> 2 & 1) + (set >> 3 & 1))

#ifdef OLD_MEMBERS
#define goes_by_new(p) (is_new(acceptor[p].index) && p != 0)
#else
#define goes_by_new(p) (is_new(acceptor[p].index))
#endif

#define members_for(p) (goes_by_new(p) -> NEW_SET : OLD_SET)
#define quorum_for(p) (goes_by_new(p) -> NEW_QUORUM : OLD_QUORUM)

/* Whether r votes for proposer p at its current index and p counts the vote. */
#ifdef EARLY_VOTE
#define votes_for(p, r) (in_set(members_for(p), r) || r == 3)
#else
#ifdef OLD_MEMBERS
#define votes_for(p, r) in_set(members_for(p), r)
#else
#define votes_for(p, r) \
  (in_set(members_for(p), r) && \
   in_set((is_new(acceptor[r].index) -> NEW_SET : OLD_SET), r))
#endif
#endif

#define may_promise(p, r) \
  (proposer[p].phase == 1 && acceptor[r].index == acceptor[p].index && \
   votes_for(p, r) && proposer[p].ballot > acceptor[r].promised)
#define may_accept(p, r) \
  (proposer[p].phase == 2 && acceptor[r].index == acceptor[p].index && \
   votes_for(p, r) && proposer[p].ballot >= acceptor[r].promised && \
   proposer[p].ballot > acceptor[r].accepted)

inline clear(p) {
  proposer[p].phase = 0;
  proposer[p].ballot = 0;
  proposer[p].value = NONE;
  proposer[p].promises = 0;
  proposer[p].accepts = 0;
  proposer[p].best = 0;
  proposer[p].best_value = NONE;
  proposer[p].prepared = false
}

inline apply(r) {
  acceptor[r].index++;
  acceptor[r].accepted = 0;
  acceptor[r].value = NONE
}

inline begin_prepare(p) {
  clear(p);
  proposer[p].round++;
  proposer[p].ballot = (proposer[p].round - 1) * PROPOSERS + p + 1;
  proposer[p].phase = 1
}

inline choose(p) {
  if
  :: proposer[p].best_value != NONE ->
     proposer[p].value = proposer[p].best_value
  :: proposer[p].best_value == NONE ->
     proposer[p].value = DOCUMENT + p
  :: proposer[p].best_value == NONE && admitted_at == 255 ->
     proposer[p].value = ADMIT
  fi;
  proposer[p].phase = 2;
  proposer[p].promises = 0;
  proposer[p].best = 0;
  proposer[p].best_value = NONE;
  proposer[p].accepts = 0
}

inline promise(p, r) {
  acceptor[r].promised = proposer[p].ballot;
  proposer[p].promises = proposer[p].promises | (1 << r);
  if
  :: acceptor[r].accepted > proposer[p].best ->
     proposer[p].best = acceptor[r].accepted;
     proposer[p].best_value = acceptor[r].value
  :: else
  fi
}

inline accept(p, r) {
  acceptor[r].promised = proposer[p].ballot;
  acceptor[r].accepted = proposer[p].ballot;
  acceptor[r].value = proposer[p].value;
  proposer[p].accepts = proposer[p].accepts | (1 << r)
}

#define index_of(p) acceptor[p].index

inline decide(p) {
  assert(decided[index_of(p)] == NONE ||
         decided[index_of(p)] == proposer[p].value);
  decided[index_of(p)] = proposer[p].value;
  if
  :: proposer[p].value == ADMIT && admitted_at == 255 ->
     admitted_at = index_of(p)
  :: else
  fi;
  apply(p);
  proposer[p].phase = 0;
#ifndef KEEP_PROMISE
  if
  :: proposer[p].value == ADMIT -> clear(p)
  :: else
  fi;
#endif
  proposer[p].value = NONE;
  proposer[p].accepts = 0
}

/* The proposer at replica p. Abandoning a proposal covers crashes. */
active [PROPOSERS] proctype Propose() {
  byte p = _pid;
end:
  do
  :: atomic { proposer[p].phase == 0 && !proposer[p].prepared &&
              proposer[p].round < ROUNDS && acceptor[p].index <= INDEXES ->
       begin_prepare(p) }
  :: atomic { proposer[p].phase == 0 && proposer[p].prepared &&
              acceptor[p].index <= INDEXES ->
       choose(p) }
  :: atomic { proposer[p].phase == 1 &&
              count(proposer[p].promises) >= quorum_for(p) ->
       proposer[p].prepared = true;
       choose(p) }
  :: atomic { proposer[p].phase == 2 &&
              count(proposer[p].accepts) >= quorum_for(p) ->
       decide(p) }
  :: atomic { proposer[p].phase != 0 -> clear(p) }
  od
}

active [REPLICAS] proctype Vote() {
  byte r = _pid - PROPOSERS;
end:
  do
  :: atomic { may_promise(0, r) -> promise(0, r) }
  :: atomic { may_promise(1, r) -> promise(1, r) }
  :: atomic { may_accept(0, r) -> accept(0, r) }
  :: atomic { may_accept(1, r) -> accept(1, r) }
     /* Learns the decided value and abandons its own proposal for that index. */
  :: atomic { acceptor[r].index <= INDEXES &&
              decided[acceptor[r].index] != NONE ->
       if
       :: r < PROPOSERS -> clear(r)
       :: else
       fi;
       apply(r) }
  od
}
