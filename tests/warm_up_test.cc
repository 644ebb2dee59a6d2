// The division of a quota, the list of grants, their encodings, the limiter,
// the granter, and the property that all of them serve: no sliding second of a
// target that is warming up has more opening packets than its quota.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>

#include "cbor.h"
#include "quick.h"
#include "sardinelead/warm_up_grant.h"
#include "sardinelead/warm_up_limiter.h"
#include "warm_up_encoding.h"
#include "warm_up_granter.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
constexpr Duration kSecond = std::chrono::seconds(1);

std::vector<WarmUpCandidate> MakeCandidates(std::uint32_t count) {
  std::vector<WarmUpCandidate> candidates;
  for (std::uint32_t i = 1; i <= count; ++i) {
    candidates.push_back({NodeId{i}, i % 2 == 0 ? "a" : "b"});
  }
  return candidates;
}

TargetAnnouncement ColdTarget(std::uint64_t number, std::uint64_t started_ms) {
  TargetAnnouncement target;
  target.number = number;
  target.started_ms = started_ms;
  target.pool = "orders";
  target.data_centre = "a";
  target.warm_up_left = 10 * kSecond;
  return target;
}

// Control VMs that see different balancers decide grants through one log;
// balancers learn them late, and restart and stall, in virtual time.
class World {
 public:
  World(std::uint64_t seed, std::uint32_t quota) : m_random(seed) {
    m_pool.warm_up = 10 * kSecond;
    m_pool.warm_up_rate = quota;
    for (Control& control : m_controls) StartControl(&control);
    for (std::uint32_t i = 1; i <= kBalancers; ++i) m_balancers[NodeId{i}];
  }

  void Run() {
    for (int step = 0; step < 500; ++step) {
      m_now += milliseconds(10);
      for (Control& control : m_controls) StepControl(&control);
      for (auto& [id, balancer] : m_balancers) StepBalancer(id, &balancer);
    }
  }

  // The most packets of a target within a second, over all targets.
  std::size_t MostInASecond() const {
    std::size_t most = 0;
    for (const auto& [target, sent] : m_sent) {
      for (auto it = sent.begin(); it != sent.end(); ++it) {
        const auto end = sent.upper_bound(*it + kSecond);
        most = std::max(most, static_cast<std::size_t>(std::distance(it, end)));
      }
    }
    return most;
  }
  std::size_t target_count() const { return m_sent.size(); }  // NOLINT

 private:
  static constexpr std::uint32_t kBalancers = 7;
  static constexpr std::uint64_t kTargets = 3;

  struct Control {
    WarmUpGrants applied;
    std::size_t log_read = 0;
    bool is_cut_off = false;
    std::set<NodeId> seen;  // The balancers that poll it.
    std::unique_ptr<WarmUpGranter> granter;
  };
  struct Balancer {
    WarmUpLimiter limiter{kSecond};
    TargetDirectory directory;
    TimePoint stalled_until;
    std::vector<std::uint64_t> unsent;  // Targets of packets not sent yet.
  };

  bool OneIn(std::uint64_t n) { return m_random() % n == 0; }

  void StartControl(Control* control) {
    *control = Control{};
    WarmUpGranterSettings settings;
    settings.settle_time = Duration{0};
    control->granter = std::make_unique<WarmUpGranter>(
        settings,
        WarmUpGranter::Hooks{
            [this](const std::string&) { return &m_pool; },
            [control](std::uint64_t target, std::uint64_t started_ms) {
              return control->applied.Find(target, started_ms) != nullptr;
            }});
  }

  void StepControl(Control* control) {
    if (OneIn(300)) StartControl(control);
    if (OneIn(100)) control->is_cut_off = !control->is_cut_off;
    for (std::uint32_t i = 1; i <= kBalancers; ++i) {
      if (OneIn(50)) control->seen.insert(NodeId{i});
      if (OneIn(200)) control->seen.erase(NodeId{i});
    }
    control->granter->OnHeartbeat(ColdTarget(1 + m_random() % kTargets, 1),
                                  m_now);
    std::vector<SubscriberStatus> subscribers;
    for (const NodeId node : control->seen) {
      subscribers.push_back({node, "a", false, {}, {}, true});
    }
    for (const auto& grant : control->granter->Propose(subscribers, m_now)) {
      m_proposals.push_back(grant);
    }
    // A proposal may be decided late, as by a VM that recovers it.
    if (!m_proposals.empty() && OneIn(4)) {
      const std::size_t i = m_random() % m_proposals.size();
      m_log.push_back(m_proposals[i]);
      m_proposals.erase(m_proposals.begin() + static_cast<std::ptrdiff_t>(i));
    }
    while (!control->is_cut_off && control->log_read < m_log.size()) {
      control->applied.Add(m_log[control->log_read++]);
      if (OneIn(2)) return;
    }
  }

  void StepBalancer(NodeId id, Balancer* balancer) {
    if (OneIn(150)) *balancer = Balancer{};
    if (m_now < balancer->stalled_until) return;
    for (const std::uint64_t target : balancer->unsent) {
      m_sent[target].insert(m_now);
    }
    balancer->unsent.clear();
    balancer->limiter.OnAllSent(m_now);
    if (OneIn(30)) Learn(balancer);
    for (std::uint64_t target = 1; target <= kTargets; ++target) {
      const auto* entry = balancer->directory.Find(target);
      if (entry == nullptr || !entry->warm_up_shares) continue;
      const std::uint32_t share = ShareOf(id, *entry->warm_up_shares);
      for (std::uint64_t i = m_random() % 4; i > 0; --i) {
        if (!balancer->limiter.TryTake(target, share, m_now)) continue;
        balancer->unsent.push_back(target);
      }
    }
    if (OneIn(40)) balancer->stalled_until = m_now + milliseconds(1500);
  }

  void Learn(Balancer* balancer) {
    const Control& control = m_controls[m_random() % 3];
    const std::uint64_t target = 1 + m_random() % kTargets;
    balancer->directory.Take(ColdTarget(target, 1), m_now);
    const WarmUpGrant* grant = control.applied.Find(target, 1);
    if (grant == nullptr) return;
    balancer->directory.SetWarmUpShares(target, 1, grant->shares);
  }

  std::mt19937_64 m_random;
  TimePoint m_now{100 * kSecond};
  Pool m_pool;
  std::array<Control, 3> m_controls;
  std::vector<WarmUpGrant> m_proposals;
  std::vector<WarmUpGrant> m_log;
  std::map<NodeId, Balancer> m_balancers;
  std::map<std::uint64_t, std::multiset<TimePoint>> m_sent;
};

class WarmUpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WarmUpTest);
  CPPUNIT_TEST(NoSecondExceedsTheQuota);
  CPPUNIT_TEST(QuotaIsRoundedDown);
  CPPUNIT_TEST(SharesAddUpToTheQuota);
  CPPUNIT_TEST(OwnersAreSpreadOverBalancers);
  CPPUNIT_TEST(FirstGrantOfAStartIsKept);
  CPPUNIT_TEST(OldestGrantsAreEvicted);
  CPPUNIT_TEST(EncodingsRoundTrip);
  CPPUNIT_TEST(NoDoubleBurstAtTheEdgeOfAWindow);
  CPPUNIT_TEST(StalledPacketsCountWhenTheyAreSent);
  CPPUNIT_TEST(RestartedLimiterWaitsForAWindow);
  CPPUNIT_TEST(ProposesOneGrantForAStart);
  CPPUNIT_TEST(WaitsUntilBalancersHavePolled);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoSecondExceedsTheQuota() {
    const auto seeds = rc::gen::arbitrary<std::uint64_t>();
    const auto quotas = rc::gen::inRange<std::uint32_t>(1, 30);
    std::size_t used = 0;
    for (int i = 0; i < CaseCount(100); ++i) {
      const rc::Random random(static_cast<std::uint64_t>(i));
      const std::uint64_t seed = seeds(random, 100).value();
      const std::uint32_t quota = quotas(random, 100).value();
      World world(seed, quota);
      world.Run();
      const std::string message = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(message, world.MostInASecond() <= quota);
      used += world.target_count();
    }
    CPPUNIT_ASSERT(used >= static_cast<std::size_t>(CaseCount(100)));
  }

  void QuotaIsRoundedDown() {
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{14}, WarmUpQuota(6.5, {1.5, 5.2}));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, WarmUpQuota(0, {1.5, 5}));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, WarmUpQuota(0.5, {1.5, 0}));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, WarmUpQuota(1, {1, -9}));
  }

  void SharesAddUpToTheQuota() {
    for (std::uint32_t quota = 0; quota < 40; ++quota) {
      for (std::uint32_t count = 1; count < 12; ++count) {
        const WarmUpShares shares =
            DivideQuota(quota, 7, "a", MakeCandidates(count));
        CPPUNIT_ASSERT_EQUAL(
            std::min({std::size_t{quota}, std::size_t{count}, std::size_t{4}}),
            shares.size());
        std::uint32_t total = 0;
        for (std::size_t i = 0; i < shares.size(); ++i) {
          total += shares[i].limit;
          CPPUNIT_ASSERT(shares[0].limit - shares[i].limit <= 1);
          // Balancers with an even id are in the target's data centre.
          const bool is_local = shares[i].balancer.value % 2 == 0;
          CPPUNIT_ASSERT_EQUAL(i < count / 2, is_local);
        }
        CPPUNIT_ASSERT_EQUAL(quota, total);
      }
    }
    CPPUNIT_ASSERT(DivideQuota(9, 7, "a", {}).empty());
  }

  // Targets of a data centre that returns must not all have the same owners.
  void OwnersAreSpreadOverBalancers() {
    std::map<NodeId, int> owned;
    for (std::uint64_t target = 1; target <= 300; ++target) {
      for (const auto& share :
           DivideQuota(8, target, "a", MakeCandidates(40))) {
        ++owned[share.balancer];
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, owned.size());
    for (const auto& [balancer, count] : owned) {
      CPPUNIT_ASSERT(count > 30 && count < 100);  // 60 on average.
    }
  }

  void FirstGrantOfAStartIsKept() {
    WarmUpGrants grants;
    CPPUNIT_ASSERT(grants.Add({1, 5, {{NodeId{1}, 3}}}));
    CPPUNIT_ASSERT(!grants.Add({1, 5, {{NodeId{2}, 9}}}));
    CPPUNIT_ASSERT(grants.Add({1, 6, {}}));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3},
                         ShareOf(NodeId{1}, grants.Find(1, 5)->shares));
    CPPUNIT_ASSERT(grants.Find(1, 6)->shares.empty());
    CPPUNIT_ASSERT(grants.Find(1, 7) == nullptr);
  }

  void OldestGrantsAreEvicted() {
    WarmUpGrants grants;
    for (std::uint64_t i = 0; i < WarmUpGrants::kMaxGrants + 3; ++i) {
      CPPUNIT_ASSERT(grants.Add({i % 10, i, {{NodeId{1}, 2}}}));
    }
    CPPUNIT_ASSERT_EQUAL(WarmUpGrants::kMaxGrants, grants.all().size());
    CPPUNIT_ASSERT(grants.Find(2, 2) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, grants.Find(3, 3)->started_ms);
    const auto copy = WarmUpGrantsFromJson(ToJson(grants));
    CPPUNIT_ASSERT(copy && copy->added() == grants.added());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{13}, copy->Find(3, 13)->started_ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         copy->AddedSince(grants.added() - 2).size());
  }

  void EncodingsRoundTrip() {
    const std::vector<WarmUpGrant> list = {
        {1, 2, {{NodeId{3}, 4}, {NodeId{5}, 6}}}, {7, 8, {}}};
    const auto copy = WarmUpGrantListFromJson(FromCbor(ToCbor(ToJson(list))));
    CPPUNIT_ASSERT(copy && *copy == list);
    for (const char* text :
         {"7", "[[1,2]]", "[[1,2,[3]]]", "[[1,2,[4294967296,1]]]",
          "[[1,2,[1,1,2,1,3,1,4,1,5,1]]]", "[[1,2,[3,4],5]]"}) {
      const auto value = nlohmann::json::parse(text);
      CPPUNIT_ASSERT_MESSAGE(text, !WarmUpGrantListFromJson(value));
    }
    for (const char* text : {"[0,[[1,2,[]]]]", "[2,[[1,2,[]],[1,2,[]]]]"}) {
      const auto value = nlohmann::json::parse(text);
      CPPUNIT_ASSERT_MESSAGE(text, !WarmUpGrantsFromJson(value));
    }
  }

  // A token bucket would allow six packets within a few milliseconds here.
  void NoDoubleBurstAtTheEdgeOfAWindow() {
    WarmUpLimiter limiter(kSecond);
    limiter.OnAllSent(m_now - 5 * kSecond);
    const auto take = [&](Duration after) {
      const bool is_taken = limiter.TryTake(1, 3, m_now + after);
      limiter.OnAllSent(m_now + after);
      return is_taken;
    };
    CPPUNIT_ASSERT(take(Duration{0}));
    CPPUNIT_ASSERT(take(milliseconds(990)) && take(milliseconds(990)));
    CPPUNIT_ASSERT(!take(milliseconds(999)));
    CPPUNIT_ASSERT(take(milliseconds(1010)));
    CPPUNIT_ASSERT(!take(milliseconds(1020)));
    limiter.RemoveIdle(m_now + kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limiter.target_count());
    limiter.OnAllSent(m_now + 2 * kSecond);
    limiter.RemoveIdle(m_now + 4 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, limiter.target_count());
  }

  // A process that was stopped between decision and sending must not send two
  // shares when it resumes.
  void StalledPacketsCountWhenTheyAreSent() {
    WarmUpLimiter limiter(kSecond);
    limiter.OnAllSent(m_now - 5 * kSecond);
    CPPUNIT_ASSERT(limiter.TryTake(1, 1, m_now));
    CPPUNIT_ASSERT(!limiter.TryTake(1, 1, m_now + 3 * kSecond));
    limiter.OnAllSent(m_now + 3 * kSecond);
    CPPUNIT_ASSERT(!limiter.TryTake(1, 1, m_now + milliseconds(3900)));
    CPPUNIT_ASSERT(limiter.TryTake(1, 1, m_now + milliseconds(4100)));
  }

  void RestartedLimiterWaitsForAWindow() {
    WarmUpLimiter limiter(kSecond);
    CPPUNIT_ASSERT(!limiter.TryTake(1, 3, m_now));
    CPPUNIT_ASSERT(!limiter.TryTake(1, 3, m_now + milliseconds(999)));
    CPPUNIT_ASSERT(limiter.TryTake(1, 3, m_now + kSecond));
  }

  void ProposesOneGrantForAStart() {
    WarmUpGranter granter({}, MakeHooks());
    CPPUNIT_ASSERT(Propose(&granter).empty());
    m_now += 2 * kSecond;
    for (int i = 0; i < 3; ++i) granter.OnHeartbeat(ColdTarget(1, 5), m_now);
    TargetAnnouncement other = ColdTarget(2, 5);
    other.pool = "none";
    granter.OnHeartbeat(other, m_now);
    CPPUNIT_ASSERT(granter.IsDue(m_now));
    const auto first = Propose(&granter);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{6}, first[0].shares[0].limit);
    CPPUNIT_ASSERT(!granter.IsDue(m_now) && Propose(&granter).empty());
    // Undecided, for example without a quorum.
    m_now += kSecond;
    CPPUNIT_ASSERT(Propose(&granter) == first);
    m_grants.Add(first[0]);
    m_now += kSecond;
    CPPUNIT_ASSERT(Propose(&granter).empty() && !granter.IsDue(m_now));
    granter.OnHeartbeat(ColdTarget(1, 6), m_now);  // Another start.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, Propose(&granter)[0].started_ms);
    m_now += 20 * kSecond;  // The target is warm.
    CPPUNIT_ASSERT(Propose(&granter).empty() && !granter.IsDue(m_now));
  }

  // A grant decided after the first poll would leave out the other balancers.
  void WaitsUntilBalancersHavePolled() {
    WarmUpGranter granter({}, MakeHooks());
    granter.OnHeartbeat(ColdTarget(1, 5), m_now);
    m_subscribers[0].has_polled = false;
    for (int i = 0; i < 100; ++i, m_now += milliseconds(20)) {
      CPPUNIT_ASSERT(granter.IsDue(m_now) && Propose(&granter).empty());
    }
    m_subscribers[0].has_polled = true;
    CPPUNIT_ASSERT(Propose(&granter).empty());
    m_now += milliseconds(1200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Propose(&granter).size());
  }

 private:
  WarmUpGranter::Hooks MakeHooks() {
    m_pool.warm_up = 10 * kSecond;
    m_pool.warm_up_rate = 6;
    return {[this](const std::string& name) {
              return name == "orders" ? &m_pool : nullptr;
            },
            [this](std::uint64_t target, std::uint64_t started_ms) {
              return m_grants.Find(target, started_ms) != nullptr;
            }};
  }
  std::vector<WarmUpGrant> Propose(WarmUpGranter* granter) const {
    return granter->Propose(m_subscribers, m_now);
  }

  TimePoint m_now{100 * kSecond};
  Pool m_pool;
  WarmUpGrants m_grants;
  // A balancer, a silent one and a control VM.
  std::vector<SubscriberStatus> m_subscribers = {
      {NodeId{1}, "a", false, {}, {}, true},
      {NodeId{2}, "a", false, {}, 3 * kSecond, true},
      {NodeId{3}, "a", true, {}, {}, true}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmUpTest);

}  // namespace
}  // namespace sardinelead
