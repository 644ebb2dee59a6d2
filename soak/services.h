#ifndef SARDINELEAD_SOAK_SERVICES_H_
#define SARDINELEAD_SOAK_SERVICES_H_

// The services and configurations of the soak test, and the client that its
// actors use to call the system.

#include <cstdint>
#include <map>
#include <string>

#include "sardinelead/http_client.h"
#include "sardinelead/types.h"

namespace sardinelead::soak {

// Fills an answer after the request id.
constexpr std::uint8_t kAnswerFill = 0xa5;
// Size of an answer, including the request id.
constexpr std::size_t kAnswerBytes = 100;

// Number of routes that only some configurations have. Their services are
// ExtraService(), with ports from kFirstExtraPort.
constexpr std::uint16_t kExtraRoutes = 6;
constexpr std::size_t kIdleRoutesPerVersion = 400;

Endpoint NotesService();  // Not idempotent.
Endpoint WatchService();  // Idempotent, as are all others.
Endpoint PhotosService();
Endpoint ExtraService(std::uint16_t place);
bool IsIdempotent(const Endpoint& service);
bool IsExtra(const Endpoint& service);

// Returns the pool of each routed service: the fixed routes, and extra routes
// selected by a hash of the version.
std::map<Endpoint, std::string> RoutesOf(std::uint64_t version);
// Version 1 has no idle routes, each later one up to kIdleRoutesPerVersion more
// until there are `max_idle_routes`.
std::string ConfigText(std::uint64_t version, std::size_t max_idle_routes);

void Sleep(Duration duration);
Result<HttpClientResponse> CallControl(std::uint32_t node, HttpMethod method,
                                       const std::string& path,
                                       const std::string& body);

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_SERVICES_H_
