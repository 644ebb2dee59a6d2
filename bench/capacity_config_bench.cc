// Measures how configuration costs grow with the number of services: memory on
// a node, bytes that a cold node fetches, and the time to apply one patch.

#include <memory>
#include <nlohmann/json.hpp>

#include "sardinelead/config.h"
#include "slope.h"

namespace sardinelead::bench {
namespace {

const std::vector<double> kServiceCounts = {10, 100, 1000, 10000};
constexpr std::uint32_t kServicesInWorkspace = 5;

Service MakeService(std::uint32_t number) {
  Service service;
  service.name = "service-" + std::to_string(number);
  service.workspace =
      "workspace-" + std::to_string(number / kServicesInWorkspace);
  service.address.address = IpAddress::FromV4(0x0a000000 + number);
  service.address.port = 443;
  return service;
}

Patch MakePatch(const Configuration& current, std::uint32_t first,
                std::uint32_t count) {
  Patch patch;
  patch.id = "patch-" + std::to_string(first);
  patch.base = current.version;
  for (std::uint32_t i = first; i < first + count; ++i) {
    Operation put;
    put.kind = OperationKind::kPutService;
    put.service = MakeService(i);
    if (current.workspaces.count(put.service.workspace) == 0) {
      Operation workspace;
      workspace.kind = OperationKind::kPutWorkspace;
      workspace.workspace.name = put.service.workspace;
      patch.operations.push_back(workspace);
    }
    patch.operations.push_back(put);
  }
  return patch;
}

Configuration MakeConfiguration(double services) {
  constexpr std::uint32_t kServicesInPatch = 50;
  Configuration configuration;
  const auto total = static_cast<std::uint32_t>(services);
  for (std::uint32_t first = 0; first < total; first += kServicesInPatch) {
    const std::uint32_t count = std::min(kServicesInPatch, total - first);
    auto next = Apply(configuration, MakePatch(configuration, first, count));
    if (!next) {
      std::fprintf(stderr, "%s\n", next.error().ToString().c_str());
      std::abort();
    }
    configuration = *next;
  }
  return configuration;
}

double ConfigurationHeapBytes(double services) {
  const Configuration original = MakeConfiguration(services);
  const std::size_t before = HeapBytes();
  const auto copy = std::make_unique<Configuration>(original);
  return static_cast<double>(HeapBytes() - before);
}

double WireBytes(double services) {
  const auto json = ToJson(MakeConfiguration(services));
  return static_cast<double>(nlohmann::json::to_cbor(json).size());
}

double ApplyNanoseconds(double services) {
  constexpr int kRounds = 5;
  Configuration configuration = MakeConfiguration(services);
  const double before = ThreadNanoseconds();
  for (int round = 0; round < kRounds; ++round) {
    const auto next = Apply(configuration, MakePatch(configuration, 0, 1));
    configuration = *next;
  }
  return (ThreadNanoseconds() - before) / kRounds;
}

void Run(const std::vector<std::uint64_t>& /*seeds*/, FigureSink* sink) {
  PrintSlope("config_heap_per_service", "B", kServiceCounts,
             ConfigurationHeapBytes, sink);
  PrintSlope("config_wire_per_service", "B", kServiceCounts, WireBytes, sink);
  PrintSlope("config_apply_per_service", "ns", kServiceCounts, ApplyNanoseconds,
             sink);
  const Patch patch = MakePatch(MakeConfiguration(10), 5, 1);
  const auto wire = nlohmann::json::to_cbor(ToJson(patch));
  sink->Print("config_patch_wire", static_cast<double>(wire.size()), "B");
}

const Registration kRegistration("capacity", Run);

}  // namespace
}  // namespace sardinelead::bench
