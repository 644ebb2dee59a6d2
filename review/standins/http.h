#ifndef REVIEW_STANDINS_HTTP_H_
#define REVIEW_STANDINS_HTTP_H_

#include <string>

#include "packet.h"

namespace review {

struct HttpAnswer {
  int status = 0;  // 0 if no clear answer came in time.
  std::string body;
};

// Sends one request on a connection of its own. An answer counts if it comes
// within `deadline`.
HttpAnswer Call(const Address& server, const std::string& method,
                const std::string& path, const std::string& body,
                std::chrono::milliseconds deadline = std::chrono::seconds(1));

}  // namespace review

#endif  // REVIEW_STANDINS_HTTP_H_
