#ifndef SARDINELEAD_HTTP_SERVER_H_
#define SARDINELEAD_HTTP_SERVER_H_

// An HTTP/1.1 server for the operators' and the targets' API.
//
//   HttpServer server(settings);
//   server.Handle(HttpMethod::kGet, "/v1/targets/:name",
//                 [](const HttpRequest& request) {
//                   return JsonResponse(200, {{"name",
//                   request.Param("name")}});
//                 });
//   Result<Endpoint> bound = server.Start();
//
// Handlers run on the server's threads, several at once. A handler that cannot
// answer at once is registered by HandleAsync and answers later, from any
// thread. Every error has one shape:
//   {"error": {"code": "not-allowed", "message": "...", "path": "..."}}
// A request beyond a limit of the settings or one that is no HTTP closes its
// connection.

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
  std::map<std::string, std::string> params;   // From ":name" in the pattern.
  std::map<std::string, std::string> query;    // Decoded, the last of a name.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
  Endpoint remote;

  // Each is empty where there is no such entry.
  std::string Param(const std::string& name) const;
  std::string Query(const std::string& name) const;
  std::string Header(const std::string& name) const;
  // The token of "Authorization: Bearer TOKEN".
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
// The status that fits the error's code.
HttpResponse ErrorResponse(const Error& error);
HttpResponse ErrorResponse(int status, const Error& error);
// The object under "error" of an error's body.
nlohmann::json ToJson(const Error& error);
// kMalformed with the parser's message where `text` is no JSON object.
Result<nlohmann::json> ParseJsonObject(const std::string& text);

struct HttpServerSettings {
  Endpoint listen;  // Port 0 takes a free one.
  std::size_t threads = 2;
  std::size_t max_connections = 1024;
  std::size_t max_body_bytes = 4 << 20;
  Duration read_deadline = std::chrono::seconds(10);  // Of a whole request.
  Duration write_deadline = std::chrono::seconds(10);
  Duration handle_deadline = std::chrono::seconds(60);
};

class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest& request)>;
  // Must be called exactly once, from any thread.
  using Respond = std::function<void(HttpResponse response)>;
  using AsyncHandler =
      std::function<void(const HttpRequest& request, Respond respond)>;

  explicit HttpServer(const HttpServerSettings& settings);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Before Start() only. The first pattern that fits a request takes it.
  void Handle(HttpMethod method, const std::string& pattern, Handler handler);
  void HandleAsync(HttpMethod method, const std::string& pattern,
                   AsyncHandler handler);

  // The endpoint bound; kIo where it cannot be.
  Result<Endpoint> Start();
  // As Start(), but everything runs on `context`, which one thread runs and
  // which must outlive the server. Stop() then does not wait.
  Result<Endpoint> StartOn(asio::io_context* context);
  // Waits until no request is in flight, `grace` at most, then closes all
  // connections. Returns whether none was cut off.
  bool Stop(Duration grace = Duration::zero());

 private:
  struct Impl;
  Result<Endpoint> Open(asio::io_context* context);

  std::unique_ptr<Impl> m_impl;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_HTTP_SERVER_H_
