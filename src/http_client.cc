#include "sardinelead/http_client.h"

#include <http_parser.h>

#include <array>
#include <asio.hpp>
#include <cctype>
#include <string>
#include <utility>

namespace sardinelead {
namespace {

constexpr std::size_t kReadBytes = 16384;

std::string FormatRequest(const Endpoint& server,
                          const HttpClientRequest& call) {
  std::string text = std::string(Name(call.method)) + " " + call.path +
                     " HTTP/1.1\r\nHost: " + server.ToString() +
                     "\r\nConnection: close\r\nContent-Length: " +
                     std::to_string(call.body.size()) + "\r\n";
  if (!call.body.empty()) text += "Content-Type: application/json\r\n";
  if (!call.token.empty()) {
    text += "Authorization: Bearer " + call.token + "\r\n";
  }
  return text + "\r\n" + call.body;
}

// Builds an HttpClientResponse from the callbacks of http_parser.
class ResponseParser {
 public:
  explicit ResponseParser(std::size_t max_bytes) : m_max_bytes(max_bytes) {
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
    http_parser_settings_init(&m_settings);
    m_settings.on_header_field = OnField;
    m_settings.on_header_value = OnValue;
    m_settings.on_body = OnBody;
    m_settings.on_message_complete = OnComplete;
  }

  // Returns false if the input is not a valid HTTP response or its body exceeds
  // the limit.
  bool Parse(const char* data, std::size_t size) {
    const std::size_t parsed =
        http_parser_execute(&m_parser, &m_settings, data, size);
    return m_complete || (parsed == size && m_parser.http_errno == 0);
  }
  bool complete() const { return m_complete; }  // NOLINT

  HttpClientResponse TakeResponse() {
    m_answer.status = static_cast<int>(m_parser.status_code);
    return std::move(m_answer);
  }

 private:
  static ResponseParser* Self(http_parser* parser) {
    return static_cast<ResponseParser*>(parser->data);
  }
  static int OnField(http_parser* parser, const char* at, std::size_t size) {
    ResponseParser* self = Self(parser);
    if (self->m_last_was_value) self->m_field.clear();
    self->m_last_was_value = false;
    for (const char* c = at; c != at + size; ++c) {
      self->m_field +=
          static_cast<char>(std::tolower(static_cast<unsigned char>(*c)));
    }
    return 0;
  }
  static int OnValue(http_parser* parser, const char* at, std::size_t size) {
    ResponseParser* self = Self(parser);
    self->m_last_was_value = true;
    self->m_answer.headers[self->m_field].append(at, size);
    return 0;
  }
  static int OnBody(http_parser* parser, const char* at, std::size_t size) {
    ResponseParser* self = Self(parser);
    self->m_answer.body.append(at, size);
    return self->m_answer.body.size() > self->m_max_bytes ? 1 : 0;
  }
  static int OnComplete(http_parser* parser) {
    Self(parser)->m_complete = true;
    return 0;
  }

  std::size_t m_max_bytes;
  http_parser m_parser{};
  http_parser_settings m_settings{};
  HttpClientResponse m_answer;
  std::string m_field;
  bool m_last_was_value = false;
  bool m_complete = false;
};

// Sends one request on a new connection and reads the response.
class HttpExchange {
 public:
  HttpExchange(const Endpoint& server, const HttpClientRequest& call)
      : m_server(server),
        m_call(call),
        m_request(FormatRequest(server, call)),
        m_response_parser(call.max_response_bytes) {}

  Result<HttpClientResponse> Run() {
    asio::error_code ignored;
    const auto address =
        asio::ip::make_address(m_server.address.ToString(), ignored);
    m_socket.async_connect({address, m_server.port},
                           [this](asio::error_code e) { OnConnected(e); });
    m_context.run_for(m_call.deadline);
    m_socket.close(ignored);
    if (m_response_parser.complete()) return m_response_parser.TakeResponse();
    if (m_error.message.empty()) {
      m_error.message = "no answer from " + m_server.ToString() + " in time";
    }
    return tl::unexpected<Error>(m_error);
  }

 private:
  void OnConnected(asio::error_code error) {
    if (error) {
      m_error.message =
          "cannot connect to " + m_server.ToString() + ": " + error.message();
      return;
    }
    m_error.code = ErrorCode::kUnavailable;
    asio::async_write(
        m_socket, asio::buffer(m_request),
        [this](asio::error_code e, std::size_t) { OnWritten(e); });
  }

  void OnWritten(asio::error_code error) {
    if (error) return OnConnectionLost(error);
    ReadMore();
  }

  void ReadMore() {
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [this](asio::error_code e, std::size_t n) { OnRead(e, n); });
  }

  void OnRead(asio::error_code error, std::size_t size) {
    // http_parser takes a size of 0 as end of stream.
    if (!m_response_parser.Parse(m_buffer.data(), error ? 0 : size)) {
      m_error.code = ErrorCode::kMalformed;
      m_error.message = m_server.ToString() +
                        " sent no valid HTTP answer within the size limit";
      return;
    }
    if (m_response_parser.complete()) return;
    if (error) return OnConnectionLost(error);
    ReadMore();
  }

  void OnConnectionLost(asio::error_code error) {
    m_error.message = "lost the connection to " + m_server.ToString() + ": " +
                      error.message();
  }

  const Endpoint m_server;
  const HttpClientRequest& m_call;
  const std::string m_request;
  asio::io_context m_context;
  asio::ip::tcp::socket m_socket{m_context};
  ResponseParser m_response_parser;
  std::array<char, kReadBytes> m_buffer{};
  Error m_error{ErrorCode::kIo, "", ""};
};

}  // namespace

Result<HttpClientResponse> SendHttpRequest(const Endpoint& server,
                                           const HttpClientRequest& call) {
  return HttpExchange(server, call).Run();
}

}  // namespace sardinelead
