#include <cppunit/extensions/HelperMacros.h>

#include <asio.hpp>
#include <functional>
#include <string>
#include <thread>

#include "sardinelead/http_client.h"
#include "sardinelead/http_server.h"

namespace sardinelead {
namespace {

class HttpConcurrentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpConcurrentTest);
  CPPUNIT_TEST(RoutesByMethodAndPath);
  CPPUNIT_TEST(RespondsAsynchronously);
  CPPUNIT_TEST(RefusesBodiesBeyondTheLimit);
  CPPUNIT_TEST(StopWaitsForRequestsInFlight);
  CPPUNIT_TEST(ServerOnContextIsBusyUntilResponsesAreSent);
  CPPUNIT_TEST(ServerOnContextRefusesConnectionsAfterStopAccepting);
  CPPUNIT_TEST(RequestTellsThatTheClientClosed);
  CPPUNIT_TEST(ClientDistinguishesNotSentFromUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    HttpServerSettings settings;
    settings.listen = *Endpoint::Parse("127.0.0.1:0");
    settings.max_body_bytes = 1000;
    m_server = std::make_unique<HttpServer>(settings);
    m_server->Handle(
        HttpMethod::kGet, "/v1/things/:name", [](const HttpRequest& request) {
          return JsonResponse(200, {{"name", request.Param("name")},
                                    {"q", request.Query("q")},
                                    {"t", request.BearerToken()}});
        });
    m_server->HandleAsync(
        HttpMethod::kPost, "/v1/later",
        [this](const HttpRequest& request, const HttpServer::Respond& respond) {
          m_responder = std::thread([body = request.body, respond] {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            respond(TextResponse(202, body));
          });
        });
    m_bound = m_server->Start().value();
  }

  void tearDown() override {
    if (m_responder.joinable()) m_responder.join();
    m_server.reset();
  }

  void RoutesByMethodAndPath() {
    HttpClientRequest call;
    call.path = "/v1/things/a%20b?q=x%2Fy";
    call.token = "secret";
    const HttpClientResponse answer = SendHttpRequest(m_bound, call).value();
    CPPUNIT_ASSERT_EQUAL(200, answer.status);
    const auto json = nlohmann::json::parse(answer.body);
    CPPUNIT_ASSERT(json["name"] == "a b" && json["q"] == "x/y");
    CPPUNIT_ASSERT(json["t"] == "secret");
    call.method = HttpMethod::kPost;
    const HttpClientResponse refused = SendHttpRequest(m_bound, call).value();
    CPPUNIT_ASSERT_EQUAL(404, refused.status);
    CPPUNIT_ASSERT(nlohmann::json::parse(refused.body)["error"]["code"] ==
                   "unknown-name");
  }

  void RespondsAsynchronously() {
    const auto answer = SendHttpRequest(m_bound, DelayedRequest("hello"));
    CPPUNIT_ASSERT_EQUAL(202, answer.value().status);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), answer->body);
  }

  void RefusesBodiesBeyondTheLimit() {
    const auto answer =
        SendHttpRequest(m_bound, DelayedRequest(std::string(2000, 'x')));
    CPPUNIT_ASSERT(!answer.has_value() || answer->status >= 400);
    CPPUNIT_ASSERT(!m_responder.joinable());
  }

  void StopWaitsForRequestsInFlight() {
    Result<HttpClientResponse> answer = Fail(ErrorCode::kIo, "not called");
    std::thread caller(
        [&] { answer = SendHttpRequest(m_bound, DelayedRequest("whole")); });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const bool complete = m_server->Stop(std::chrono::seconds(5));
    caller.join();
    CPPUNIT_ASSERT(complete);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer.value().body);
  }

  // A process that stops as planned must not end while a request that it has
  // read awaits its response.
  void ServerOnContextIsBusyUntilResponsesAreSent() {
    asio::io_context context{1};
    HttpServerSettings settings;
    settings.listen = *Endpoint::Parse("127.0.0.1:0");
    HttpServer server(settings);
    HttpServer::Respond pending;
    server.HandleAsync(
        HttpMethod::kPost, "/v1/later",
        [&](const HttpRequest&, const HttpServer::Respond& respond) {
          pending = respond;
        });
    const Endpoint bound = server.StartOn(&context).value();
    CPPUNIT_ASSERT(server.IsIdle());
    Result<HttpClientResponse> answer = Fail(ErrorCode::kIo, "not called");
    std::thread caller(
        [&] { answer = SendHttpRequest(bound, DelayedRequest("x")); });
    RunUntil(&context, [&] { return pending != nullptr; });
    server.StopAccepting();
    CPPUNIT_ASSERT(!server.IsIdle());
    pending(TextResponse(202, "whole"));
    RunUntil(&context, [&] { return server.IsIdle(); });
    caller.join();
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), answer.value().body);
  }

  // After a refused connection the caller knows that nothing ran. After one
  // that is accepted and then closed it does not.
  void ServerOnContextRefusesConnectionsAfterStopAccepting() {
    asio::io_context context{1};
    HttpServerSettings settings;
    settings.listen = *Endpoint::Parse("127.0.0.1:0");
    HttpServer server(settings);
    const Endpoint bound = server.StartOn(&context).value();
    server.StopAccepting();
    context.poll();
    CPPUNIT_ASSERT(SendHttpRequest(bound, DelayedRequest("x")).error().code ==
                   ErrorCode::kIo);
  }

  // A call that its client has given up must not take effect.
  void RequestTellsThatTheClientClosed() {
    asio::io_context context{1};
    HttpServerSettings settings;
    settings.listen = *Endpoint::Parse("127.0.0.1:0");
    HttpServer server(settings);
    std::function<bool()> is_closed;
    HttpServer::Respond pending;
    server.HandleAsync(
        HttpMethod::kPost, "/v1/later",
        [&](const HttpRequest& request, const HttpServer::Respond& respond) {
          is_closed = request.is_closed;
          pending = respond;
        });
    const Endpoint bound = server.StartOn(&context).value();
    asio::ip::tcp::socket client(context);
    client.connect({asio::ip::address_v4::loopback(), bound.port});
    const std::string text =
        "POST /v1/later HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    asio::write(client, asio::buffer(text));
    RunUntil(&context, [&] { return pending != nullptr; });
    CPPUNIT_ASSERT(!is_closed());
    client.close();
    RunUntil(&context, [&] { return is_closed(); });
    pending(TextResponse(200, ""));
    RunUntil(&context, [&] { return server.IsIdle(); });
    CPPUNIT_ASSERT(is_closed());
  }

  void ClientDistinguishesNotSentFromUnknown() {
    asio::io_context context;
    asio::ip::tcp::acceptor silent(context,
                                   {asio::ip::address_v4::loopback(), 0});
    HttpClientRequest call = DelayedRequest("x");
    call.deadline = std::chrono::milliseconds(100);
    Endpoint server = m_bound;
    server.port = silent.local_endpoint().port();
    CPPUNIT_ASSERT(SendHttpRequest(server, call).error().code ==
                   ErrorCode::kUnavailable);
    silent.close();
    CPPUNIT_ASSERT(SendHttpRequest(server, call).error().code ==
                   ErrorCode::kIo);
  }

 private:
  // Runs `context` until `is_done`, for at most 5 s.
  static void RunUntil(asio::io_context* context,
                       const std::function<bool()>& is_done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!is_done()) {
      context->run_one_for(std::chrono::milliseconds(10));
      context->restart();
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
    }
  }

  static HttpClientRequest DelayedRequest(std::string body) {
    HttpClientRequest call;
    call.method = HttpMethod::kPost;
    call.path = "/v1/later";
    call.body = std::move(body);
    return call;
  }

  std::unique_ptr<HttpServer> m_server;
  Endpoint m_bound;
  std::thread m_responder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConcurrentTest);

}  // namespace
}  // namespace sardinelead
