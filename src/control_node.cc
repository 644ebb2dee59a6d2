#include "control_node.h"

#include <asio.hpp>
#include <cassert>
#include <random>
#include <thread>
#include <unordered_map>
#include <utility>

#include "clock.h"
#include "sardinelead/journal.h"
#include "sardinelead/log.h"
#include "stall_guard.h"

namespace sardinelead {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(10);
constexpr int kTicksPerMetricsUpdate = 100;
constexpr char kModule[] = "control";

std::function<std::uint64_t()> MakeRandom() {
  return [generator = std::mt19937_64(std::random_device{}())]() mutable {
    return generator();
  };
}

ClockReadings ReadClocks() { return {SteadyNow(), BootNow()}; }

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

Result<void> BootstrapCluster(ControlNodeSettings settings) {
  Journal journal(PosixFileOperations(settings.data_folder));
  const auto identity = journal.ReadIdentity();
  if (!identity) return tl::unexpected(identity.error());
  if (*identity) {
    return Fail(ErrorCode::kDuplicate,
                "the data folder already holds a replica",
                settings.data_folder);
  }
  settings.replica.bootstrap = true;
  Replica replica(settings.replica, &journal, {MakeRandom()});
  const auto started = replica.Start(SteadyNow());
  if (!started) return tl::unexpected(started.error());
  if (replica.NeedsSync()) replica.Sync(SteadyNow());
  if (journal.HasFailed()) return tl::unexpected(*journal.error());
  return {};
}

class ControlNode::Impl {
 public:
  Impl(const ControlNodeSettings& settings, Metrics* metrics)
      : m_settings(settings),
        m_journal(PosixFileOperations(settings.data_folder)),
        m_replica(settings.replica, &m_journal, {MakeRandom()}),
        m_publisher(settings.publisher, &m_replica),
        m_links(settings.links, MakeLinkHooks()),
        m_metrics(metrics) {}

  Result<Endpoint> Start() {
    auto output = m_replica.Start(SteadyNow());
    if (!output) return tl::unexpected(output.error());
    auto bound = m_links.Start();
    if (!bound) return bound;
    Dispatch(std::move(*output));
    ScheduleTick();
    m_thread = std::thread([this] { m_context.run(); });
    return bound;
  }

  void Stop() {
    if (!m_thread.joinable()) return;
    m_links.Stop();
    asio::post(m_context, [this] { m_context.stop(); });
    m_thread.join();
    const Outcome unknown{
        OutcomeKind::kUnknown,
        {},
        {ErrorCode::kUnavailable, "the control VM is shutting down", ""}};
    for (const auto& [id, on_outcome] : m_pending) on_outcome(unknown);
    m_pending.clear();
  }

  template <typename Change>
  void Submit(const std::string& name, const Change& change,
              OnOutcome on_outcome) {
    PostTask([this, name, change, on_outcome = std::move(on_outcome)] {
      const std::uint64_t id =
          AddPending([this, on_outcome](const Outcome& outcome) {
            CountPatch(outcome.kind);
            on_outcome(outcome);
          });
      const TimePoint now = SteadyNow();
      Dispatch(m_replica.Submit(id, name, change,
                                now + m_settings.submit_deadline, now));
    });
  }

  void OrderEvacuation(EvacuationOrder order,
                       std::function<bool()> is_abandoned,
                       OnOutcome on_outcome) {
    PostTask([this, order = std::move(order),
              is_abandoned = std::move(is_abandoned),
              on_outcome = std::move(on_outcome)] {
      const ClockReadings clocks = ReadClocks();
      if (m_guard.IsAgeUnknown(clocks)) return on_outcome(NotSubmitted());
      const TimePoint deadline = clocks.steady + m_settings.submit_deadline;
      const std::uint64_t stalls = m_guard.CountStalls(clocks);
      const std::uint64_t id = AddPending([=](const Outcome& outcome) {
        if (outcome.kind != OutcomeKind::kAccepted) return on_outcome(outcome);
        const ClockReadings read = ReadClocks();
        const bool is_late =
            read.steady >= deadline || m_guard.CountStalls(read) != stalls;
        if (is_late || is_abandoned()) return on_outcome(NotSubmitted());
        EvacuationOrder current = order;
        current.seen_change =
            m_replica.evacuations().ChangedAt(order.data_centre);
        Dispatch(m_replica.Submit(AddPending(on_outcome), current, deadline,
                                  read.steady));
      });
      Dispatch(m_replica.ConfirmRead(id, deadline, clocks.steady));
    });
  }

  void Read(ReadReplica read) {
    PostTask([this, read = std::move(read)] { read(m_replica, SteadyNow()); });
  }

  const ControlLinks& links() const { return m_links; }  // NOLINT

 private:
  static Outcome NotSubmitted() {
    return {OutcomeKind::kUnknown,
            {},
            {ErrorCode::kUnavailable, "the call may be too old; resend", ""}};
  }

  std::uint64_t AddPending(OnOutcome on_outcome) {
    m_pending[++m_last_request_id] = std::move(on_outcome);
    return m_last_request_id;
  }

  void CountPatch(OutcomeKind kind) {
    m_metrics
        ->FindCounter("sardinelead_patches_total", {{"outcome", Name(kind)}})
        ->Add(1);
  }

  ControlLinkHooks MakeLinkHooks() {
    ControlLinkHooks hooks;
    hooks.on_message = [this](NodeId from, MessageKind kind, ByteView body) {
      PostTask([this, from, kind, copy = Bytes(body.begin(), body.end())] {
        OnMessage(from, kind, copy);
      });
    };
    hooks.on_link = [](NodeId peer, bool up) {
      Log(LogLevel::kInfo, kModule, up ? "link-up" : "link-down")
          .With("peer", peer.value);
    };
    return hooks;
  }

  // Runs a task on the node's thread, followed by one sync for all tasks queued
  // along with it.
  template <typename Task>
  void PostTask(Task task) {
    asio::post(m_context, [this, task = std::move(task)] {
      task();
      ScheduleSync();
    });
  }

  void ScheduleSync() {
    if (m_sync_scheduled) return;
    m_sync_scheduled = true;
    asio::post(m_context, [this] {
      m_sync_scheduled = false;
      if (m_replica.NeedsSync()) Dispatch(m_replica.Sync(SteadyNow()));
      m_links.Send(m_publisher.OnTick(SteadyNow()));
    });
  }

  void OnMessage(NodeId from, MessageKind kind, const Bytes& body) {
    if (kind == MessageKind::kAgreement) {
      return Dispatch(m_replica.OnMessage(from, body, SteadyNow()));
    }
    if (kind == MessageKind::kConfigOffer) {
      return m_links.Send(m_publisher.OnMessage(from, body, SteadyNow()));
    }
    m_metrics->FindCounter("sardinelead_messages_misdirected_total", {})
        ->Add(1);
  }

  void Dispatch(ReplicaOutput output) {
    m_links.Send(std::move(output.messages));
    for (const Answer& answer : output.answers) {
      const auto found = m_pending.find(answer.request_id);
      assert(found != m_pending.end());
      const OnOutcome on_outcome = std::move(found->second);
      m_pending.erase(found);
      on_outcome(answer.outcome);
    }
  }

  void ScheduleTick() {
    m_timer.expires_after(kTickInterval);
    m_timer.async_wait([this](asio::error_code error) {
      if (error) return;
      m_guard.Observe(ReadClocks());
      Dispatch(m_replica.OnTick(SteadyNow()));
      ScheduleSync();
      if (++m_ticks % kTicksPerMetricsUpdate == 0) UpdateMetrics();
      ScheduleTick();
    });
  }

  void UpdateMetrics() {
    const ReplicaStatus status = m_replica.Status(SteadyNow());
    const auto version = m_replica.configuration()->version;
    const auto set = [&](const char* name, double value) {
      m_metrics->FindGauge(name, {})->Set(value);
    };
    set("sardinelead_config_version", static_cast<double>(version.value));
    set("sardinelead_log_index", static_cast<double>(status.log_index));
    set("sardinelead_staleness_seconds", Seconds(status.staleness));
    set("sardinelead_links_up", static_cast<double>(m_links.Peers().size()));
    const LinkCounters links = m_links.Counters();
    set("sardinelead_link_bytes_sent", static_cast<double>(links.bytes_sent));
    set("sardinelead_link_bytes_received",
        static_cast<double>(links.bytes_received));
    set("sardinelead_links_refused", static_cast<double>(links.links_refused));
    if (status.role == m_last_role) return;
    m_last_role = status.role;
    Log(LogLevel::kInfo, kModule, "role").With("role", Name(status.role));
  }

  const ControlNodeSettings m_settings;
  asio::io_context m_context;
  asio::steady_timer m_timer{m_context};
  Journal m_journal;
  Replica m_replica;
  ConfigPublisher m_publisher;
  ControlLinks m_links;
  Metrics* const m_metrics;
  StallGuard m_guard{StallGuardSettings{}, ReadClocks()};
  bool m_sync_scheduled = false;
  int m_ticks = 0;
  ReplicaRole m_last_role = ReplicaRole::kStarting;
  std::uint64_t m_last_request_id = 0;
  std::unordered_map<std::uint64_t, OnOutcome> m_pending;
  std::thread m_thread;
};

ControlNode::ControlNode(const ControlNodeSettings& settings, Metrics* metrics)
    : m_impl(std::make_unique<Impl>(settings, metrics)) {}
ControlNode::~ControlNode() { Stop(); }
Result<Endpoint> ControlNode::Start() { return m_impl->Start(); }
void ControlNode::Stop() { m_impl->Stop(); }

void ControlNode::Submit(const std::string& operator_name, const Patch& patch,
                         OnOutcome on_outcome) {
  m_impl->Submit(operator_name, patch, std::move(on_outcome));
}

void ControlNode::Submit(const std::string& operator_name,
                         const ReplicaChange& change, OnOutcome on_outcome) {
  m_impl->Submit(operator_name, change, std::move(on_outcome));
}

void ControlNode::OrderEvacuation(const std::string& data_centre,
                                  bool is_active,
                                  std::function<bool()> is_abandoned,
                                  OnOutcome on_outcome) {
  m_impl->OrderEvacuation({data_centre, is_active, 0}, std::move(is_abandoned),
                          std::move(on_outcome));
}

void ControlNode::Read(ReadReplica read) { m_impl->Read(std::move(read)); }
LinkCounters ControlNode::Links() const { return m_impl->links().Counters(); }
std::vector<NodeId> ControlNode::LinkedPeers() const {
  return m_impl->links().Peers();
}

}  // namespace sardinelead
