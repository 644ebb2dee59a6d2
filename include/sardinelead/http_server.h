#ifndef SARDINELEAD_HTTP_SERVER_H_
#define SARDINELEAD_HTTP_SERVER_H_

// An HTTP/1.1 server for the operator and target APIs.
//
//   HttpServer server(settings);
//   server.Handle(
//       HttpMethod::kGet, "/v1/targets/:name",
//       [](const HttpRequest& request) {
//         return JsonResponse(200, {{"name", request.Param("name")}});
//       });
//   Result<Endpoint> bound = server.Start();
//
// Handlers run concurrently on the server's threads. A handler that cannot
// respond before it returns is registered with HandleAsync() and may respond
// later, from any thread. All error responses have the same form:
//
//   {"error": {"code": "not-allowed", "message": "...", "path": "..."}}
//
// The connection is closed on a request that exceeds a limit of the settings
// or is not valid HTTP.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "sardinelead/error.h"
#include "sardinelead/types.h"

namespace asio {
class io_context;
}  // namespace asio

namespace sardinelead {

enum class HttpMethod : std::uint8_t { kGet, kPost, kPut, kDelete };
const char* Name(HttpMethod method);

struct HttpRequest {
  std::string path;
  std::map<std::string, std::string> params;  // Of ":name" in the pattern.
  // Percent-decoded. A repeated key has its last value.
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Keys are in lower case.
  std::string body;
  Endpoint remote;
  // Whether the connection was closed since, also if only the client's
  // direction was. May be called at any time and from any thread. Set by the
  // server.
  std::function<bool()> is_closed = [] { return false; };

  // Each returns an empty string if there is no such entry.
  std::string Param(const std::string& name) const;
  std::string Query(const std::string& name) const;
  std::string Header(const std::string& name) const;
  // Returns TOKEN from "Authorization: Bearer TOKEN", or an empty string.
  std::string BearerToken() const;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::map<std::string, std::string> headers;
};

HttpResponse JsonResponse(int status, const nlohmann::json& body);
HttpResponse TextResponse(int status, std::string body);
// Derives the HTTP status from the error's code.
HttpResponse ErrorResponse(const Error& error);
HttpResponse ErrorResponse(int status, const Error& error);
// Returns the value of the "error" key in an error response.
nlohmann::json ToJson(const Error& error);
// Returns kMalformed if `text` is not a JSON object or is nested more than 64
// levels deep; the message includes any parse error.
Result<nlohmann::json> ParseJsonObject(const std::string& text);

struct HttpServerSettings {
  Endpoint listen;  // Port 0 selects a free port.
  std::size_t threads = 2;
  std::size_t max_connections = 1024;
  std::size_t max_body_bytes = 4 << 20;
  Duration read_deadline = std::chrono::seconds(10);  // For a whole request.
  Duration write_deadline = std::chrono::seconds(10);
  Duration handle_deadline = std::chrono::seconds(60);
};

class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest& request)>;
  // Sends the response. Must be called exactly once, from any thread.
  using Respond = std::function<void(HttpResponse response)>;
  using AsyncHandler =
      std::function<void(const HttpRequest& request, Respond respond)>;

  explicit HttpServer(const HttpServerSettings& settings);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Registers a handler; must be called before Start(). The first matching
  // pattern, in order of registration, handles the request.
  void Handle(HttpMethod method, const std::string& pattern, Handler handler);
  void HandleAsync(HttpMethod method, const std::string& pattern,
                   AsyncHandler handler);

  // Returns the bound endpoint, or kIo if binding fails.
  Result<Endpoint> Start();
  // Like Start(), but runs on `context`, which must be run by a single thread
  // and outlive the server. Stop() then does not wait.
  Result<Endpoint> StartOn(asio::io_context* context);
  // Refuses new connections from now on and keeps those that are open. Only
  // after StartOn().
  void StopAccepting();
  // Whether every request that was received has been answered and its response
  // sent.
  bool IsIdle() const;
  // Waits up to `grace` for requests in flight, then closes all connections.
  // Returns true if every request was answered.
  bool Stop(Duration grace = Duration::zero());

 private:
  struct Impl;
  Result<Endpoint> Open(asio::io_context* context);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_HTTP_SERVER_H_
