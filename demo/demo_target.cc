// Simulated target for the demo. Registers over HTTP, renews its lease,
// receives IP packets encapsulated in UDP at its tunnel address, implements the
// subset of TCP that the demo needs, and answers directly to the caller or
// through a balancer.
//
// On SIGTERM, drains, waits until its flows have ended and deregisters.

#include <gflags/gflags.h>

#include <asio.hpp>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <map>
#include <string>
#include <thread>
#include <unordered_map>

#include "demo_traffic.h"
#include "sardinelead/http_client.h"

DEFINE_string(name, "", "name to announce");
DEFINE_string(service, "", "workspace/service");
DEFINE_string(address, "", "address of the service");
DEFINE_string(tunnel, "", "where packets are taken");
DEFINE_string(balancers, "", "HTTP addresses of balancers, with commas");
DEFINE_string(answers_to, "", "file: where answers are sent");
DEFINE_string(token_file, "", "file with the targets' token");
DEFINE_string(ledger, "", "file to write what was seen to");
DEFINE_int32(slots, 3, "slots to announce");
DEFINE_int32(drain_s, 20, "how long a drain may take");

namespace sardinelead {
namespace {

constexpr std::uint32_t kFirstSequence = 1000;
constexpr auto kTick = std::chrono::milliseconds(100);
constexpr std::int64_t kForgetClosedMs = 5000;

struct KeyHash {
  std::size_t operator()(const FlowKey& key) const { return key.Hash(); }
};

struct Flow {
  std::uint32_t receive_next = 0;
  std::uint32_t send_next = kFirstSequence;
  std::uint32_t answer_start = 0;  // Sequence number of the last answer.
  std::string answer;
  std::int64_t closed_at = 0;
};

// Handles the TCP flows, by flow key.
class Server {
 public:
  Server(asio::io_context* context, const Endpoint& tunnel)
      : m_socket(context, tunnel),
        m_service(*Endpoint::Parse(FLAGS_address)),
        m_ledger(FLAGS_ledger) {
    m_socket.Receive([this](ByteView packet) { OnPacket(packet); });
  }

  std::size_t open_flows() const { return m_open; }  // NOLINT
  // Reloads the addresses that answers go to and removes closed flows.
  void OnTick() {
    m_answers_to = ReadEndpointFile(FLAGS_answers_to);
    const std::int64_t now = WallMilliseconds();
    for (auto it = m_flows.begin(); it != m_flows.end();) {
      const std::int64_t closed_at = it->second.closed_at;
      const bool old = closed_at != 0 && now - closed_at > kForgetClosedMs;
      it = old ? m_flows.erase(it) : std::next(it);
    }
  }

 private:
  void OnPacket(ByteView packet) {
    const auto info = ParsePacket(packet, Direction::kToService);
    if (!info) return m_ledger.Write("malformed", FLAGS_service);
    if (!(info->key.service == m_service)) {
      return m_ledger.Write("misdelivered", FLAGS_service,
                            info->key.service.ToString());
    }
    switch (info->kind) {
      case PacketKind::kTcpOpen:
        return OnOpen(*info);
      case PacketKind::kTcpData:
        return OnData(*info, PayloadOf(packet, *info));
      case PacketKind::kTcpClose:
        return OnClose(*info);
      case PacketKind::kTcpReset:
        return OnReset(*info);
      case PacketKind::kUdp:
      case PacketKind::kIcmpError:
        return;
    }
  }

  void OnOpen(const PacketInfo& info) {
    const auto [found, is_new] = m_flows.try_emplace(info.key);
    Flow& flow = found->second;
    if (is_new) {
      flow.receive_next = info.tcp_sequence + 1;
      ++flow.send_next;
      ++m_open;
      m_ledger.Write("open", FLAGS_service, FLAGS_name, WallMilliseconds());
    }
    Reply(info.key, kFirstSequence, flow.receive_next, kTcpSyn | kTcpAck, "");
  }

  void OnData(const PacketInfo& info, ByteView payload) {
    const auto found = m_flows.find(info.key);
    if (found == m_flows.end()) {
      m_ledger.Write("stray", FLAGS_service, FLAGS_name);
      return Reply(info.key, info.tcp_acknowledgment, info.tcp_sequence,
                   kTcpRst, "");
    }
    if (payload.size == 0) return;
    Flow& flow = found->second;
    if (info.tcp_sequence == flow.receive_next) Take(&flow, payload);
    // A retransmitted note: its answer was lost.
    if (info.tcp_sequence + payload.size == flow.receive_next) {
      SendAnswer(info.key, flow);
    }
  }

  // Executes a note: logs one line in the ledger and sends an answer.
  void Take(Flow* flow, ByteView payload) {
    flow->receive_next += static_cast<std::uint32_t>(payload.size);
    const auto note = ParseFrame({payload.begin(), payload.end()});
    if (note.is_discarded()) return m_ledger.Write("malformed", FLAGS_service);
    m_ledger.Write("note", FLAGS_service, note["flow"], note["n"]);
    const std::string filler(note["bytes"].get<std::size_t>(), 'x');
    flow->answer_start = flow->send_next;
    flow->answer = Frame({{"flow", note["flow"]},
                          {"n", note["n"]},
                          {"service", FLAGS_service},
                          {"target", FLAGS_name},
                          {"filler", filler}});
    flow->send_next += static_cast<std::uint32_t>(flow->answer.size());
  }

  void SendAnswer(const FlowKey& key, const Flow& flow) {
    for (std::size_t at = 0; at < flow.answer.size(); at += kMaxSegmentBytes) {
      Reply(key, flow.answer_start + static_cast<std::uint32_t>(at),
            flow.receive_next, kTcpAck | kTcpPsh,
            flow.answer.substr(at, kMaxSegmentBytes));
    }
  }

  void OnClose(const PacketInfo& info) {
    const auto found = m_flows.find(info.key);
    if (found == m_flows.end()) return;
    Flow& flow = found->second;
    if (info.tcp_sequence == flow.receive_next && flow.closed_at == 0) {
      ++flow.receive_next;
      flow.closed_at = WallMilliseconds();
      --m_open;
    }
    if (flow.closed_at == 0) return;
    Reply(info.key, flow.send_next, flow.receive_next, kTcpFin | kTcpAck, "");
  }

  void OnReset(const PacketInfo& info) {
    const auto found = m_flows.find(info.key);
    if (found == m_flows.end()) return;
    if (found->second.closed_at == 0) --m_open;
    m_flows.erase(found);
  }

  void Reply(const FlowKey& key, std::uint32_t sequence,
             std::uint32_t acknowledgment, int flags,
             const std::string& payload) {
    if (m_answers_to.empty()) return;
    const TcpFields fields{sequence, acknowledgment,
                           static_cast<std::uint8_t>(flags)};
    const Bytes bytes(payload.begin(), payload.end());
    m_socket.Send(m_answers_to[m_sent++ % m_answers_to.size()],
                  WriteTcpPacket(key.service, key.caller, fields, bytes));
  }

  PacketSocket m_socket;
  const Endpoint m_service;
  Ledger m_ledger;
  std::vector<Endpoint> m_answers_to;
  std::unordered_map<FlowKey, Flow, KeyHash> m_flows;
  std::size_t m_open = 0;
  std::size_t m_sent = 0;
};

// Maintains the lease. Runs on its own thread because its calls block.
class Lease {
 public:
  explicit Lease(std::uint16_t check_port)
      : m_balancers(ParseEndpoints(FLAGS_balancers)), m_port(check_port) {
    std::ifstream(FLAGS_token_file) >> m_token;
  }

  // Registers or renews as needed. Returns whether the lease is held.
  bool Keep(std::size_t open_flows) {
    if (m_id.empty()) return Announce();
    const nlohmann::json load = {
        {"busy_slots", std::min<std::size_t>(
                           open_flows, static_cast<std::size_t>(FLAGS_slots))},
        {"connections", open_flows}};
    const auto answer = Post("/v1/targets/" + m_id + "/renew", load);
    const bool is_forgotten = answer && answer->status == 404;
    if (is_forgotten) m_id.clear();
    return answer && answer->status == 200;
  }
  bool Drain() {
    const auto answer = Post("/v1/targets/" + m_id + "/drain", {});
    return answer && answer->status == 200;
  }
  bool Leave() {
    const auto answer = Post("/v1/targets/" + m_id + "/leave", {});
    return answer && answer->status == 200;
  }

 private:
  bool Announce() {
    const auto answer = Post("/v1/targets", {{"service", FLAGS_service},
                                             {"name", FLAGS_name},
                                             {"tunnel", FLAGS_tunnel},
                                             {"slots", FLAGS_slots},
                                             {"incarnation", m_incarnation},
                                             {"check_port", m_port}});
    if (!answer || answer->status != 201) return false;
    m_id = nlohmann::json::parse(answer->body)["id"];
    std::fprintf(stderr, "%s id %s\n", FLAGS_name.c_str(), m_id.c_str());
    return true;
  }

  // Posts to the balancers in turn until one answers, starting with the last
  // one that did.
  Result<HttpClientResponse> Post(const std::string& path,
                                  const nlohmann::json& body) {
    HttpClientRequest call{HttpMethod::kPost, path, m_token, ""};
    if (!body.is_null()) call.body = body.dump();
    call.deadline = std::chrono::seconds(1);
    Result<HttpClientResponse> answer =
        Fail(ErrorCode::kIo, "no balancer is named");
    for (std::size_t i = 0; i < m_balancers.size(); ++i) {
      answer = SendHttpRequest(m_balancers[m_next % m_balancers.size()], call);
      if (answer) return answer;
      ++m_next;
    }
    return answer;
  }

  const std::vector<Endpoint> m_balancers;
  const std::uint16_t m_port;
  const std::int64_t m_incarnation = WallMilliseconds();
  std::string m_token;
  std::string m_id;
  std::size_t m_next = 0;
};

// Accepts the connections of active health checks.
void AcceptChecks(asio::ip::tcp::acceptor* acceptor) {
  acceptor->async_accept([acceptor](asio::error_code error, auto) {
    if (error != asio::error::operation_aborted) AcceptChecks(acceptor);
  });
}

class Program {
 public:
  int Run() {
    AcceptChecks(&m_acceptor);
    Tick();
    asio::signal_set signals(m_context, SIGTERM, SIGINT);
    signals.async_wait([this](asio::error_code, int) { m_leaving = true; });
    std::thread keeper([this] { KeepLease(); });
    m_context.run();
    keeper.join();
    return m_is_clean ? 0 : 1;
  }

 private:
  void Tick() {
    m_server.OnTick();
    m_open_flows = m_server.open_flows();
    m_timer.expires_after(kTick);
    m_timer.async_wait([this](asio::error_code error) {
      if (!error) Tick();
    });
  }

  void KeepLease() {
    constexpr int kTicksPerRenewal = 10;
    Lease lease(m_acceptor.local_endpoint().port());
    for (int tick = 0; !m_leaving; ++tick) {
      const bool held =
          tick % kTicksPerRenewal != 0 || lease.Keep(m_open_flows);
      if (!held) tick = -1;
      std::this_thread::sleep_for(kTick);
    }
    m_is_clean = lease.Drain();
    const int ticks =
        FLAGS_drain_s * static_cast<int>(std::chrono::seconds(1) / kTick);
    for (int i = 0; i < ticks && m_open_flows > 0; ++i) {
      std::this_thread::sleep_for(kTick);
    }
    m_is_clean = m_is_clean && m_open_flows == 0;
    m_is_clean = lease.Leave() && m_is_clean;
    m_context.stop();
  }

  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor{m_context,
                                     {asio::ip::address_v4::loopback(), 0}};
  asio::steady_timer m_timer{m_context};
  Server m_server{&m_context, *Endpoint::Parse(FLAGS_tunnel)};
  std::atomic<std::size_t> m_open_flows{0};
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_is_clean{false};
};

}  // namespace
}  // namespace sardinelead

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return sardinelead::Program().Run();
}
