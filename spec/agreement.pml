/* A spin model of the consensus protocol of the configuration service.
 *
 * Three replicas decide a sequence of log indexes by Classic Paxos without a
 * leader; each index holds one request. Two proposers compete: proposer P first
 * proposes the operator's request P + 1. Request 1 is also resent through the
 * other proposer, as an operator does when the answer was lost.
 *
 * A request is a patch with an id and a base version. Requests 1 and 2 both
 * have base version 0, so exactly one of them may apply, and the outcome of
 * each is decided once.
 *
 * Messages are not queued. Each phase of a proposer is a set of (proposer,
 * acceptor) pairs that are handled in any order, at any later time, repeatedly
 * or never, which covers loss, duplication, delay and reordering. A vote that
 * was cast stays in the network forever, even after its acceptor lost its
 * durable state.
 *
 * A crash that preserves durable state leaves an acceptor's promises and votes
 * unchanged, so it is equivalent to a pause. A proposer that crashes loses its
 * proposal, which it may abandon at any step; it never reuses the ballot.
 *
 * One replica may lose its durable state, once. It then takes a new store id,
 * and its votes count only at indexes above the one that decides its rejoin.
 *
 * Broken variants, each of which must violate an assertion:
 *   NO_PATCH_ID      a resend is evaluated as a new request
 *   VOTE_AFTER_LOSS  a replica votes immediately after losing its state
 *   NO_HELP          a proposer ignores values that were already accepted
 *   FORGET_PROMISE   acceptors discard their promise at each index
 */

#define REPLICAS 3
#define PROPOSERS 2
#define QUORUM 2
#ifndef INDEXES
#define INDEXES 2
#endif
#ifndef BALLOTS
#define BALLOTS 2
#endif
#ifndef LOSSES
#define LOSSES 1
#endif

#define NONE 0
#define REJOIN 3        /* rejoin request of the replica that lost its state */
#define RESEND 4        /* request 1, resent through the other proposer */

#define ACCEPTED 1
#define REFUSED 2

/* The durable state of a replica for the index in progress. */
typedef Acceptor {
  byte index;           /* the index it votes at */
  byte promised;        /* ballot */
  byte accepted;        /* ballot; 0 where none */
  byte value;
  bool lost;            /* lost its state; has a new store id */
  byte version;         /* of the state after index - 1 */
  byte outcome[3];      /* by request: the first outcome */
  byte runs[3];         /* by request: times applied */
};
Acceptor acceptor[REPLICAS];

/* A proposal in progress. Ballots are PROPOSERS * round + proposer + 1, so they
 * are unique to a proposer. */
typedef Proposer {
  byte index;
  byte ballot;
  byte round;
  byte phase;           /* 0 idle, 1 prepare, 2 accept */
  byte value;
  byte promises;        /* bit set of acceptors */
  byte accepts;
  byte best;            /* highest accepted ballot reported by a promise */
  byte best_value;
  byte waiting;         /* the request to propose */
  byte second;          /* the next request to propose */
  bool prepared;        /* a quorum promised for this and all later indexes */
};
Proposer proposer[PROPOSERS];

byte decided[INDEXES + 1];   /* by index: the value, from 1 on */
byte losses;
byte loser = 255;            /* the replica that lost its state */
byte rejoined_at = 255;      /* the index that decided its rejoin */
byte told[3];                /* by request: the first outcome reported */

inline select_acceptor(r) {
  if
  :: r = 0
  :: r = 1
  :: r = 2
  fi
}

inline clear_proposal(p) {
  proposer[p].phase = 0;
  proposer[p].value = NONE;
  proposer[p].promises = 0;
  proposer[p].accepts = 0;
  proposer[p].best = 0;
  proposer[p].best_value = NONE;
  proposer[p].prepared = false;
  proposer[p].ballot = 0
}

/* Ends a proposal that was decided. Its promises remain valid, except after a
 * rejoin, which changes the set of voting replicas. */
inline finish_proposal(p, v) {
  proposer[p].phase = 0;
  proposer[p].value = NONE;
  proposer[p].accepts = 0;
  if
  :: v == REJOIN -> clear_proposal(p)
  :: else -> skip
  fi
}

/* Chooses one of the proposer's own requests, or the rejoin of a replica. */
inline choose_own(p) {
  if
  :: proposer[p].waiting != NONE ->
     proposer[p].value = proposer[p].waiting
  :: proposer[p].second != NONE ->
     proposer[p].value = proposer[p].second
  :: losses > 0 && rejoined_at == 255 ->
     proposer[p].value = REJOIN
  :: else -> skip
  fi
}

/* Removes a request whose outcome is known. */
inline drop_known(p, v) {
  if
  :: proposer[p].waiting == v -> proposer[p].waiting = NONE
  :: else -> skip
  fi;
  if
  :: proposer[p].second == v -> proposer[p].second = NONE
  :: else -> skip
  fi
}

inline judge(a, request) {
  if
  :: acceptor[a].version == 0 ->
     acceptor[a].version = 1;
     acceptor[a].runs[request]++;
     assert(acceptor[a].runs[request] <= 1);
     assert(acceptor[a].outcome[request] != REFUSED);  /* refused, so never applied */
     acceptor[a].outcome[request] = ACCEPTED
  :: else ->
     assert(acceptor[a].outcome[request] != ACCEPTED); /* the first outcome is final */
     acceptor[a].outcome[request] = REFUSED
  fi
}

/* Applies the value decided at the index in progress of replica a. */
inline apply(a, v) {
  request = (v == RESEND -> 1 : v);
  if
  :: request == NONE || request == REJOIN -> skip
#ifdef NO_PATCH_ID
  :: else -> judge(a, request)
#else
  :: else ->
     if
     :: acceptor[a].outcome[request] == 0 -> judge(a, request)
     :: else -> skip
     fi
#endif
  fi;
#ifdef FORGET_PROMISE
  acceptor[a].promised = 0;
#endif
  acceptor[a].accepted = 0;
  acceptor[a].value = NONE;
  acceptor[a].index++;
  request = 0
}

/* Votes of a replica that lost its state count only once its rejoin was decided
 * at an earlier index. */
#ifdef VOTE_AFTER_LOSS
#define may_vote(a) true
#else
#define may_vote(a) \
  (!acceptor[a].lost || rejoined_at < acceptor[a].index)
#endif

/* After losing its state, a replica votes under a new store id. Votes of the old
 * store id count up to and including the index that decides the rejoin. */
#define quorum(bits) \
  (((bits) & 1) + (((bits) >> 1) & 1) + (((bits) >> 2) & 1) >= QUORUM)

/* Records the value that a quorum accepted for proposer p. */
inline decide(p) {
  at = proposer[p].index;
  assert(decided[at] == NONE || decided[at] == proposer[p].value); /* agreement */
  decided[at] = proposer[p].value;
  if
  :: decided[at] == REJOIN && rejoined_at == 255 -> rejoined_at = at
  :: else -> skip
  fi
}

#ifdef FORGET_PROMISE
#define holds_promise(p) (acceptor[p].promised <= proposer[p].ballot)
#else
#define holds_promise(p) (acceptor[p].promised == proposer[p].ballot)
#endif

proctype Propose(byte p) {
  byte a;
  byte at;
  byte request;
end:
  do
  /* Learns the value decided at the current index of its own replica. */
  :: atomic { acceptor[p].index <= INDEXES &&
       decided[acceptor[p].index] != NONE ->
       drop_known(p, decided[acceptor[p].index]);
       if
       :: proposer[p].phase != 0 || decided[acceptor[p].index] == REJOIN ->
          clear_proposal(p)
       :: else -> skip
       fi;
       apply(p, decided[acceptor[p].index])
     }
  /* Starts a proposal with a new ballot, abandoning any in progress. */
  :: atomic { acceptor[p].index <= INDEXES && may_vote(p) &&
       proposer[p].round < BALLOTS ->
       clear_proposal(p);
       proposer[p].ballot = PROPOSERS * proposer[p].round + p + 1;
       proposer[p].round++;
       proposer[p].index = acceptor[p].index;
       proposer[p].phase = 1
     }
  /* An acceptor handles the prepare, and its promise arrives. */
  :: atomic { proposer[p].phase == 1 ->
       select_acceptor(a);
       if
       :: acceptor[a].index == proposer[p].index && may_vote(a) &&
          acceptor[a].promised <= proposer[p].ballot ->
          acceptor[a].promised = proposer[p].ballot;
          proposer[p].promises = proposer[p].promises | (1 << a);
          if
          :: acceptor[a].accepted > proposer[p].best ->
             proposer[p].best = acceptor[a].accepted;
             proposer[p].best_value = acceptor[a].value
          :: else -> skip
          fi
       :: else -> skip
       fi;
       a = 0
     }
  /* A quorum promised: proposes the value accepted at the highest ballot, or
   * its own if there is none. */
  :: atomic { proposer[p].phase == 1 && quorum(proposer[p].promises) ->
       if
#ifndef NO_HELP
       :: proposer[p].best != 0 ->
          proposer[p].value = proposer[p].best_value
#endif
       :: else -> choose_own(p)
       fi;
       proposer[p].promises = 0;
       proposer[p].best = 0;
       proposer[p].best_value = NONE;
       proposer[p].prepared = true;
       proposer[p].phase = (proposer[p].value != NONE -> 2 : 0)
     }
  /* Proposes at the next index without a prepare phase. */
  :: atomic { proposer[p].phase == 0 && proposer[p].prepared &&
       acceptor[p].index <= INDEXES && may_vote(p) &&
       holds_promise(p) &&
       acceptor[p].accepted == 0 ->
       choose_own(p);
       if
       :: proposer[p].value != NONE ->
          proposer[p].index = acceptor[p].index;
          proposer[p].phase = 2
       :: else -> skip
       fi
     }
  /* An acceptor handles the accept, and its vote arrives. */
  :: atomic { proposer[p].phase == 2 ->
       select_acceptor(a);
       if
       :: acceptor[a].index == proposer[p].index && may_vote(a) &&
          acceptor[a].promised <= proposer[p].ballot ->
          acceptor[a].promised = proposer[p].ballot;
          acceptor[a].accepted = proposer[p].ballot;
          acceptor[a].value = proposer[p].value;
          proposer[p].accepts = proposer[p].accepts | (1 << a)
       :: else -> skip
       fi;
       a = 0
     }
  /* A quorum accepted. */
  :: atomic { proposer[p].phase == 2 && quorum(proposer[p].accepts) ->
       decide(p);
       drop_known(p, decided[at]);
       if
       :: acceptor[p].index == proposer[p].index ->
          apply(p, decided[at]);
          finish_proposal(p, decided[at])
       :: else -> clear_proposal(p)
       fi;
       at = 0
     }
  od
}

/* Learns decided values at the replica that has no proposer. */
proctype Learn(byte r) {
  byte request;
end:
  do
  :: atomic { acceptor[r].index <= INDEXES &&
       decided[acceptor[r].index] != NONE ->
       apply(r, decided[acceptor[r].index])
     }
  od
}

/* Erases the durable state of a replica: its votes and its applied state. Learn
 * and Propose restore the applied state by replaying the decided values. */
proctype Lose() {
  byte r;
end:
  do
  :: atomic { losses < LOSSES ->
       select_acceptor(r);
       losses++;
       loser = r;
       acceptor[r].index = 1;
       acceptor[r].promised = 0;
       acceptor[r].accepted = 0;
       acceptor[r].value = NONE;
       acceptor[r].version = 0;
       acceptor[r].outcome[1] = 0;
       acceptor[r].outcome[2] = 0;
       acceptor[r].runs[1] = 0;
       acceptor[r].runs[2] = 0;
       acceptor[r].lost = true;
       if
       :: r < PROPOSERS -> clear_proposal(r)
       :: else -> skip
       fi;
       r = 0
     }
  od
}

/* Checks that all replicas report the same outcome for a request. */
proctype Tell() {
  byte r;
end:
  do
  :: atomic { true ->
       select_acceptor(r);
       if
       :: acceptor[r].outcome[1] != 0 ->
          assert(told[1] == 0 || told[1] == acceptor[r].outcome[1]);
          told[1] = acceptor[r].outcome[1]
       :: else -> skip
       fi;
       if
       :: acceptor[r].outcome[2] != 0 ->
          assert(told[2] == 0 || told[2] == acceptor[r].outcome[2]);
          told[2] = acceptor[r].outcome[2]
       :: else -> skip
       fi;
       r = 0
     }
  od
}

init {
  atomic {
    byte i = 0;
    do
    :: i < REPLICAS -> acceptor[i].index = 1; i++
    :: else -> break
    od;
    proposer[0].waiting = 1;
    proposer[1].waiting = 2;
    proposer[1].second = RESEND;
    run Propose(0);
    run Propose(1);
    run Learn(2);
    run Lose();
    run Tell()
  }
}
