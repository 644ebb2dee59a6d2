#include "sardinelead/http_server.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <condition_variable>
#include <exception>
#include <mutex>
#include <restinio/all.hpp>
#include <restinio/router/express.hpp>
#include <restinio/router/std_regex_engine.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "observed_socket.h"

// Only this file includes RESTinio, whose templates are slow to compile.

namespace sardinelead {
namespace {

constexpr std::size_t kMaxUrlBytes = 4096;
constexpr std::size_t kMaxFieldNameBytes = 256;
constexpr std::size_t kMaxFieldValueBytes = 8192;
constexpr std::size_t kMaxHeaderFields = 64;
// Copying or freeing a JSON value takes stack space for each level.
constexpr std::size_t kMaxJsonDepth = 64;

using Router =
    restinio::router::express_router_t<restinio::router::std_regex_engine_t>;

struct Traits : restinio::default_traits_t {
  using request_handler_t = Router;
  using stream_socket_t = ObservedSocket;
  static constexpr bool use_connection_count_limiter = true;  // NOLINT
};
using RunningServer = restinio::running_server_handle_t<Traits>;

std::string FindOrEmpty(const std::map<std::string, std::string>& map,
                        const std::string& name) {
  const auto found = map.find(name);
  return found == map.end() ? std::string() : found->second;
}

std::string Lowercase(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

IpAddress ToIpAddress(const asio::ip::address& address) {
  if (address.is_v4()) return IpAddress::FromV4(address.to_v4().to_uint());
  IpAddress result;
  result.bytes = address.to_v6().to_bytes();
  return result;
}

restinio::http_method_id_t ToRestinio(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return restinio::http_method_get();
    case HttpMethod::kPost:
      return restinio::http_method_post();
    case HttpMethod::kPut:
      return restinio::http_method_put();
    case HttpMethod::kDelete:
      return restinio::http_method_delete();
  }
  return restinio::http_method_unknown();
}

int HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kMalformed:
    case ErrorCode::kOutOfRange:
      return 400;
    case ErrorCode::kNotAllowed:
      return 403;
    case ErrorCode::kUnknownName:
      return 404;
    case ErrorCode::kDuplicate:
    case ErrorCode::kVersionConflict:
    case ErrorCode::kPatchIdReused:
    case ErrorCode::kStale:
      return 409;
    case ErrorCode::kLimit:
      return 429;
    case ErrorCode::kUnavailable:
      return 503;
    case ErrorCode::kIo:
    case ErrorCode::kCorrupt:
      return 500;
  }
  return 500;
}

// Returns the parameter names in `pattern`, each of which follows a colon.
std::vector<std::string> ParameterNames(const std::string& pattern) {
  std::vector<std::string> names;
  std::size_t at = pattern.find(':');
  while (at != std::string::npos) {
    const std::size_t end = std::min(pattern.find('/', at), pattern.size());
    names.push_back(pattern.substr(at + 1, end - at - 1));
    at = pattern.find(':', end);
  }
  return names;
}

HttpRequest FromRestinio(const restinio::request_t& raw,
                         const restinio::router::route_params_t& route_params,
                         const std::vector<std::string>& names,
                         std::uint16_t local_port) {
  HttpRequest request;
  const auto& header = raw.header();
  request.path = std::string(header.path());
  for (const auto& field : header) {
    request.headers[Lowercase(field.name())] = field.value();
  }
  for (const std::string& name : names) {
    request.params[name] =
        restinio::utils::unescape_percent_encoding(route_params[name]);
  }
  for (const auto& [name, value] : restinio::parse_query(header.query())) {
    request.query[std::string(name)] = std::string(value);
  }
  request.body = raw.body();
  const auto& remote = raw.remote_endpoint();
  request.remote = Endpoint{ToIpAddress(remote.address()), remote.port()};
  request.is_closed = [watch = ConnectionWatch::Find(local_port, remote)] {
    return watch == nullptr || watch->IsClosed();
  };
  return request;
}

// Counts the requests that have not been answered yet.
class InFlightRequests {
 public:
  void Begin() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_count;
  }
  void End() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (--m_count == 0) m_idle.notify_all();
  }
  bool IsIdle() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_count == 0;
  }
  bool WaitUntilIdle(Duration limit) {
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_idle.wait_for(lock, limit, [this] { return m_count == 0; });
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_idle;
  std::size_t m_count = 0;
};

// Whether arrays and objects in a JSON text are nested more than `max` levels
// deep. The text need not be valid.
bool IsNestedDeeper(std::string_view text, std::size_t max) {
  std::size_t depth = 0;
  bool is_in_string = false;
  bool is_escaped = false;
  for (const char c : text) {
    if (is_in_string) {
      const bool ends_string = c == '"' && !is_escaped;
      is_escaped = c == '\\' && !is_escaped;
      is_in_string = !ends_string;
      continue;
    }
    if (c == '"') is_in_string = true;
    if (c == '[' || c == '{') ++depth;
    if ((c == ']' || c == '}') && depth > 0) --depth;
    if (depth > max) return true;
  }
  return false;
}

// Texts from a request that stand in an error message are cut to this length,
// so that an answer and a log line stay short.
std::string Shorten(const std::string& text) {
  constexpr std::size_t kMaxErrorBytes = 512;
  if (text.size() <= kMaxErrorBytes) return text;
  return text.substr(0, kMaxErrorBytes) + "...";
}

// The size of a response whose server adds the usual headers.
std::size_t ApproximateBytes(const HttpResponse& response) {
  constexpr std::size_t kStatusAndUsualHeaders = 160;
  std::size_t bytes = kStatusAndUsualHeaders + response.body.size();
  for (const auto& [name, value] : response.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

void Send(const restinio::request_handle_t& raw, HttpResponse response,
          std::function<void()> sent) {
  auto builder = raw->create_response(restinio::http_status_line_t{
      restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)},
      response.status < 400 ? "OK" : "Error"});
  builder.append_header(restinio::http_field::content_type,
                        response.content_type);
  for (const auto& [name, value] : response.headers) {
    builder.append_header(name, value);
  }
  builder.set_body(std::move(response.body));
  builder.done([sent = std::move(sent)](const auto&) { sent(); });
}

}  // namespace

const char* Name(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return "GET";
    case HttpMethod::kPost:
      return "POST";
    case HttpMethod::kPut:
      return "PUT";
    case HttpMethod::kDelete:
      return "DELETE";
  }
  return "unknown";
}

std::string HttpRequest::Param(const std::string& name) const {
  return FindOrEmpty(params, name);
}
std::string HttpRequest::Query(const std::string& name) const {
  return FindOrEmpty(query, name);
}
std::string HttpRequest::Header(const std::string& name) const {
  return FindOrEmpty(headers, name);
}

std::string HttpRequest::BearerToken() const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string value = Header("authorization");
  if (value.compare(0, kScheme.size(), kScheme) != 0) return "";
  return value.substr(kScheme.size());
}

HttpResponse JsonResponse(int status, const nlohmann::json& body) {
  HttpResponse response;
  response.status = status;
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return response;
}

HttpResponse TextResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; charset=utf-8";
  response.body = std::move(body);
  return response;
}

nlohmann::json ToJson(const Error& error) {
  return {{"code", Name(error.code)},
          {"message", Shorten(error.message)},
          {"path", Shorten(error.path)}};
}

HttpResponse ErrorResponse(const Error& error) {
  return ErrorResponse(HttpStatusOf(error.code), error);
}

HttpResponse ErrorResponse(int status, const Error& error) {
  return JsonResponse(status, {{"error", ToJson(error)}});
}

Result<nlohmann::json> ParseJsonObject(const std::string& text) {
  if (IsNestedDeeper(text, kMaxJsonDepth)) {
    return Fail(ErrorCode::kMalformed, "the body is nested more than " +
                                           std::to_string(kMaxJsonDepth) +
                                           " levels deep");
  }
  try {
    nlohmann::json json = nlohmann::json::parse(text);
    if (!json.is_object()) {
      return Fail(ErrorCode::kMalformed, "the body is not a JSON object");
    }
    return json;
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorCode::kMalformed,
                "the body is not JSON: " + Shorten(error.what()));
  }
}

struct HttpServer::Impl {
  HttpServerSettings settings;
  std::unique_ptr<Router> router = std::make_unique<Router>();
  std::shared_ptr<InFlightRequests> in_flight =
      std::make_shared<InFlightRequests>();
  std::shared_ptr<std::uint16_t> local_port = std::make_shared<std::uint16_t>();
  RunningServer server;
  std::unique_ptr<restinio::http_server_t<Traits>> server_on_context;

  restinio::server_settings_t<Traits> MakeServerSettings(Endpoint* bound);
};

// Moves the router into the result. The port is stored in `bound` once it is
// known, so `bound` must outlive the start of the server.
restinio::server_settings_t<Traits> HttpServer::Impl::MakeServerSettings(
    Endpoint* bound) {
  const auto limits = restinio::incoming_http_msg_limits_t{}
                          .max_url_size(kMaxUrlBytes)
                          .max_field_name_size(kMaxFieldNameBytes)
                          .max_field_value_size(kMaxFieldValueBytes)
                          .max_field_count(kMaxHeaderFields)
                          .max_body_size(settings.max_body_bytes);
  restinio::server_settings_t<Traits> server_settings;
  server_settings.address(settings.listen.address.ToString())
      .port(settings.listen.port)
      .protocol(settings.listen.address.IsV4()
                    ? restinio::asio_ns::ip::tcp::v4()
                    : restinio::asio_ns::ip::tcp::v6())
      .read_next_http_message_timelimit(settings.read_deadline)
      .write_http_response_timelimit(settings.write_deadline)
      .handle_request_timeout(settings.handle_deadline)
      .incoming_http_msg_limits(limits)
      .max_parallel_connections(settings.max_connections)
      .acceptor_post_bind_hook([this, bound](const auto& acceptor) {
        bound->port = acceptor.local_endpoint().port();
        *local_port = bound->port;
      })
      .request_handler(std::move(router));
  return server_settings;
}

HttpServer::HttpServer(const HttpServerSettings& settings)
    : m_impl(std::make_unique<Impl>()) {
  m_impl->settings = settings;
}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Handle(HttpMethod method, const std::string& pattern,
                        Handler handler) {
  HandleAsync(method, pattern,
              [handler = std::move(handler)](const HttpRequest& request,
                                             const Respond& respond) {
                respond(handler(request));
              });
}

void HttpServer::HandleAsync(HttpMethod method, const std::string& pattern,
                             AsyncHandler handler) {
  auto on_request = [handler = std::move(handler),
                     in_flight = m_impl->in_flight,
                     on_response = m_impl->settings.on_response,
                     local_port = m_impl->local_port,
                     names = ParameterNames(pattern)](
                        const restinio::request_handle_t& raw,
                        const restinio::router::route_params_t& params) {
    in_flight->Begin();
    Respond respond = [raw, in_flight, on_response](HttpResponse response) {
      if (on_response) on_response(ApproximateBytes(response));
      Send(raw, std::move(response), [in_flight] { in_flight->End(); });
    };
    handler(FromRestinio(*raw, params, names, *local_port), std::move(respond));
    return restinio::request_accepted();
  };
  m_impl->router->add_handler(ToRestinio(method), pattern,
                              std::move(on_request));
}

Result<Endpoint> HttpServer::Start() { return Open(nullptr); }

Result<Endpoint> HttpServer::StartOn(asio::io_context* context) {
  return Open(context);
}

// Runs the server on `context`, or on its own threads if `context` is null.
Result<Endpoint> HttpServer::Open(asio::io_context* context) {
  Impl& impl = *m_impl;
  impl.router->non_matched_request_handler(
      [](const restinio::request_handle_t& raw) {
        const Error error{ErrorCode::kUnknownName, "no such route",
                          std::string(raw->header().path())};
        Send(raw, ErrorResponse(error), [] {});
        return restinio::request_accepted();
      });
  Endpoint bound = impl.settings.listen;
  auto settings = impl.MakeServerSettings(&bound);
  try {
    if (context != nullptr) {
      impl.server_on_context =
          std::make_unique<restinio::http_server_t<Traits>>(
              restinio::external_io_context(*context), std::move(settings));
      impl.server_on_context->open_sync();
      return bound;
    }
    impl.server = restinio::run_async<Traits>(
        restinio::own_io_context(), std::move(settings), impl.settings.threads);
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kIo, "cannot listen on " +
                                    impl.settings.listen.ToString() + ": " +
                                    error.what());
  }
  return bound;
}

void HttpServer::StopAccepting() {
  assert(m_impl->server_on_context != nullptr);
  m_impl->server_on_context->close_sync();
}

bool HttpServer::IsIdle() const { return m_impl->in_flight->IsIdle(); }

bool HttpServer::Stop(Duration grace) {
  if (m_impl->server_on_context != nullptr) {
    m_impl->server_on_context->close_sync();
    m_impl->server_on_context.reset();
    return true;
  }
  if (m_impl->server == nullptr) return true;
  const bool complete = m_impl->in_flight->WaitUntilIdle(grace);
  m_impl->server->stop();
  m_impl->server->wait();
  m_impl->server.reset();
  return complete;
}

}  // namespace sardinelead
