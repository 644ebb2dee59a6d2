#include "sardinelead/target_registry.h"

#include <cppunit/extensions/HelperMacros.h>

#include "../bench/balance_net.h"
#include "quick.h"
#include "target_message.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kBalancers = 9;
constexpr std::uint64_t kSeed = 7;

Configuration TwoWorkspaces() {
  return MakeConfiguration({MakeService(1, "linaw", "orders"),
                            MakeService(2, "linaw", "gallery"),
                            MakeService(3, "sabaq", "classroom")});
}

class TargetRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetRegistryTest);
  CPPUNIT_TEST(RejectsInvalidAnnouncementsWithTypedErrors);
  CPPUNIT_TEST(AnnouncementReachesAllDespiteLossAndACutLink);
  CPPUNIT_TEST(AnnouncementSurvivesFailureOfItsHome);
  CPPUNIT_TEST(DrainReachesAllWithinThreeSeconds);
  CPPUNIT_TEST(IsolatedBalancerStopsNewFlowsWhenLeaseExpires);
  CPPUNIT_TEST(TargetLapsesWithoutRenewalAndCanReturn);
  CPPUNIT_TEST(TablesConvergeAfterPartition);
  CPPUNIT_TEST(NewerIncarnationSupersedesOlderAtSameAddress);
  CPPUNIT_TEST(DrainDeadlineEndsTheTarget);
  CPPUNIT_TEST(RestartedHomeDoesNotRenewOldLeases);
  CPPUNIT_TEST(DrainSurvivesHomeChanges);
  CPPUNIT_TEST(TablesConvergeAfterRandomEvents);
  CPPUNIT_TEST(DecoderHandlesArbitraryBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RejectsInvalidAnnouncementsWithTypedErrors() {
    TargetNet net(1, TwoWorkspaces(), kSeed);
    CPPUNIT_ASSERT(net.Add(1, MakeAnnouncement(1, "linaw/orders", 5)).value);
    struct Case {
      std::function<void(Announcement*)> change;
      ErrorCode code;
    };
    const std::vector<Case> cases = {
        {[](Announcement* a) { a->service = "linaw/none"; },
         ErrorCode::kUnknownName},
        {[](Announcement* a) { a->service = "sabaq/classroom"; },
         ErrorCode::kNotAllowed},
        {[](Announcement* a) { a->token = "guess"; }, ErrorCode::kNotAllowed},
        {[](Announcement* a) { a->slots = 0; }, ErrorCode::kOutOfRange},
        {[](Announcement* a) { a->slots = kMaxSlots + 1; },
         ErrorCode::kOutOfRange},
        {[](Announcement* a) { a->tunnel.port = 0; }, ErrorCode::kMalformed},
        {[](Announcement* a) { a->incarnation.value = 0; },
         ErrorCode::kOutOfRange},
        {[](Announcement* a) { a->incarnation.value = 4; }, ErrorCode::kStale},
        {[](Announcement* a) { a->service = "linaw/gallery"; },
         ErrorCode::kDuplicate},
        {[](Announcement* a) {
           *a = MakeAnnouncement(1, "sabaq/classroom", 9);
         },
         ErrorCode::kDuplicate},
        {[](Announcement* a) { a->name = std::string(65, 'x'); },
         ErrorCode::kOutOfRange},
    };
    for (const Case& test_case : cases) {
      Announcement announcement = MakeAnnouncement(1, "linaw/orders", 5);
      test_case.change(&announcement);
      const auto reply = net.Registry(1).Announce(announcement, net.now());
      CPPUNIT_ASSERT(!reply.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(Name(test_case.code)),
                           std::string(Name(reply.error().code)));
    }
    // Repeating the same announcement renews the lease.
    CPPUNIT_ASSERT(
        net.Registry(1)
            .Announce(MakeAnnouncement(1, "linaw/orders", 5), net.now())
            .has_value());
    const TargetId left = net.Add(1, MakeAnnouncement(2));
    CPPUNIT_ASSERT(net.Registry(1).Leave(left, net.now()).has_value());
    const auto again = net.Registry(1).Announce(MakeAnnouncement(2), net.now());
    CPPUNIT_ASSERT(again.error().code == ErrorCode::kStale);
    const auto renewed =
        net.Registry(1).Renew(Renewal{left, "token-linaw", {}}, net.now());
    CPPUNIT_ASSERT(renewed.error().code == ErrorCode::kStale);
  }

  void AnnouncementReachesAllDespiteLossAndACutLink() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      TargetNet net(kBalancers, TwoWorkspaces(), seed);
      net.Run(seconds(3));
      net.SetLoss(0.2);
      net.CutLink(1, 5);
      const TargetId id = net.Add(1, MakeAnnouncement(1));
      net.Run(seconds(5));
      CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers},
                           net.CountState(id, TargetState::kActive));
    }
  }

  void AnnouncementSurvivesFailureOfItsHome() {
    TargetNet net(kBalancers, TwoWorkspaces(), kSeed);
    net.Run(seconds(3));
    const TargetId id = net.Add(1, MakeAnnouncement(1));
    net.Run(milliseconds(200));
    net.Kill(1);
    net.Run(seconds(120));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers - 1},
                         net.CountState(id, TargetState::kActive));
    CPPUNIT_ASSERT(net.HasConverged());
  }

  void DrainReachesAllWithinThreeSeconds() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      TargetNet net(kBalancers, TwoWorkspaces(), seed);
      const TargetId id = net.Add(1, MakeAnnouncement(1));
      net.Run(seconds(5));
      net.SetLoss(0.1);
      net.CutLink(4, 7);
      CPPUNIT_ASSERT(net.Registry(4).Drain(id, net.now()).has_value());
      net.Run(seconds(3));
      CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers},
                           net.CountState(id, TargetState::kDraining));
    }
  }

  void IsolatedBalancerStopsNewFlowsWhenLeaseExpires() {
    const TargetRegistrySettings settings;
    TargetNet net(kBalancers, TwoWorkspaces(), kSeed, settings);
    const TargetId id = net.Add(1, MakeAnnouncement(1));
    net.Run(seconds(5));
    net.Isolate(9);
    CPPUNIT_ASSERT(net.Registry(1).Drain(id, net.now()).has_value());
    net.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers - 1},
                         net.CountState(id, TargetState::kDraining));
    net.Run(settings.lease - seconds(3) + milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         net.CountState(id, TargetState::kActive));
    // Its existing flows continue.
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers},
                         net.CountState(id, TargetState::kDraining));
  }

  void TargetLapsesWithoutRenewalAndCanReturn() {
    const TargetRegistrySettings settings;
    TargetNet net(kBalancers, TwoWorkspaces(), kSeed, settings);
    const TargetId id = net.Add(1, MakeAnnouncement(1));
    net.Run(seconds(5));
    net.on_check = [](std::uint32_t, TargetId) { return true; };
    net.StopTarget(id);
    net.Run(settings.lease + seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         net.CountState(id, TargetState::kActive));
    CPPUNIT_ASSERT(net.Add(2, MakeAnnouncement(1)) == id);
    net.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers},
                         net.CountState(id, TargetState::kActive));
    net.StopTarget(id);
    net.Run(settings.lease + settings.tombstone_lifetime + seconds(60));
    CPPUNIT_ASSERT(net.Registry(3).Records().empty());
  }

  void TablesConvergeAfterPartition() {
    TargetNet net(kBalancers, TwoWorkspaces(), kSeed);
    std::vector<TargetId> ids;
    for (std::uint32_t i = 1; i <= 6; ++i) {
      ids.push_back(net.Add(i, MakeAnnouncement(i)));
    }
    net.Run(seconds(5));
    for (std::uint32_t a = 1; a <= 4; ++a) {
      for (std::uint32_t b = 5; b <= kBalancers; ++b) {
        net.CutLink(a, b);
        net.CutLink(b, a);
      }
    }
    CPPUNIT_ASSERT(net.Registry(1).Drain(ids[0], net.now()).has_value());
    net.Add(6, MakeAnnouncement(20));
    // Long enough for each side to expire the homes of the other side.
    net.Run(seconds(90));
    net.Heal();
    net.Run(seconds(10));
    CPPUNIT_ASSERT(net.HasConverged());
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers},
                         net.CountState(ids[0], TargetState::kDraining));
    for (std::size_t i = 1; i < ids.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers},
                           net.CountState(ids[i], TargetState::kActive));
    }
  }

  void NewerIncarnationSupersedesOlderAtSameAddress() {
    TargetNet net(kBalancers, TwoWorkspaces(), kSeed);
    const TargetId older = net.Add(1, MakeAnnouncement(1, "linaw/orders", 1));
    net.Run(seconds(3));
    // Two balancers receive different successors concurrently.
    const TargetId loser = net.Add(2, MakeAnnouncement(1, "linaw/gallery", 2));
    const TargetId winner = net.Add(5, MakeAnnouncement(1, "linaw/orders", 3));
    net.Run(seconds(5));
    CPPUNIT_ASSERT(net.HasConverged());
    for (const TargetId gone : {older, loser}) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers},
                           net.CountState(gone, TargetState::kGone));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers},
                         net.CountState(winner, TargetState::kActive));
  }

  void DrainDeadlineEndsTheTarget() {
    Service service = MakeService(1, "linaw", "orders");
    service.drain_deadline_s = 20;
    TargetNet net(3, MakeConfiguration({service}), kSeed);
    const TargetId id = net.Add(1, MakeAnnouncement(1));
    net.Run(seconds(3));
    CPPUNIT_ASSERT(net.Registry(2).Drain(id, net.now()).has_value());
    net.Run(seconds(19));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         net.CountState(id, TargetState::kDraining));
    net.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         net.CountState(id, TargetState::kGone));
  }

  void RestartedHomeDoesNotRenewOldLeases() {
    const TargetRegistrySettings settings;
    TargetNet net(kBalancers, TwoWorkspaces(), kSeed, settings);
    const TargetId id = net.Add(1, MakeAnnouncement(1));
    net.Run(seconds(5));
    net.on_check = [](std::uint32_t, TargetId) { return true; };
    net.StopTarget(id);
    net.Restart(1);
    net.Run(settings.lease + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         net.CountState(id, TargetState::kActive));
  }

  // A renewal that moves the target to another home must not undo a drain that
  // is still propagating.
  void DrainSurvivesHomeChanges() {
    TargetNet net(3, TwoWorkspaces(), kSeed);
    const TargetId id = net.Add(1, MakeAnnouncement(1));
    net.Run(seconds(3));
    net.CutLink(2, 3);
    net.CutLink(2, 1);
    CPPUNIT_ASSERT(net.Registry(2).Drain(id, net.now()).has_value());
    for (const std::uint32_t home : {3, 1, 3, 1, 3}) {
      const Renewal renewal{id, "token-linaw", {}};
      CPPUNIT_ASSERT(net.Registry(home).Renew(renewal, net.now()).has_value());
      net.Run(milliseconds(300));
    }
    net.Heal();
    net.Run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         net.CountState(id, TargetState::kDraining));
  }

  // After any sequence of announcements, drains, departures, partitions and
  // restarts, all tables converge once the network is healed, and no two live
  // targets share an address.
  void TablesConvergeAfterRandomEvents() {
    for (int run = 0; run < CaseCount(60); ++run) {
      std::mt19937_64 random(static_cast<std::uint64_t>(run) + 100);
      TargetNet net(5, TwoWorkspaces(), random());
      net.SetLoss(0.1);
      const char* const services[] = {"linaw/orders", "linaw/gallery",
                                      "sabaq/classroom"};
      std::vector<TargetId> ids;
      for (int step = 0; step < 40; ++step) {
        const auto node = static_cast<std::uint32_t>(random() % 5 + 1);
        const auto action = random() % 10;
        if (action < 5) {
          ids.push_back(net.Add(
              node, MakeAnnouncement(random() % 4, services[random() % 3],
                                     random() % 6 + 1)));
        } else if (action == 5 && !ids.empty()) {
          (void)net.Registry(node).Drain(ids[random() % ids.size()], net.now());
        } else if (action == 6 && !ids.empty()) {
          (void)net.Registry(node).Leave(ids[random() % ids.size()], net.now());
        } else if (action == 7) {
          net.Restart(node);
        } else if (action == 8) {
          net.Isolate(node);
        } else {
          net.Heal();
        }
        net.Run(milliseconds(100 * (random() % 30)));
      }
      net.Heal();
      net.SetLoss(0);
      net.Run(seconds(30));
      CPPUNIT_ASSERT(net.HasConverged());
      std::set<Endpoint> tunnels;
      for (const TargetRecord& record : net.Registry(1).Records()) {
        if (record.IsEnded()) continue;
        CPPUNIT_ASSERT(tunnels.insert(record.tunnel).second);
      }
    }
  }

  void DecoderHandlesArbitraryBytes() {
    TargetNet net(2, TwoWorkspaces(), kSeed);
    const TargetId id = net.Add(1, MakeAnnouncement(1));
    RecordsMessage records;
    records.records.push_back(net.Registry(1).Records().front());
    records.requested_buckets = {1, 2};
    const std::vector<TargetMessage> samples = {
        DigestMessage{1, {HomeHeartbeat{NodeId{2}, Incarnation{3}, 4}}},
        BucketsMessage{std::vector<std::uint32_t>(kTableBucketCount, 1)},
        records, LoadsMessage{{LoadEntry{id, LoadReport{-1, 5, true}, 6}}},
        OpinionsMessage{{TargetOpinion{id, Opinion::kDown}}}};
    for (const TargetMessage& sample : samples) {
      const Bytes bytes = Encode(sample);
      const auto decoded = DecodeTargetMessage(bytes);
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(Encode(*decoded) == bytes);
    }
    const Bytes deep(100000, 0x81);
    CPPUNIT_ASSERT(!DecodeTargetMessage(deep).has_value());
    std::mt19937_64 random(kSeed);
    for (int i = 0; i < CaseCount(100000); ++i) {
      Bytes bytes = Encode(samples[random() % samples.size()]);
      for (std::uint64_t flips = random() % 4; flips > 0; --flips) {
        bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
      }
      if (random() % 4 == 0) bytes.resize(random() % (bytes.size() + 1));
      const auto decoded = DecodeTargetMessage(bytes);
      if (decoded) {
        CPPUNIT_ASSERT(DecodeTargetMessage(Encode(*decoded)).has_value());
      } else {
        CPPUNIT_ASSERT(decoded.error().code == ErrorCode::kMalformed);
      }
      net.Registry(2).OnMessage(NodeId{1}, bytes, net.now());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetRegistryTest);

}  // namespace
}  // namespace sardinelead
