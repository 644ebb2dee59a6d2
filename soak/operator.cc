// Routers, operators and configuration readers.

#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

#include "actors.h"
#include "clock.h"
#include "services.h"

namespace sardinelead::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// In one of this many rounds of readiness checks, one answer comes late.
constexpr std::uint64_t kLateCheckInterval = 3;

}  // namespace

void RunRouters(SoakState* world, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::map<std::uint32_t, int> misses;
  while (!world->is_over) {
    std::vector<std::uint32_t> in_rotation;
    for (const std::uint32_t edge : world->edges) {
      HttpClientRequest call;
      call.path = "/readiness";
      call.deadline = milliseconds(100);
      const auto answer =
          SendHttpRequest({IpAddress::FromV4(edge), kReadinessPort}, call);
      const bool is_ready = answer && answer->status == 200;
      misses[edge] = is_ready ? 0 : misses[edge] + 1;
      if (misses[edge] < 2) in_rotation.push_back(edge);
    }
    if (in_rotation.size() * 2 < world->edges.size()) {
      in_rotation = world->edges;
    }
    const bool is_one_late =
        in_rotation.size() > 2 && random() % kLateCheckInterval == 0;
    if (is_one_late) {
      in_rotation.erase(
          in_rotation.begin() +
          static_cast<std::ptrdiff_t>(random() % in_rotation.size()));
    }
    world->SetInRotation(std::move(in_rotation));
    Sleep(milliseconds(300));
  }
}

bool SendConfig(SoakState* world, std::uint64_t version, Duration limit,
                std::mt19937_64* random) {
  const std::string text = ConfigText(version, world->config_plan.idle_routes);
  world->ledger.OnSent(version, text, RoutesOf(version));
  const TimePoint end = SteadyNow() + limit;
  while (SteadyNow() < end && !world->is_over) {
    const std::uint32_t control =
        world->controls[(*random)() % world->controls.size()];
    const auto answer =
        CallControl(control, HttpMethod::kPost, "/config/replace", text);
    if (answer && answer->status == 200) {
      world->ledger.OnAccepted(version);
      return true;
    }
    const bool is_refused = answer && answer->status / 100 == 4;
    if (is_refused) {
      world->ledger.AddViolation("a valid configuration was refused: " +
                                 answer->body);
      return false;
    }
    Sleep(milliseconds(50));
  }
  return false;
}

void RunOperator(SoakState* world, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uint64_t version = 1;
  while (!world->is_over) {
    version += 1 + random() % 3;
    std::thread concurrent;
    if (random() % 3 == 0) {
      const std::uint64_t higher = ++version;
      concurrent = std::thread([world, higher, seed] {
        std::mt19937_64 own(seed + higher);
        SendConfig(world, higher, std::chrono::seconds(8), &own);
      });
      SendConfig(world, higher - 1, std::chrono::seconds(8), &random);
    } else {
      SendConfig(world, version, std::chrono::seconds(8), &random);
    }
    if (random() % 4 == 0) {
      const std::uint32_t control =
          world->controls[random() % world->controls.size()];
      const std::string half = ConfigText(version + 1, 0).substr(0, 200);
      const auto answer =
          CallControl(control, HttpMethod::kPost, "/config/replace", half);
      if (answer && answer->status == 200) {
        world->ledger.AddViolation(
            "a configuration that was cut short was accepted");
      }
    }
    if (concurrent.joinable()) concurrent.join();
    const auto interval = static_cast<std::uint64_t>(
        world->config_plan.max_interval / milliseconds(1));
    Sleep(milliseconds(random() % interval));
  }
}

std::uint64_t ReadConfig(SoakState* world, std::uint32_t control) {
  const std::uint64_t newest = world->ledger.NewestAccepted();
  const auto answer =
      CallControl(control, HttpMethod::kGet, "/config/read", "");
  if (!answer || answer->status != 200) return 0;
  const json body = json::parse(answer->body, nullptr, false);
  if (!body.is_object() || !body.contains("version")) {
    world->ledger.AddViolation("a read gave no configuration: " + answer->body);
    return 0;
  }
  const std::uint64_t version = body["version"].get<std::uint64_t>();
  world->ledger.OnRead(newest, version, answer->body);
  return version;
}

void RunReader(SoakState* world, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!world->is_over) {
    ReadConfig(world, world->controls[random() % world->controls.size()]);
    Sleep(milliseconds(50 + random() % 200));
  }
}

}  // namespace sardinelead::soak
