#ifndef SARDINELEAD_SOAK_SERVICES_H_
#define SARDINELEAD_SOAK_SERVICES_H_

// The services of the soak and the configurations that route to them, and how
// its actors call the system.

#include <cstdint>
#include <map>
#include <string>

#include "sardinelead/http_client.h"
#include "sardinelead/types.h"

namespace sardinelead::soak {

// What an answer holds after the request's id.
constexpr std::uint8_t kAnswerMark = 0xa5;
// Of an answer.
constexpr std::size_t kAnswerBytes = 100;

// Routes that come and go have ports from kFirstExtraPort on, at
// ExtraService().
constexpr std::uint16_t kExtraRoutes = 6;

Endpoint NotesService();  // Not idempotent.
Endpoint WatchService();  // Idempotent, as the others are.
Endpoint PhotosService();
Endpoint ExtraService(std::uint16_t place);
bool MayRepeat(const Endpoint& service);
bool IsExtra(const Endpoint& service);

// The fixed routes and, by the version's bits, some that come and go, with
// their pools.
std::map<Endpoint, std::string> RoutesOf(std::uint64_t version);
std::string ConfigText(std::uint64_t version);

void Sleep(Duration duration);
Result<HttpAnswer> CallControl(std::uint32_t node, HttpMethod method,
                               const std::string& path,
                               const std::string& body);

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_SERVICES_H_
