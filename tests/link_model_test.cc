#include "link_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

namespace sardinelead {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCapacity = 187'500;  // 1.5 Mbit/s.
constexpr std::size_t kFullPacket = 1240;
constexpr int kQueuePackets = 100;
constexpr Duration kRoundTrip = milliseconds(10);
constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

LinkModelSettings NarrowLink() {
  LinkModelSettings settings;
  settings.capacity = kCapacity;
  return settings;
}

// A link whose real rate may differ from the model's, with a bounded queue
// outside the process, and a sender that is paced by the model. Round trips are
// known when they end.
struct PacedLink {
  Duration Queue() const { return std::max(free_at - now, Duration(0)); }

  void Send() {
    const auto bytes = static_cast<double>(kFullPacket + model.overhead());
    const Duration time(static_cast<Duration::rep>(bytes / rate * 1e9));
    if (Queue() < kQueuePackets * time) {
      free_at = std::max(free_at, now) + time;
    }
    model.OnSent(kFullPacket, now);
    ++packets;
  }

  // Sends as much as the model allows while `wants_to_send`, and measures round
  // trips.
  void Run(Duration duration, bool wants_to_send = true) {
    const TimePoint end = now + duration;
    for (; now < end; now += milliseconds(1)) {
      while (wants_to_send && model.CanSend(kFullPacket, now)) Send();
      max_queue = std::max(max_queue, Queue());
      if (now >= next_probe) {
        const Duration took = kRoundTrip + extra_delay + Queue();
        probes.emplace(now + took, took);
        next_probe = now + probe_interval;
      }
      for (; !probes.empty() && probes.begin()->first <= now;
           probes.erase(probes.begin())) {
        model.OnRoundTrip(probes.begin()->second, now);
      }
    }
  }

  LinkModel model{NarrowLink()};
  double rate = kCapacity;
  Duration extra_delay{0};
  TimePoint now = kStart;
  TimePoint free_at = kStart;
  TimePoint next_probe = kStart;
  Duration probe_interval = milliseconds(50);
  std::multimap<TimePoint, Duration> probes;
  Duration max_queue{0};
  int packets = 0;
};

class LinkModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkModelTest);
  CPPUNIT_TEST(UnknownCapacityHoldsNothing);
  CPPUNIT_TEST(SaturatedLinkGetsTwoPacketsInAdvance);
  CPPUNIT_TEST(ControlTrafficDelaysPackets);
  CPPUNIT_TEST(LinkNarrowerThanConfiguredIsFollowed);
  CPPUNIT_TEST(AlmostClosedLinkKeepsATenth);
  CPPUNIT_TEST(SlowPeerDuringLoadCostsLittle);
  CPPUNIT_TEST(LongRoundTripsOnIdleLinkAreNoEvidence);
  CPPUNIT_TEST(QueueOfReceivedPacketsIsNoEvidence);
  CPPUNIT_TEST(CallersAtDifferentDistancesAreNoEvidence);
  CPPUNIT_TEST(ShortBurstsAreNoEvidence);
  CPPUNIT_TEST(FewSamplesAreNoEvidence);
  CPPUNIT_TEST(DistantPeersDuringLoadAreNoEvidence);
  CPPUNIT_TEST(HistoryOfALongSaturation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void UnknownCapacityHoldsNothing() {
    LinkModel model{LinkModelSettings()};
    for (int i = 0; i < 1000; ++i) model.OnSent(kFullPacket, kStart);
    model.OnRoundTrip(seconds(1), kStart);
    CPPUNIT_ASSERT(model.CanSend(kFullPacket, kStart));
    CPPUNIT_ASSERT(model.NextSend(kFullPacket, kStart) == kStart);
    CPPUNIT_ASSERT(model.Backlog(kStart) == Duration(0));
    CPPUNIT_ASSERT_EQUAL(0.0, model.rate());
  }

  // Guards against a standing queue on the link and against idle gaps.
  void SaturatedLinkGetsTwoPacketsInAdvance() {
    PacedLink link;
    while (link.model.CanSend(kFullPacket, link.now)) link.Send();
    CPPUNIT_ASSERT_EQUAL(2, link.packets);
    link.Run(seconds(10));
    CPPUNIT_ASSERT(link.max_queue < milliseconds(15));
    const double sent = link.packets * (kFullPacket + 28.0);
    CPPUNIT_ASSERT(sent <= 10 * kCapacity);
    CPPUNIT_ASSERT(sent >= 10 * kCapacity * 0.96);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, link.model.decreases());
  }

  // Guards against packets that queue behind the process's own feed, and
  // against a large document that stops them for seconds.
  void ControlTrafficDelaysPackets() {
    LinkModel model(NarrowLink());
    model.OnSent(18'000, kStart);
    const Duration backlog = model.Backlog(kStart);
    CPPUNIT_ASSERT(backlog > milliseconds(95) && backlog < milliseconds(105));
    CPPUNIT_ASSERT(!model.CanSend(kFullPacket, kStart + milliseconds(80)));
    const TimePoint next = model.NextSend(kFullPacket, kStart);
    CPPUNIT_ASSERT(!model.CanSend(kFullPacket, next - microseconds(1)));
    CPPUNIT_ASSERT(model.CanSend(kFullPacket, next));
    model.OnSent(8 << 20, kStart);
    CPPUNIT_ASSERT(model.Backlog(kStart) == LinkModel::kMaxBacklog);
  }

  // Guards against a queue outside the process that no order applies to.
  void LinkNarrowerThanConfiguredIsFollowed() {
    for (const auto interval : {milliseconds(25), milliseconds(50)}) {
      PacedLink link;
      link.probe_interval = interval;
      link.Run(seconds(2));
      link.rate = kCapacity * 0.4;
      link.Run(seconds(15));
      link.max_queue = Duration(0);
      link.packets = 0;
      link.Run(seconds(20));
      CPPUNIT_ASSERT(link.max_queue < milliseconds(350));
      CPPUNIT_ASSERT(link.packets * (kFullPacket + 28.0) >
                     0.85 * 20 * link.rate);
      link.rate = kCapacity;
      link.Run(seconds(30));
      CPPUNIT_ASSERT_EQUAL(kCapacity, link.model.rate());
    }
  }

  void AlmostClosedLinkKeepsATenth() {
    PacedLink link;
    link.Run(seconds(2));
    link.rate = kCapacity * 0.05;
    double lowest = kCapacity;
    for (int i = 0; i < 600; ++i) {
      link.Run(milliseconds(100));
      lowest = std::min(lowest, link.model.rate());
    }
    CPPUNIT_ASSERT_EQUAL(kCapacity * LinkEstimate::kMinShare, lowest);
  }

  // Guards against a peer that answers later while this link is busy: the link
  // must keep most of its rate and recover while the peer is slow.
  void SlowPeerDuringLoadCostsLittle() {
    PacedLink link;
    link.Run(seconds(2));
    link.extra_delay = milliseconds(100);
    link.packets = 0;
    link.Run(seconds(20));
    CPPUNIT_ASSERT(link.packets * (kFullPacket + 28.0) > 0.85 * 20 * link.rate);
    CPPUNIT_ASSERT_EQUAL(kCapacity, link.model.rate());
  }

  void LongRoundTripsOnIdleLinkAreNoEvidence() {
    PacedLink link;
    link.Run(seconds(2));
    link.extra_delay = milliseconds(300);
    link.Run(seconds(10), false);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, link.model.decreases());
  }

  // Guards against bursts that fill the link in the other direction.
  void QueueOfReceivedPacketsIsNoEvidence() {
    PacedLink link;
    link.Run(seconds(2));
    for (int ms = 0; ms < 1500; ++ms) {
      link.extra_delay += microseconds(600);
      link.model.OnReceived(160, link.now);
      link.Run(milliseconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, link.model.decreases());
  }

  void CallersAtDifferentDistancesAreNoEvidence() {
    PacedLink link;
    std::mt19937 random(1);
    for (int i = 0; i < 1000; ++i) {
      link.extra_delay = milliseconds(random() % 80);
      link.Run(milliseconds(40));
    }
    CPPUNIT_ASSERT(link.model.decreases() <= 5);
    CPPUNIT_ASSERT(link.packets * (kFullPacket + 28.0) > 0.9 * 40 * kCapacity);
  }

  // A burst shorter than the window leaves an idle moment in it.
  void ShortBurstsAreNoEvidence() {
    PacedLink link;
    link.Run(seconds(2), false);
    link.rate = kCapacity / 2;
    for (int i = 0; i < 20; ++i) {
      link.Run(milliseconds(100));
      link.Run(milliseconds(500), false);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, link.model.decreases());
    CPPUNIT_ASSERT(link.max_queue < milliseconds(130));
  }

  void FewSamplesAreNoEvidence() {
    PacedLink link;
    link.Run(seconds(2));
    link.next_probe = TimePoint::max();
    for (int i = 0; i < 20; ++i) {
      link.model.OnRoundTrip(milliseconds(500), link.now);
      link.Run(milliseconds(1300));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, link.model.decreases());
  }

  // Guards against a window that only has samples of distant peers.
  void DistantPeersDuringLoadAreNoEvidence() {
    PacedLink link;
    link.Run(seconds(2));
    link.next_probe = TimePoint::max();
    for (int i = 0; i < 200; ++i) {
      const std::uint64_t peer = i % 40 < 20 ? 7 : 8;
      const auto distance = milliseconds(peer == 7 ? 60 : 90);
      link.model.OnRoundTrip(peer, distance + link.Queue(), link.now);
      link.Run(milliseconds(50));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, link.model.decreases());
  }

  // Guards against a ring that forgets what recent round trips need.
  void HistoryOfALongSaturation() {
    ByteHistory history;
    for (int ms = 0; ms < 60'000; ++ms) {
      history.Add(100, kStart + milliseconds(ms));
    }
    for (const int ms : {59'995, 59'000, 55'500, 50'100}) {
      const double total = history.TotalAt(kStart + milliseconds(ms));
      CPPUNIT_ASSERT(total >= 100.0 * ms && total <= 100.0 * (ms + 11));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkModelTest);

}  // namespace
}  // namespace sardinelead
