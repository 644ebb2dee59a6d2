// A program that is no target, but calls the control VMs as if it were one.

#include <cstdio>

#include "actors.h"
#include "services.h"

namespace sardinelead::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kNestedLevels = 20'000;
constexpr std::size_t kLongNameBytes = 400'000;

// The fields of a heartbeat as JSON texts.
struct HeartbeatText {
  std::string service = "\"orders\"";
  std::string address;
  std::string slots = "4";
  std::string sequence = "1";
  std::string born = "1";
  std::string more = "0";

  std::string ToString() const {
    return R"({"zone":"dc-0","version":"v1","state":"ready","warmupLeftMs":0,)"
           R"("service":)" +
           service + R"(,"address":)" + address + R"(,"slots":)" + slots +
           R"(,"sequence":)" + sequence + R"(,"born":)" + born + R"(,"more":)" +
           more + "}";
  }
};

std::string Quote(const std::string& text) { return "\"" + text + "\""; }

// Returns a heartbeat that names no target to use, although most of it looks
// like one of the target at `address`.
std::string MakeOddHeartbeat(const Endpoint& address, std::mt19937_64* random) {
  HeartbeatText text;
  text.address = Quote(address.ToString());
  const std::string host = address.address.ToString();
  switch ((*random)() % 7) {
    case 0:  // An unknown service, of a process that started last.
      text.service = Quote("batch-agent");
      text.born = "250000000000000";
      break;
    case 1:
      text.more =
          std::string(kNestedLevels, '[') + std::string(kNestedLevels, ']');
      text.service = "[]";
      break;
    case 2:
      text.born = "18446744073709551615";
      break;
    case 3:
      text.slots = "1e400";
      break;
    case 4: {
      constexpr const char* kPorts[] = {":0", ":65536", ":-1", ""};
      text.address = Quote(host + kPorts[(*random)() % 4]);
      break;
    }
    case 5:
      text.service = Quote(std::string(kLongNameBytes, 'x'));
      break;
    default: {
      const std::string whole = text.ToString();
      return whole.substr(0, (*random)() % whole.size()) + "\xff";
    }
  }
  return text.ToString();
}

}  // namespace

void RunOddWriter(SoakState* world, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!world->is_over) {
    Sleep(milliseconds(20 + random() % 200));
    const auto targets = world->Targets();
    if (targets.empty()) continue;
    const auto& [address, start] = targets[random() % targets.size()];
    // Its own id, or that of the target.
    const std::uint64_t claimed =
        random() % 2 == 0 ? start.number : 0x900000 + random() % 1000;
    char path[48];
    std::snprintf(path, sizeof(path), "/instances/i-%010llx/heartbeat",
                  static_cast<unsigned long long>(claimed));  // NOLINT
    const std::uint32_t control =
        world->controls[random() % world->controls.size()];
    CallControl(control, HttpMethod::kPost, path,
                MakeOddHeartbeat(address, &random));
  }
}

}  // namespace sardinelead::soak
