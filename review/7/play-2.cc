// Case 7: an opening packet's copy goes to the service that a newer
// configuration no longer allows.
//
// Usage: play-7 NET TROUBLE RECORD. Exits with 1 if the rule was broken, 0 if
// it held, 2 if the case could not run.

#include "standin-2.h"

using review::NowMs;

namespace {

constexpr double kDowngradeMs = 250;
constexpr double kRoomAfterMs = 400;
constexpr std::uint16_t kRoutePort = 8080;
constexpr std::size_t kMaxConns = 2000;
constexpr int kFirstHeldPort = 20001;

std::string Config(int version, const std::string& net,
                   const std::string& service) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-1\",\"hostname\":\"" + net +
         "200\",\"pathPrefix\":\"/8080/\",\"type\":\"non_idempotent\","
         "\"timeoutMs\":3000,\"targetLatencyMs\":200,\"priority\":1,"
         "\"service\":\"" +
         service +
         "\",\"maxAttempts\":2}],\"services\":[{\"name\":\"orders\","
         "\"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\","
         "\"tls\":false},{\"name\":\"gallery\",\"healthPath\":\"/health\","
         "\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
         "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  review::Net net;
  net.prefix = argv[1];
  const bool has_trouble = std::string(argv[2]) != "0";
  review::Record record(argv[3]);
  const std::string edge = net.Edge(0);
  if (!review::Replace(net, &record, 3, Config(3, net.prefix, "orders"))) {
    return 2;
  }
  review::Host orders(net, &record, "orders", "z-a", "i-a1", net.prefix + "101",
                      9001, kMaxConns);
  review::Host gallery(net, &record, "gallery", "z-a", "i-b1",
                       net.prefix + "102", 9002, kMaxConns);
  // When "gallery" first ran a request, the effect of version 7.
  std::atomic<double> effect_at{0};
  gallery.on_run = [&](const review::Packet&) {
    double none = 0;
    effect_at.compare_exchange_strong(none, NowMs());
  };
  if (!review::WaitReady(net, 0)) return 2;
  review::SleepMs(2000);
  review::Client client(net, &record, net.prefix + "151", net.prefix + "200",
                        kRoutePort);
  // With the disruption, the host of "orders" then holds maxConns flows.
  const std::size_t held = has_trouble ? kMaxConns : 1;
  record.Line("client: opens %zu flows, with a request each", held);
  record.is_quiet = true;
  for (std::size_t i = 0; i < held; ++i) {
    const auto port = static_cast<std::uint16_t>(kFirstHeldPort + i);
    if (!client.Open(edge, port).is_open) return 2;
    if (client.Request(edge, port, "q" + std::to_string(i)).empty()) return 2;
  }
  record.is_quiet = false;
  record.Line("client: has %zu open flows at the host of \"orders\"",
              orders.flows());

  // The flow whose opening packet meets the full host.
  constexpr std::uint16_t kLatePort = 40010;
  review::Client::Result late;
  std::string late_answer;
  const double late_begin = NowMs();
  std::thread late_flow([&] {
    late = client.Open(edge, kLatePort);
    if (late.is_open) late_answer = client.Request(edge, kLatePort, "late");
  });
  review::SleepMs(50);
  const bool is_acknowledged =
      review::Replace(net, &record, 7, Config(7, net.prefix, "gallery"), 2000);
  record.Line("operator: version 7 moves the route to \"gallery\"");
  // Other flows, one every 30 ms; the edge learns of the version meanwhile.
  std::vector<std::thread> others;
  for (int i = 0; i < 6; ++i) {
    review::SleepMs(30);
    const auto port = static_cast<std::uint16_t>(40020 + i);
    others.emplace_back([&client, &edge, port] {
      if (client.Open(edge, port).is_open) client.Request(edge, port, "other");
    });
  }
  // One of the flows at the full host ends between the two copies.
  review::SleepUntilMs(late_begin + kRoomAfterMs);
  client.Close(edge, kFirstHeldPort);
  late_flow.join();
  for (std::thread& other : others) other.join();
  const bool has_effect = effect_at > 0;
  record.Line("a host saw the effect of version 7 at %.1f", effect_at.load());
  if (!is_acknowledged || !has_effect) return 2;
  const bool ran_at_old = late_answer.find("orders") != std::string::npos;
  const double after = late.opened_by_ms - effect_at;
  record.Line("late flow: open %d, sent %.1f ms after the effect, answer \"%s\"",
              late.is_open, after, late_answer.c_str());
  const bool is_broken = ran_at_old && after > kDowngradeMs;
  record.Line("%s", is_broken ? "BROKEN: CONFIG, run by the old service"
                              : "held");
  return is_broken ? 1 : 0;
}
