// An operator that evacuates one data centre after the other.

#include <random>

#include "actors.h"
#include "clock.h"
#include "services.h"

namespace sardinelead::soak {
namespace {

using std::chrono::milliseconds;

// Time for all control processes to restart and learn the order, after the
// faults have ended.
constexpr Duration kRestoreLimit = std::chrono::seconds(6);

// Resends until an answer acknowledges the order. Returns whether one did.
bool SendOrder(SoakState* world, const std::string& data_centre, bool is_start,
               std::mt19937_64* random) {
  const std::string path =
      "/evacuations/" + data_centre + (is_start ? "/start" : "/finish");
  if (!is_start) world->ledger.OnEvacuationFinishing(data_centre);
  while (!world->is_over) {
    const std::uint32_t control =
        world->controls[(*random)() % world->controls.size()];
    const auto answer = CallControl(control, HttpMethod::kPost, path, "");
    if (answer && answer->status / 100 == 2) {
      if (is_start) world->ledger.OnEvacuationAcknowledged(data_centre);
      return true;
    }
    const bool is_refused = answer && answer->status / 100 == 4;
    if (is_refused) {
      world->ledger.AddViolation("a valid evacuation was refused: " +
                                 answer->body);
      return false;
    }
    Sleep(milliseconds(50));
  }
  return false;
}

bool HasOneEvacuation(std::uint32_t control) {
  HttpClientRequest call;
  call.path = "/metrics";
  call.deadline = milliseconds(300);
  const auto page =
      SendHttpRequest({IpAddress::FromV4(control), kMetricsPort}, call);
  return page && page->status == 200 &&
         page->body.find("\nsardinelead_evacuations 1\n") != std::string::npos;
}

// Checks that each control process has the acknowledged order after all of them
// were killed, some of them without their disks.
void CheckOrderIsKept(SoakState* world, const std::string& data_centre) {
  const TimePoint end = SteadyNow() + kRestoreLimit;
  for (const std::uint32_t control : world->controls) {
    bool is_kept = HasOneEvacuation(control);
    while (!is_kept && SteadyNow() < end && !world->is_over) {
      Sleep(milliseconds(100));
      is_kept = HasOneEvacuation(control);
    }
    if (is_kept || world->is_over) continue;
    world->ledger.AddViolation("the evacuation of " + data_centre +
                               " is not in force at " +
                               IpAddress::FromV4(control).ToString());
  }
}

}  // namespace

void RunEvacuator(SoakState* world, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!world->is_over && !world->is_healing) {
    const std::string data_centre = DataCentreName(random() % kDataCentres);
    if (!SendOrder(world, data_centre, true, &random)) return;
    const TimePoint end =
        SteadyNow() + kEvacuationLimit + milliseconds(500 + random() % 3000);
    while (SteadyNow() < end && !world->is_over && !world->is_healing) {
      Sleep(milliseconds(20));
    }
    if (world->is_healing) CheckOrderIsKept(world, data_centre);
    if (!SendOrder(world, data_centre, false, &random)) return;
    Sleep(milliseconds(random() % 500));
  }
}

}  // namespace sardinelead::soak
