#ifndef SARDINELEAD_HTTP_CLIENT_H_
#define SARDINELEAD_HTTP_CLIENT_H_

// A blocking HTTP/1.1 client for the command line and for targets. Each call
// opens a new connection and returns by its deadline.
//
// The error code states whether the server may have executed the request:
//   kIo           Nothing was sent, so the request was not executed.
//   kUnavailable  The request was sent, perhaps in part, and no response was
//                 received. It may have been executed.
//   kMalformed    The response is not valid HTTP or is too large. The request
//                 may have been executed.

#include <cstddef>
#include <map>
#include <string>

#include "sardinelead/error.h"
#include "sardinelead/http_server.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct HttpClientRequest {
  HttpMethod method = HttpMethod::kGet;
  std::string path;   // Including the query string.
  std::string token;  // Bearer token; not sent if empty.
  std::string body;   // JSON, or empty.
  Duration deadline = std::chrono::seconds(5);
  std::size_t max_response_bytes = 64 << 20;
};

struct HttpClientResponse {
  int status = 0;
  std::map<std::string, std::string> headers;  // Keys are in lower case.
  std::string body;
};

Result<HttpClientResponse> SendHttpRequest(const Endpoint& server,
                                           const HttpClientRequest& call);

}  // namespace sardinelead

#endif  // SARDINELEAD_HTTP_CLIENT_H_
