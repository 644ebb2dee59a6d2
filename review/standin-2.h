// Stand-ins for the platform around the programs under test: HTTP calls to the
// control API, packets as clients and hosts write them, a host that announces
// itself, and a record of what was sent, answered and run. Every address is a
// loopback address. Header only; the scripts of one review share it.

#ifndef REVIEW_STANDIN_2_H_
#define REVIEW_STANDIN_2_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline Clock::time_point Begin() {
  static const Clock::time_point begin = Clock::now();
  return begin;
}
// Milliseconds since the start of this program.
inline double NowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - Begin())
      .count();
}
inline void SleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline void SleepUntilMs(double at) {
  if (at > NowMs()) SleepMs(at - NowMs());
}

// Appends lines to record.txt, with the time in milliseconds.
class Record {
 public:
  // While set, lines are left out.
  std::atomic<bool> is_quiet{false};

  explicit Record(const std::string& path) : m_file(fopen(path.c_str(), "w")) {
    if (m_file == nullptr) exit(2);
  }
  ~Record() { fclose(m_file); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    if (is_quiet) return;
    const std::lock_guard<std::mutex> lock(m_mutex);
    fprintf(m_file, "%10.1f ", NowMs());
    va_list arguments;
    va_start(arguments, format);
    vfprintf(m_file, format, arguments);
    va_end(arguments);
    fputc('\n', m_file);
    fflush(m_file);
  }

 private:
  FILE* m_file;
  std::mutex m_mutex;
};

inline sockaddr_in AddressOf(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}
inline std::uint32_t IpNumber(const std::string& ip) {
  in_addr address{};
  inet_pton(AF_INET, ip.c_str(), &address);
  return ntohl(address.s_addr);
}

// Sends one HTTP request and returns the status, or 0 without an answer within
// `limit_ms`.
inline int Http(const std::string& ip, std::uint16_t port, const char* method,
                const std::string& path, const std::string& body,
                std::string* answer = nullptr, int limit_ms = 1000) {
  const int s = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{limit_ms / 1000, (limit_ms % 1000) * 1000};
  setsockopt(s, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(s, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in to = AddressOf(ip, port);
  int status = 0;
  if (connect(s, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0) {
    const std::string text =
        std::string(method) + " " + path + " HTTP/1.1\r\nHost: " + ip +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    send(s, text.data(), text.size(), MSG_NOSIGNAL);
    std::string all;
    char block[4096];
    ssize_t count = 0;
    while ((count = recv(s, block, sizeof(block), 0)) > 0) {
      all.append(block, static_cast<std::size_t>(count));
    }
    if (all.size() > 12) status = atoi(all.c_str() + 9);
    const std::size_t at = all.find("\r\n\r\n");
    if (answer != nullptr && at != std::string::npos) {
      *answer = all.substr(at + 4);
    }
  }
  close(s);
  return status;
}

constexpr std::uint8_t kRst = 1;
constexpr std::uint8_t kAck = 4;
constexpr std::uint8_t kFin = 8;
constexpr std::uint8_t kSyn = 64;

struct Packet {
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint8_t flags = 0;
  std::uint32_t echo = 0;
  std::uint16_t sport = 0;
  std::uint32_t src = 0;
  std::uint16_t dport = 0;
  std::uint32_t dst = 0;
  std::string data;
};

inline void Put(std::string* out, std::uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) {
    out->push_back(static_cast<char>(value >> (8 * i) & 0xff));
  }
}
inline std::uint64_t Get(const std::string& in, std::size_t at, int bytes) {
  std::uint64_t value = 0;
  for (int i = 0; i < bytes; ++i) {
    value = value << 8 | static_cast<std::uint8_t>(in[at + i]);
  }
  return value;
}
// A keyed sum over all fields except echo, pad and BOUNCED.
inline std::uint32_t SumOf(const Packet& p) {
  std::string text;
  Put(&text, p.seq, 4);
  Put(&text, p.ack, 4);
  Put(&text, p.flags, 1);
  Put(&text, p.sport, 2);
  Put(&text, p.src, 4);
  Put(&text, p.dport, 2);
  Put(&text, p.dst, 4);
  text += p.data;
  std::uint32_t sum = 2166136261U ^ 0x5eed;
  for (const char c : text) sum = (sum ^ static_cast<std::uint8_t>(c)) * 16777619U;
  return sum == 0 ? 1 : sum;
}
inline std::string Encode(const Packet& p) {
  std::string out;
  Put(&out, p.seq, 4);
  Put(&out, p.ack, 4);
  Put(&out, SumOf(p), 4);
  Put(&out, p.data.size(), 2);
  Put(&out, p.flags, 1);
  Put(&out, 0, 1);
  Put(&out, p.echo, 4);
  Put(&out, p.sport, 2);
  Put(&out, p.src, 4);
  Put(&out, p.dport, 2);
  Put(&out, p.dst, 4);
  return out + p.data;
}
inline bool Decode(const std::string& in, Packet* p, std::uint32_t* sum) {
  if (in.size() < 32) return false;
  p->seq = static_cast<std::uint32_t>(Get(in, 0, 4));
  p->ack = static_cast<std::uint32_t>(Get(in, 4, 4));
  *sum = static_cast<std::uint32_t>(Get(in, 8, 4));
  p->flags = static_cast<std::uint8_t>(in[14]);
  p->echo = static_cast<std::uint32_t>(Get(in, 16, 4));
  p->sport = static_cast<std::uint16_t>(Get(in, 20, 2));
  p->src = static_cast<std::uint32_t>(Get(in, 22, 4));
  p->dport = static_cast<std::uint16_t>(Get(in, 26, 2));
  p->dst = static_cast<std::uint32_t>(Get(in, 28, 4));
  p->data = in.substr(32);
  return true;
}

class Udp {
 public:
  Udp(const std::string& ip, std::uint16_t port)
      : m_handle(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in at = AddressOf(ip, port);
    if (bind(m_handle, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
      fprintf(stderr, "cannot bind %s:%u\n", ip.c_str(), port);
      exit(2);
    }
  }
  ~Udp() { close(m_handle); }
  void Send(const std::string& ip, std::uint16_t port,
            const std::string& bytes) const {
    const sockaddr_in to = AddressOf(ip, port);
    sendto(m_handle, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }
  bool Receive(int wait_ms, std::string* bytes) const {
    pollfd in{m_handle, POLLIN, 0};
    if (poll(&in, 1, wait_ms) != 1) return false;
    char block[2048];
    const ssize_t count = recv(m_handle, block, sizeof(block), 0);
    if (count < 0) return false;
    bytes->assign(block, static_cast<std::size_t>(count));
    return true;
  }

 private:
  int m_handle;
};

// Where the parts of the small deployment are.
struct Net {
  std::string prefix;  // Such as "127.90.7."
  std::uint16_t control_port = 8166;
  std::uint16_t ready_port = 8167;
  std::uint16_t packet_port = 8172;
  int controls = 4;
  std::string Control(int i) const { return prefix + std::to_string(11 + i); }
  std::string Edge(int i) const { return prefix + std::to_string(21 + i); }
};

// One start of a host. It answers with SYN+ACK, runs each request once and
// acknowledges it with the answer, and resets packets of flows that it does not
// hold, as PROTOCOL.md says. A full host sends nothing to an opening packet.
class Host {
 public:
  using Key = std::pair<std::uint64_t, std::uint64_t>;

  Host(const Net& net, Record* record, std::string service,
       std::string zone, const std::string& id, const std::string& ip,
       std::uint16_t port, std::size_t max_flows)
      : m_net(net),
        m_record(record),
        m_service(std::move(service)),
        m_zone(std::move(zone)),
        m_id(id),
        m_number(strtoull(id.c_str() + 2, nullptr, 16)),
        m_ip(ip),
        m_port(port),
        m_max_flows(max_flows),
        m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
        m_socket(ip, port) {
    m_server = std::thread([this] { Serve(); });
    m_announcer = std::thread([this] { Announce(); });
  }
  ~Host() {
    m_over = true;
    m_server.join();
    m_announcer.join();
  }

  // Called when a request runs or an opening packet is taken.
  std::function<void(const Packet& packet)> on_run;
  std::function<void(const Packet& packet)> on_opening;
  std::size_t flows() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_flows.size();
  }

 private:
  struct Flow {
    std::uint32_t seq = 0;   // Next to send.
    std::uint32_t next = 0;  // Next expected from the client.
    std::string last_answer;
    std::uint32_t last_seq = 0;
    bool has_finished = false;
  };

  void Reply(const Packet& to, std::uint8_t flags, std::uint32_t seq,
             std::uint32_t ack, const std::string& data) {
    Packet p;
    p.seq = seq;
    p.ack = ack;
    p.flags = flags;
    p.echo = to.echo;
    p.sport = to.dport;
    p.src = to.dst;
    p.dport = to.sport;
    p.dst = to.src;
    p.data = data;
    in_addr client{htonl(to.src)};
    m_socket.Send(inet_ntoa(client), m_net.packet_port, Encode(p));
  }

  void Serve() {
    std::string bytes;
    while (!m_over) {
      if (!m_socket.Receive(20, &bytes) || bytes.size() < 40) continue;
      const std::uint64_t wanted = Get(bytes, 0, 8);
      if (wanted != 0 && wanted != m_number) continue;  // Another host's.
      Packet p;
      std::uint32_t sum = 0;
      if (!Decode(bytes.substr(8), &p, &sum)) continue;
      if (sum != SumOf(p)) {
        m_record->Line("host %s: packet with a wrong sum", m_service.c_str());
        continue;
      }
      OnPacket(p);
    }
  }

  void OnPacket(const Packet& p) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const Key key(std::uint64_t{p.src} << 16 | p.sport,
                  std::uint64_t{p.dst} << 16 | p.dport);
    const auto found = m_flows.find(key);
    if ((p.flags & kSyn) != 0) return OnOpening(p, key);
    if ((p.flags & kRst) != 0) {
      if (found != m_flows.end()) m_flows.erase(found);
      return;
    }
    if (found == m_flows.end()) {
      const bool is_late_fin = m_ended.count(key) != 0 && (p.flags & kFin) != 0;
      if (is_late_fin) return Reply(p, kAck, p.ack, p.seq + 1, "");
      if (m_ended.count(key) != 0 && p.data.empty()) return;
      return Reply(p, kRst, p.ack, 0, "");
    }
    Flow& flow = found->second;
    if (!p.data.empty()) OnData(p, &flow);
    if ((p.flags & kFin) != 0) {
      Reply(p, kAck | kFin, flow.seq, p.seq + 1, "");
      m_ended.insert(key);
      m_flows.erase(found);
    }
  }

  void OnOpening(const Packet& p, const Key& key) {
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
      if (m_flows.size() >= m_max_flows) {
        m_record->Line("host %s (%s): full, sends nothing to SYN copy %u of port %u",
                       m_id.c_str(), m_service.c_str(), p.ack, p.sport);
        return;
      }
      m_record->Line("host %s (%s): takes SYN copy %u of port %u", m_id.c_str(),
                     m_service.c_str(), p.ack, p.sport);
      Flow flow;
      flow.seq = 7000;
      flow.next = p.seq + 1;
      m_flows[key] = flow;
      if (on_opening) on_opening(p);
    }
    Reply(p, kSyn | kAck, 6999, p.seq + 1, "");
  }

  void OnData(const Packet& p, Flow* flow) {
    if (p.seq == flow->next) {
      flow->next = p.seq + static_cast<std::uint32_t>(p.data.size());
      m_record->Line("host %s (%s): runs request \"%s\" of port %u", m_id.c_str(),
                     m_service.c_str(), p.data.c_str(), p.sport);
      if (on_run) on_run(p);
      flow->last_answer = "answer of " + m_service + " to " + p.data;
      flow->last_seq = flow->seq;
      flow->seq += static_cast<std::uint32_t>(flow->last_answer.size());
    }
    Reply(p, kAck, flow->last_seq, flow->next, flow->last_answer);
  }

  void Announce() {
    std::uint64_t sequence = 0;
    int control = static_cast<int>(m_number % m_net.controls);
    while (!m_over) {
      const std::string body =
          "{\"service\":\"" + m_service + "\",\"address\":\"" + m_ip + ":" +
          std::to_string(m_port) + "\",\"zone\":\"" + m_zone +
          "\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\"," +
          "\"warmupLeftMs\":0,\"born\":" + std::to_string(m_born) +
          ",\"sequence\":" + std::to_string(++sequence) + "}";
      const int status =
          Http(m_net.Control(control), m_net.control_port, "POST",
               "/instances/" + m_id + "/heartbeat", body);
      if (status < 200 || status > 299) {
        control = (control + 1) % m_net.controls;
        SleepMs(50);
        continue;
      }
      for (int i = 0; i < 77 && !m_over; ++i) SleepMs(10);
    }
  }

  const Net m_net;
  Record* m_record;
  const std::string m_service;
  const std::string m_zone;
  const std::string m_id;
  const std::uint64_t m_number;
  const std::string m_ip;
  const std::uint16_t m_port;
  const std::size_t m_max_flows;
  const long long m_born;
  Udp m_socket;
  std::mutex m_mutex;
  std::map<Key, Flow> m_flows;
  std::set<Key> m_ended;
  std::atomic<bool> m_over{false};
  std::thread m_server;
  std::thread m_announcer;
};

// A client at one address. A flow sends its opening packet, copies of it after
// 200 and 600 ms, and gives up after 1.4 s.
class Client {
 public:
  Client(const Net& net, Record* record, const std::string& ip,
         const std::string& route_ip, std::uint16_t route_port)
      : m_net(net),
        m_record(record),
        m_src(IpNumber(ip)),
        m_dst(IpNumber(route_ip)),
        m_dport(route_port),
        m_socket(ip, net.packet_port) {
    m_reader = std::thread([this] { Read(); });
  }
  ~Client() {
    m_over = true;
    m_reader.join();
  }

  struct Result {
    bool is_open = false;
    bool is_reset = false;
    std::string answer;
    double opened_by_ms = 0;  // When the last copy before the answer was sent.
  };

  // Opens a flow through the edge and waits for its end or 1.4 s.
  Result Open(const std::string& edge, std::uint16_t port) {
    const double begin = NowMs();
    const double at[] = {0, 200, 600};
    Result result;
    for (std::uint32_t copy = 0; copy < 3; ++copy) {
      if (WaitFor(port, begin + at[copy], &result)) return result;
      Packet p = Base(port);
      p.flags = kSyn;
      p.seq = 1000;
      p.ack = copy;
      m_record->Line("client port %u: sends SYN copy %u", port, copy);
      result.opened_by_ms = NowMs();
      m_socket.Send(edge, m_net.packet_port, Encode(p));
    }
    WaitFor(port, begin + 1400, &result);
    if (!result.is_open && !result.is_reset) {
      m_record->Line("client port %u: gives up", port);
    }
    return result;
  }

  // Sends a request on an open flow and waits for its answer.
  std::string Request(const std::string& edge, std::uint16_t port,
                      const std::string& text) {
    for (int attempt = 0; attempt < 5; ++attempt) {
      Packet p = Base(port);
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        Flow& flow = m_flows[port];
        p.seq = 1001 + flow.sent;
        p.ack = flow.ack;
        p.echo = flow.echo;
      }
      p.flags = kAck;
      p.data = text;
      m_socket.Send(edge, m_net.packet_port, Encode(p));
      const double until = NowMs() + 200;
      while (NowMs() < until) {
        SleepMs(2);
        const std::lock_guard<std::mutex> lock(m_mutex);
        Flow& flow = m_flows[port];
        if (flow.is_reset) return "";
        if (flow.data.empty()) continue;
        flow.sent += static_cast<std::uint32_t>(text.size());
        std::string answer = std::move(flow.data);
        flow.data.clear();
        m_record->Line("client port %u: gets \"%s\"", port, answer.c_str());
        return answer;
      }
    }
    return "";
  }

  // Ends an open flow with a FIN.
  void Close(const std::string& edge, std::uint16_t port) {
    Packet p = Base(port);
    const std::lock_guard<std::mutex> lock(m_mutex);
    Flow& flow = m_flows[port];
    p.seq = 1001 + flow.sent;
    p.ack = flow.ack;
    p.echo = flow.echo;
    p.flags = kAck | kFin;
    m_record->Line("client port %u: sends FIN", port);
    m_socket.Send(edge, m_net.packet_port, Encode(p));
  }

 private:
  struct Flow {
    bool is_open = false;
    bool is_reset = false;
    std::uint32_t echo = 0;
    std::uint32_t ack = 0;
    std::uint32_t sent = 0;
    std::string data;
  };

  Packet Base(std::uint16_t port) const {
    Packet p;
    p.src = m_src;
    p.sport = port;
    p.dst = m_dst;
    p.dport = m_dport;
    return p;
  }

  bool WaitFor(std::uint16_t port, double until, Result* result) {
    for (;;) {
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        result->is_open = m_flows[port].is_open;
        result->is_reset = m_flows[port].is_reset;
      }
      if (result->is_open || result->is_reset) return true;
      if (NowMs() >= until) return false;
      SleepMs(1);
    }
  }

  void Read() {
    std::string bytes;
    while (!m_over) {
      if (!m_socket.Receive(20, &bytes)) continue;
      Packet p;
      std::uint32_t sum = 0;
      if (!Decode(bytes, &p, &sum)) continue;
      const std::lock_guard<std::mutex> lock(m_mutex);
      Flow& flow = m_flows[p.dport];
      if ((p.flags & kRst) != 0) {
        flow.is_reset = true;
        m_record->Line("client port %u: gets RST", p.dport);
        continue;
      }
      flow.echo = p.echo;
      if ((p.flags & kSyn) != 0) {
        flow.is_open = true;
        flow.ack = p.seq + 1;
        continue;
      }
      if (p.data.empty() || p.seq != flow.ack) continue;
      flow.ack = p.seq + static_cast<std::uint32_t>(p.data.size());
      flow.data = p.data;
    }
  }

  const Net m_net;
  Record* m_record;
  const std::uint32_t m_src;
  const std::uint32_t m_dst;
  const std::uint16_t m_dport;
  Udp m_socket;
  std::mutex m_mutex;
  std::map<std::uint16_t, Flow> m_flows;
  std::atomic<bool> m_over{false};
  std::thread m_reader;
};

// Sends a configuration to one control VM after the other until it is
// acknowledged; returns whether it was.
inline bool Replace(const Net& net, Record* record, int version,
                    const std::string& text, double limit_ms = 10000,
                    int answer_ms = 1000) {
  const double until = NowMs() + limit_ms;
  for (int i = 0; NowMs() < until; ++i) {
    const int status = Http(net.Control(i % net.controls), net.control_port,
                            "POST", "/config/replace", text, nullptr, answer_ms);
    record->Line("operator: version %d at control %d: %d", version,
                 i % net.controls, status);
    if (status == 200) return true;
    SleepMs(100);
  }
  return false;
}

inline bool WaitReady(const Net& net, int edge, double limit_ms = 15000) {
  const double until = NowMs() + limit_ms;
  while (NowMs() < until) {
    if (Http(net.Edge(edge), net.ready_port, "GET", "/readiness", "") == 200) {
      return true;
    }
    SleepMs(200);
  }
  return false;
}

}  // namespace review

#endif  // REVIEW_STANDIN_2_H_
