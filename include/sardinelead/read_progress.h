#ifndef SARDINELEAD_READ_PROGRESS_H_
#define SARDINELEAD_READ_PROGRESS_H_

// Measures how long a peer had to answer a packet, independently of how fast
// this process reads its socket.
//
// A process that was paused or busy finds a backlog in its socket. Copies of a
// request that lie behind each other there look like retransmissions that the
// target left unanswered, and the answers may wait behind them. The times at
// which packets are read say nothing about that. ReadProgress knows only two
// kinds of moments:
//
//  - when a read found the socket empty: all packets that had arrived by then
//    have been processed, and each packet processed later arrived later;
//  - when all forwarded packets had been passed to the kernel.
//
// The span from the second for one packet to the first for another is the
// shortest time in which the peer can have had the one and not answered before
// the other arrived. Stalls of any length and at any point only shorten it.
//
// A round is the span between two reads that found the socket empty:
//
//   progress.OnDrained(read_at, sent_at);
//   const auto round = progress.round();  // A request is forwarded.
//   ...
//   // A copy of it is read.
//   if (progress.ShortestAge(round) >= retransmission_age) ...
//
// Performs no I/O and reads no clock. Not thread-safe. Costs constant time.
// Memory: 8 bytes for each round of the last kMaxAge.

#include <cstdint>
#include <deque>

#include "sardinelead/types.h"

namespace sardinelead {

class ReadProgress {
 public:
  // Greater ages are reported as this one.
  static constexpr Duration kMaxAge = std::chrono::seconds(1);

  // The socket was found empty by a read that began at `read_at`. Everything
  // read has been processed, and what was forwarded for it had been sent by
  // `sent_at`. Ends the round.
  void OnDrained(TimePoint read_at, TimePoint sent_at);
  // This process or its kernel dropped packets in the current round or before,
  // received ones or ones to be sent. Rounds up to the current one have no
  // reliable age from now on.
  void OnPacketsDropped();

  // The current round, in which packets are processed now.
  std::uint64_t round() const { return m_round; }  // NOLINT
  // Whether packets of the round may have been dropped by this process.
  bool IsReliable(std::uint64_t round) const {
    return round >= m_first_reliable_round;
  }
  // The shortest time between the sending of the packets forwarded in `round`
  // and the arrival of those read now, at most about kMaxAge. Zero for the
  // current round and for unreliable ones.
  Duration ShortestAge(std::uint64_t round) const;
  // All packets that arrived before this time have been processed.
  TimePoint read_until() const { return m_read_until; }  // NOLINT

 private:
  std::uint64_t m_round = 0;
  std::uint64_t m_first_reliable_round = 0;
  TimePoint m_read_until;
  // When the packets of the last rounds had been sent; the last element is that
  // of round m_round - 1.
  std::deque<TimePoint> m_sent_at;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_READ_PROGRESS_H_
