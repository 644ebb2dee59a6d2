/* A spin model of orders to start or finish an evacuation; see
 * RegisterState::ExecuteEvacuation and ControlPlane::OrderEvacuation.
 *
 * The guarantees of the log are assumed (spec/agreement.pml), as are those of
 * reads (spec/reads.pml): an order is applied at most once, at any time after
 * it was submitted, or never.
 *
 * An operator gives ORDERS orders, each for any of the two states. An attempt
 * may be held after it read the index of the last order, and applied at any
 * later time. The operator then repeats the call elsewhere until it is
 * acknowledged, or gives up. An attempt that its client abandoned before the
 * index was read is dropped, so it is not modelled.
 *
 * A held attempt must not change the state once a later order for the opposite
 * was acknowledged.
 *
 * Broken variants, each of which must violate the assertion:
 *   NO_INDEX     an order is applied whatever index it carries
 *   NO_RENEWAL   an order that finds the state as wanted renews no index
 */

#ifndef ORDERS
#define ORDERS 4
#endif

#ifdef NO_INDEX
#define IS_CURRENT(seen) true
#else
#define IS_CURRENT(seen) (changed == seen)
#endif

#ifdef NO_RENEWAL
#define RENEWED changed
#else
#define RENEWED index
#endif

bool evacuated = false;   /* Whether the data centre is evacuated. */
byte changed = 0;         /* Index of the last order in the state. */
byte index = 0;           /* Last index of the log. */
byte acknowledged[2];     /* Last acknowledged order for each wanted state. */
byte attempts_read = 0;   /* Held attempts that have read the index. */

/* Decides an order. `is_change` and `is_accepted` are results. */
inline apply(want, seen, is_change, is_accepted) {
  index++;
  is_change = false;
  is_accepted = true;
  if
  :: evacuated == want -> changed = RENEWED
  :: evacuated != want && !IS_CURRENT(seen) -> is_accepted = false
  :: evacuated != want && IS_CURRENT(seen) ->
     evacuated = want;
     changed = index;
     is_change = true
  fi
}

proctype Held(bool want; byte order) {
  byte seen;
  bool is_change;
  bool is_accepted;
  atomic { seen = changed; attempts_read++ }
end:
  atomic {
    apply(want, seen, is_change, is_accepted);
    assert(!is_change || acknowledged[1 - want] < order)
  }
}

active proctype Operator() {
  byte order = 1;
  byte attempts = 0;
  byte seen;
  bool want;
  bool is_change;
  bool is_accepted;
  do
  :: order > ORDERS -> break
  :: order <= ORDERS ->
     if
     :: want = true
     :: want = false
     fi;
     if
     :: run Held(want, order);
        attempts++;
        attempts_read == attempts
     :: skip
     fi;
     do
     :: seen = changed;
        atomic {
          apply(want, seen, is_change, is_accepted);
          if
          :: is_accepted -> acknowledged[want] = order
          :: else
          fi
        };
        if
        :: is_accepted -> break
        :: else
        fi
     :: break   /* Gives up. */
     od;
     order++
  od
}
