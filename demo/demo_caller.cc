// Simulates the callers of one data centre and its fabric, for the demo. Keeps
// flows open to each service, sends each packet to a random balancer, and
// checks that each answer is complete, belongs to its request, is received once
// and comes from the flow's target.
//
// On SIGTERM, closes its flows and exits.

#include <gflags/gflags.h>

#include <asio.hpp>
#include <csignal>
#include <map>
#include <random>
#include <string>
#include <unordered_map>

#include "demo_traffic.h"

DEFINE_string(listen, "", "UDP: where answers arrive");
DEFINE_string(fabric, "", "file: where balancers take packets");
DEFINE_string(services, "",
              "workspace/service=ADDRESS=long|short, with commas");
DEFINE_string(ledger, "", "file to write what was seen to");
DEFINE_int32(flows, 20, "flows to hold open, of each service");
DEFINE_uint64(seed, 1, "seed of all that is random");
DEFINE_uint32(network, 1, "callers are 10.NETWORK.0.0/16");

namespace sardinelead {
namespace {

constexpr auto kTick = std::chrono::milliseconds(10);
constexpr std::int64_t kResendMs = 200;
constexpr std::int64_t kStallMs = 10'000;
constexpr std::int64_t kNotePauseMs = 200;
constexpr std::int64_t kShortPauseMs = 100;
constexpr std::size_t kLongAnswerBytes = 20'000;
constexpr std::size_t kShortAnswerBytes = 20;
constexpr std::uint32_t kWindowBytes = 65'536;
constexpr std::uint32_t kFirstPort = 10'000;
constexpr std::uint32_t kPorts = 50'000;

struct Service {
  std::string name;
  Endpoint address;
  bool is_long = false;
};

enum class Step { kWait, kOpening, kOpen, kClosing, kDone };

struct Flow {
  const Service* service = nullptr;
  std::uint64_t id = 0;
  FlowKey key;
  Step step = Step::kWait;
  std::uint32_t send_next = 0;
  std::uint32_t receive_next = 0;
  std::int64_t due_at = 0;     // Time of the next step or retransmission.
  std::int64_t active_at = 0;  // When the peer last made progress.
  std::uint64_t note = 0;
  std::string sent;  // The outstanding note; empty between notes.
  std::string answer;
  std::map<std::uint32_t, std::string> segments;  // Received out of order.
  std::string target;
};

class Callers {
 public:
  explicit Callers(asio::io_context* context)
      : m_timer(*context),
        m_socket(context, *Endpoint::Parse(FLAGS_listen)),
        m_ledger(FLAGS_ledger),
        m_random(FLAGS_seed) {
    for (const std::string& text : Split(FLAGS_services, ',')) {
      const auto parts = Split(text, '=');
      m_services.push_back(
          {parts.at(0), *Endpoint::Parse(parts.at(1)), parts.at(2) == "long"});
    }
    for (const Service& service : m_services) {
      for (int i = 0; i < FLAGS_flows; ++i) {
        m_flows.emplace_back();
        m_flows.back().service = &service;
        m_flows.back().due_at = WallMilliseconds() + std::int64_t{5} * i;
      }
    }
    m_socket.Receive([this](ByteView packet) { OnPacket(packet); });
    Tick();
  }

  void Finish() { m_finishing = true; }

 private:
  void Tick() {
    if (m_ticks++ % 10 == 0) m_fabric = ReadEndpointFile(FLAGS_fabric);
    const std::int64_t now = WallMilliseconds();
    std::size_t left = 0;
    for (Flow& flow : m_flows) {
      if (flow.step != Step::kDone) ++left;
      if (flow.step != Step::kDone && now >= flow.due_at) Advance(&flow, now);
    }
    if (left == 0) {
      m_socket.Close();
      return;
    }
    m_timer.expires_after(kTick);
    m_timer.async_wait([this](asio::error_code) { Tick(); });
  }

  void Advance(Flow* flow, std::int64_t now) {
    if (flow->step == Step::kWait && m_finishing) {
      flow->step = Step::kDone;
      return;
    }
    if (flow->step == Step::kWait) Begin(flow, now);
    if (now - flow->active_at > kStallMs) return FailFlow(flow, "silent", now);
    const bool thinking = flow->step == Step::kOpen && flow->sent.empty();
    if (thinking) NextNote(flow);
    Send(*flow);
    flow->due_at = now + kResendMs;
  }

  void Begin(Flow* flow, std::int64_t now) {
    const Service* service = flow->service;
    *flow = Flow{};
    flow->service = service;
    flow->id = (FLAGS_network << 24) + ++m_last_id;
    flow->key.service = service->address;
    flow->key.caller = NextCaller();
    flow->step = Step::kOpening;
    flow->send_next = static_cast<std::uint32_t>(m_random());
    flow->active_at = now;
    m_by_caller[flow->key.caller] = flow;
  }

  Endpoint NextCaller() {
    const auto port =
        static_cast<std::uint16_t>(kFirstPort + m_last_id % kPorts);
    const auto host = static_cast<std::uint32_t>(m_last_id % 250 + 1);
    return {IpAddress::FromV4(0x0a000000 + (FLAGS_network << 16) + host), port};
  }

  void NextNote(Flow* flow) {
    const bool is_last = !flow->service->is_long && flow->note > 0;
    if (is_last || m_finishing) {
      flow->step = Step::kClosing;
      return;
    }
    const std::size_t bytes =
        flow->service->is_long ? kShortAnswerBytes : kLongAnswerBytes;
    flow->sent =
        Frame({{"flow", flow->id}, {"n", ++flow->note}, {"bytes", bytes}});
    flow->answer.clear();
  }

  void Send(const Flow& flow) {
    switch (flow.step) {
      case Step::kOpening:
        return SendSegment(flow, kTcpSyn, "");
      case Step::kOpen:
        return SendSegment(flow, kTcpAck | kTcpPsh, flow.sent);
      case Step::kClosing:
        return SendSegment(flow, kTcpFin | kTcpAck, "");
      case Step::kWait:
      case Step::kDone:
        return;
    }
  }

  // Sends the segment to a random balancer (per-packet spraying).
  void SendSegment(const Flow& flow, int flags, const std::string& payload) {
    if (m_fabric.empty()) return;
    const TcpFields fields{flow.send_next, flow.receive_next,
                           static_cast<std::uint8_t>(flags)};
    const Bytes bytes(payload.begin(), payload.end());
    m_socket.Send(
        m_fabric[m_random() % m_fabric.size()],
        WriteTcpPacket(flow.key.caller, flow.key.service, fields, bytes));
  }

  void OnPacket(ByteView packet) {
    const auto info = ParsePacket(packet, Direction::kToCaller);
    if (!info) return m_ledger.Write("malformed", "caller");
    const auto found = m_by_caller.find(info->key.caller);
    if (found == m_by_caller.end()) return;  // The flow has ended.
    Flow* flow = found->second;
    if (flow->key != info->key) {
      return m_ledger.Write("misdelivered", flow->service->name,
                            info->key.ToString());
    }
    const std::int64_t now = WallMilliseconds();
    if (info->kind == PacketKind::kTcpReset) {
      return FailFlow(flow, flow->step == Step::kOpening ? "refused" : "reset",
                      now);
    }
    if (flow->step == Step::kOpening) return OnOpened(flow, *info, now);
    if (flow->step == Step::kOpen) {
      return OnAnswer(flow, *info, PayloadOf(packet, *info), now);
    }
    const bool closed =
        flow->step == Step::kClosing && info->kind == PacketKind::kTcpClose;
    if (closed) End(flow, "closed", now);
  }

  void OnOpened(Flow* flow, const PacketInfo& info, std::int64_t now) {
    if (info.tcp_acknowledgment != flow->send_next + 1) return;
    flow->send_next += 1;
    flow->receive_next = info.tcp_sequence + 1;
    flow->step = Step::kOpen;
    flow->active_at = now;
    flow->due_at = now;
    m_ledger.Write("opened", flow->service->name, flow->id);
  }

  void OnAnswer(Flow* flow, const PacketInfo& info, ByteView payload,
                std::int64_t now) {
    if (payload.size == 0) return;
    const std::uint32_t ahead = info.tcp_sequence - flow->receive_next;
    if (ahead > kWindowBytes) return;  // Already received.
    flow->segments[info.tcp_sequence] = {payload.begin(), payload.end()};
    ConsumeInOrder(flow);
    flow->active_at = now;
    const auto answer = ParseFrame(flow->answer);
    if (answer.is_discarded()) return;
    CheckAnswer(flow, answer, now);
  }

  static void ConsumeInOrder(Flow* flow) {
    auto next = flow->segments.find(flow->receive_next);
    while (next != flow->segments.end()) {
      flow->answer += next->second;
      flow->receive_next += static_cast<std::uint32_t>(next->second.size());
      flow->segments.erase(next);
      next = flow->segments.find(flow->receive_next);
    }
  }

  void CheckAnswer(Flow* flow, const nlohmann::json& answer, std::int64_t now) {
    const std::string target = answer.value("target", "");
    const bool is_own = answer.value("flow", 0ULL) == flow->id &&
                        answer.value("n", 0ULL) == flow->note &&
                        answer.value("service", "") == flow->service->name;
    if (!is_own) return FailFlow(flow, "foreign-answer", now);
    if (flow->target.empty()) flow->target = target;
    if (flow->target != target) return FailFlow(flow, "moved", now);
    m_ledger.Write("answer", flow->service->name, flow->id, flow->note);
    flow->send_next += static_cast<std::uint32_t>(flow->sent.size());
    flow->sent.clear();
    flow->due_at = now + (flow->service->is_long ? kNotePauseMs : 0);
    flow->active_at = flow->due_at;
  }

  void FailFlow(Flow* flow, const char* why, std::int64_t now) {
    const bool was_open = flow->step != Step::kOpening;
    m_ledger.Write(was_open ? "broken" : "unopened", flow->service->name,
                   flow->id, why, now);
    Reset(flow, now);
  }

  void End(Flow* flow, const char* how, std::int64_t now) {
    m_ledger.Write(how, flow->service->name, flow->id, flow->target);
    Reset(flow, now);
  }

  // Ends the flow; a new one replaces it unless the caller is finishing.
  void Reset(Flow* flow, std::int64_t now) {
    m_by_caller.erase(flow->key.caller);
    flow->step = m_finishing ? Step::kDone : Step::kWait;
    flow->due_at = now + kShortPauseMs;
  }

  struct EndpointHash {
    std::size_t operator()(const Endpoint& endpoint) const {
      return HashText(endpoint.ToString());
    }
  };

  asio::steady_timer m_timer;
  PacketSocket m_socket;
  Ledger m_ledger;
  std::mt19937_64 m_random;
  std::vector<Service> m_services;
  std::vector<Flow> m_flows;
  std::unordered_map<Endpoint, Flow*, EndpointHash> m_by_caller;
  std::vector<Endpoint> m_fabric;
  std::uint64_t m_last_id = 0;
  std::uint64_t m_ticks = 0;
  bool m_finishing = false;
};

}  // namespace
}  // namespace sardinelead

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context context;
  sardinelead::Callers callers(&context);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](asio::error_code, int) { callers.Finish(); });
  context.run();
  return 0;
}
