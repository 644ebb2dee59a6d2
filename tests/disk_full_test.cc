// Runs the control planes of several control VMs in virtual time while their
// disks fill up, one after another. Afterwards all must vote and accept changes
// again.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>
#include <utility>

#include "control_plane.h"
#include "quick.h"
#include "replica_cluster.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kTick = milliseconds(20);
constexpr Duration kLatency = milliseconds(1);
constexpr int kSeeds = 4;

struct Size {
  std::uint32_t vms;
  std::uint32_t tolerated_losses;
};
constexpr Size kSizes[] = {{4, 1}, {5, 2}, {6, 2}};

// What happens to a VM while its disk is full.
enum class Trouble { kNone, kRestart, kPowerLoss };
constexpr Trouble kTroubles[] = {Trouble::kNone, Trouble::kRestart,
                                 Trouble::kPowerLoss};

// Control VMs on a simulated network, and an operator that sends one change
// after another.
class ControlVms {
 public:
  ControlVms(const Size& size, std::uint64_t seed)
      : m_size(size), m_random(seed), m_vms(size.vms) {
    for (std::uint32_t id = 1; id <= size.vms; ++id) {
      CPPUNIT_ASSERT(Start(NodeId{id}, id == 1).has_value());
    }
    Run(3 * kSecond);
  }

  Result<void> Start(NodeId id, bool is_first) {
    Vm& vm = VmAt(id);
    ControlPlaneSettings settings;
    settings.replica.self = id;
    settings.replica.contacts = {NodeId{1}, NodeId{2}, NodeId{3}};
    settings.replica.bootstrap = is_first;
    settings.replica.allow_automatic_join = true;
    settings.replica.heartbeat_interval = milliseconds(250);
    settings.replica.unresponsive_timeout = 2 * kSecond;
    settings.replica.min_members = 2 * m_size.tolerated_losses + 1;
    settings.feed.self = id;
    settings.feed.is_control = true;
    settings.feed.counts_covered_time = false;
    settings.epoch = m_random();
    for (auto it = m_unanswered.begin(); it != m_unanswered.end();) {
      it = it->second.to == id ? m_unanswered.erase(it) : std::next(it);
    }
    vm.plane = std::make_unique<ControlPlane>(settings, MakeHooks(id));
    return vm.plane->Start(m_now);
  }

  void Run(Duration span) {
    const TimePoint end = m_now + span;
    for (; m_now < end; m_now += kLatency) {
      while (!m_in_flight.empty() && m_in_flight.begin()->first <= m_now) {
        const auto [from, message] = std::move(m_in_flight.begin()->second);
        m_in_flight.erase(m_in_flight.begin());
        VmAt(message.to)
            .plane->OnMessage(from, message.kind, message.body, m_now);
        VmAt(message.to).plane->Flush(m_now);
      }
      if (m_now.time_since_epoch() % kTick != Duration{0}) continue;
      for (Vm& vm : m_vms) vm.plane->OnTick(m_now);
      Operate();
    }
  }

  // Fills the disk of `id` for `span`.
  void FillDisk(NodeId id, Duration span, Trouble trouble) {
    MemoryDisk& disk = VmAt(id).disk;
    disk.is_full = true;
    Run(span / 2);
    if (trouble == Trouble::kPowerLoss) {
      disk.Crash([this](std::size_t size) { return m_random() % (size + 1); });
    }
    if (trouble != Trouble::kNone) {
      CPPUNIT_ASSERT_MESSAGE("a VM must start while its disk is full",
                             Start(id, false).has_value());
    }
    Run(span - span / 2);
    disk.is_full = false;
  }

  Duration Draw(Duration least, Duration most) {
    const auto span = static_cast<std::uint64_t>((most - least).count());
    return least + Duration(static_cast<Duration::rep>(m_random() % span));
  }
  std::vector<NodeId> ShuffledIds() {
    std::vector<NodeId> ids;
    for (std::uint32_t id = 1; id <= m_size.vms; ++id) {
      ids.push_back(NodeId{id});
    }
    std::shuffle(ids.begin(), ids.end(), m_random);
    return ids;
  }

  // Asserts that every VM votes, accepts a change at once and confirms a read.
  void AssertServes(const std::string& message) {
    AssertAnswered(message);
    for (std::uint32_t id = 1; id <= m_size.vms; ++id) {
      ControlPlane& plane = *VmAt(NodeId{id}).plane;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(message + ", vm " + std::to_string(id),
                                   std::string("voting"),
                                   std::string(Name(plane.Status(m_now).role)));
      const std::uint64_t acknowledged = m_acknowledged;
      const auto start = m_now;
      while (m_acknowledged == acknowledged && m_now - start < kSecond) {
        Run(kTick);
      }
      CPPUNIT_ASSERT_MESSAGE(message, m_acknowledged > acknowledged);
      const std::uint64_t expected = m_acknowledged;
      std::optional<Outcome> outcome;
      plane.ConfirmRead([&](const Outcome& o) { outcome = o; }, m_now);
      Run(kSecond);
      CPPUNIT_ASSERT_MESSAGE(message, outcome.has_value());
      CPPUNIT_ASSERT_MESSAGE(message, outcome->kind == OutcomeKind::kAccepted);
      CPPUNIT_ASSERT(plane.document().version.value >= expected);
    }
  }

  Duration longest_wait() const { return m_longest_wait; }  // NOLINT

 private:
  struct Sent {
    NodeId to;
    TimePoint at;
  };
  struct Vm {
    MemoryDisk disk;
    std::unique_ptr<ControlPlane> plane;
  };

  Vm& VmAt(NodeId id) { return m_vms[id.value - 1]; }

  ControlPlane::Hooks MakeHooks(NodeId id) {
    ControlPlane::Hooks hooks;
    hooks.random = [this] { return m_random(); };
    hooks.open_files = [this, id] { return VmAt(id).disk.Hooks(); };
    hooks.read_routes = [](const Document& document) -> Result<RouteTable> {
      RouteTable table;
      table.version = document.version;
      return table;
    };
    hooks.send = [this, id](const Outbox& messages) {
      for (const OutgoingMessage& message : messages) {
        const bool is_known =
            message.to.value >= 1 && message.to.value <= m_size.vms;
        if (!is_known) continue;
        m_in_flight.emplace(m_now + kLatency, std::pair(id, message));
      }
    };
    hooks.on_role = [](ReplicaRole) {};
    hooks.on_members = [](const ReplicaStatus&) {};
    hooks.on_evacuation = [](const std::string&, const Evacuation&) {};
    hooks.on_target_replaced = [](const TargetAnnouncement&,
                                  const TargetAnnouncement&) {};
    hooks.on_routes = [](const RouteTable&) {};
    hooks.on_error = [](const Error&) {};
    return hooks;
  }

  // Sends the next change to a random VM, and again after an answer other than
  // an acknowledgement or a second without one.
  void Operate() {
    const bool is_waiting = m_is_sent && m_now - m_sent_at < kSecond;
    if (is_waiting || m_now < m_next_order_at) return;
    if (m_order <= m_acknowledged) {
      m_order = m_acknowledged + 1;
      m_ordered_at = m_now;
    }
    m_is_sent = true;
    m_sent_at = m_now;
    const std::uint64_t order = m_order;
    const std::uint64_t attempt = ++m_attempt;
    const NodeId id{static_cast<std::uint32_t>(1 + m_random() % m_size.vms)};
    TakeAnnouncement(id, order);
    m_unanswered[attempt] = {id, m_now};
    VmAt(id).plane->Submit(
        {ConfigVersion{order}, std::make_shared<const Bytes>(m_document_bytes)},
        [this, order, attempt](const Outcome& outcome) {
          m_unanswered.erase(attempt);
          if (outcome.kind == OutcomeKind::kAccepted) {
            m_acknowledged = std::max(m_acknowledged, order);
            m_longest_wait = std::max(m_longest_wait, m_now - m_ordered_at);
          }
          if (attempt != m_attempt) return;
          m_is_sent = false;
          m_next_order_at = m_now + Draw(milliseconds(20), milliseconds(200));
        },
        m_now);
  }

  // Targets change too, so that control VMs write their list.
  void TakeAnnouncement(NodeId id, std::uint64_t number) {
    TargetAnnouncement announcement;
    announcement.number = number;
    announcement.pool = "orders";
    announcement.address = {IpAddress::FromV4(0x0a000000 + number), 80};
    VmAt(id).plane->Take(announcement, m_now);
  }

  // Every change that was sent to a process that still runs is answered.
  void AssertAnswered(const std::string& message) const {
    for (const auto& [attempt, sent] : m_unanswered) {
      CPPUNIT_ASSERT_MESSAGE(message, m_now - sent.at <= kSecond);
    }
  }

  const Size m_size;
  std::mt19937_64 m_random;
  // Large documents make the journals be compacted every few seconds.
  const std::size_t m_document_bytes = m_random() % 2 == 0 ? 200 : 100'000;
  std::vector<Vm> m_vms;
  TimePoint m_now{10 * kSecond};
  std::multimap<TimePoint, std::pair<NodeId, OutgoingMessage>> m_in_flight;
  bool m_is_sent = false;
  TimePoint m_sent_at;
  TimePoint m_next_order_at;
  TimePoint m_ordered_at;
  Duration m_longest_wait{0};
  std::uint64_t m_attempt = 0;
  std::map<std::uint64_t, Sent> m_unanswered;  // By attempt.
  std::uint64_t m_order = 0;
  std::uint64_t m_acknowledged = 0;
};

class DiskFullTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DiskFullTest);
  CPPUNIT_TEST(DisksFullOneAfterAnotherLeaveAllVoting);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against changes that are refused or unanswered long after disks were
  // full for some seconds each, one after another.
  void DisksFullOneAfterAnotherLeaveAllVoting() {
    const int seeds = CaseCount(kSeeds);
    for (int seed = 1; seed <= seeds; ++seed) {
      for (const Size& size : kSizes) {
        for (const Trouble trouble : kTroubles) {
          RunDay(size, trouble, static_cast<std::uint64_t>(seed));
        }
      }
    }
  }

 private:
  static void RunDay(const Size& size, Trouble trouble, std::uint64_t seed) {
    // As the platform states it: acknowledgements within 5 s while no more than
    // the tolerated machines are disturbed.
    constexpr Duration kMaxWait = std::chrono::seconds(5);
    ControlVms vms(size, seed);
    for (const NodeId id : vms.ShuffledIds()) {
      vms.FillDisk(id, vms.Draw(kSecond / 2, 5 * kSecond), trouble);
      vms.Run(vms.Draw(milliseconds(1), 2 * kSecond));
    }
    vms.Run(4 * kSecond);
    const std::string message = std::to_string(size.vms) + " VMs, trouble " +
                                std::to_string(static_cast<int>(trouble)) +
                                ", seed " + std::to_string(seed);
    vms.AssertServes(message);
    CPPUNIT_ASSERT_MESSAGE(message, vms.longest_wait() <= kMaxWait);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiskFullTest);

}  // namespace
}  // namespace sardinelead
