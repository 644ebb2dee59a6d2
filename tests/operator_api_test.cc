#include "operator_api.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "sardinelead/http_client.h"

namespace sardinelead {
namespace {

using nlohmann::json;

constexpr char kOperator[] = "operator-0123456789";
constexpr char kTargets[] = "targets-0123456789";
constexpr char kOther[] = "other-workspace-0123";

Access MakeAccess() {
  return Access::Parse("[operator amina]\nworkspaces = linaw\ntoken_sha256 = " +
                           ToHex(DigestOf(kOperator)) +
                           "\n[targets linaw]\ntoken_sha256 = " +
                           ToHex(DigestOf(kTargets)) +
                           "\n[targets sabaq]\ntoken_sha256 = " +
                           ToHex(DigestOf(kOther)) + "\n",
                       "access.ini")
      .value();
}

// Runs a target registry behind an HTTP server with a single thread, on which
// all registry calls run.
class OperatorApiConcurrentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorApiConcurrentTest);
  CPPUNIT_TEST(AnnouncesRenewsDrainsAndLeaves);
  CPPUNIT_TEST(RejectsUnauthorizedTokens);
  CPPUNIT_TEST(ReportsTheKeyOfAMalformedAnnouncement);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    PublishServices();
    m_health = std::make_unique<Health>(HealthSettings{}, NodeId{1});
    TargetRegistrySettings settings;
    settings.self = NodeId{1};
    settings.incarnation = Incarnation{1};
    TargetRegistry::Hooks hooks;
    hooks.random = [] { return std::uint64_t{4}; };
    hooks.authorize = [this](const std::string& workspace,
                             const std::string& token) {
      return m_access.AuthorizeTarget(token, workspace).has_value();
    };
    hooks.on_load = [](ServiceId, TargetId, const LoadReport&, TimePoint) {};
    m_registry = std::make_unique<TargetRegistry>(settings, &m_board,
                                                  m_health.get(), hooks);
    StartServer();
  }
  void tearDown() override { m_server.reset(); }

  void AnnouncesRenewsDrainsAndLeaves() {
    const auto announced = Post("/v1/targets", kTargets, AnnouncementJson());
    CPPUNIT_ASSERT_EQUAL(201, announced.status);
    const std::string id = json::parse(announced.body)["id"];
    const std::string base = "/v1/targets/" + id;
    CPPUNIT_ASSERT_EQUAL(
        200, Post(base + "/renew", kTargets, {{"busy_slots", 1}}).status);
    CPPUNIT_ASSERT_EQUAL(
        400, Post(base + "/renew", kTargets, {{"busy_slots", "x"}}).status);
    CPPUNIT_ASSERT(ListedTarget()["draining"] == false);
    CPPUNIT_ASSERT_EQUAL(200, Post(base + "/drain", kOperator, {}).status);
    CPPUNIT_ASSERT(ListedTarget()["draining"] == true);
    CPPUNIT_ASSERT_EQUAL(200, Post(base + "/leave", kTargets, {}).status);
    CPPUNIT_ASSERT(ListedTarget()["lease"] == "left");
    CPPUNIT_ASSERT_EQUAL(404,
                         Post("/v1/targets/77/drain", kOperator, {}).status);
  }

  void RejectsUnauthorizedTokens() {
    for (const char* token : {"", "stranger-0123456789", kOther}) {
      CPPUNIT_ASSERT_EQUAL(
          403, Post("/v1/targets", token, AnnouncementJson()).status);
    }
    const auto announced = Post("/v1/targets", kTargets, AnnouncementJson());
    const std::string id = json::parse(announced.body)["id"];
    for (const char* action : {"/drain", "/leave", "/renew"}) {
      CPPUNIT_ASSERT_EQUAL(
          403, Post("/v1/targets/" + id + action, kOther, {}).status);
    }
    CPPUNIT_ASSERT_EQUAL(401, Get("/v1/targets", kTargets).status);
    CPPUNIT_ASSERT_EQUAL(401, Get("/v1/status", "").status);
    CPPUNIT_ASSERT_EQUAL(401, Get("/v1/configuration", "").status);
    CPPUNIT_ASSERT_EQUAL(200, Get("/v1/status", kOperator).status);
    CPPUNIT_ASSERT_EQUAL(200, Get("/v1/health", "").status);
  }

  void ReportsTheKeyOfAMalformedAnnouncement() {
    const std::pair<const char*, json> faults[] = {
        {"slots", -1},        {"slots", 5000},       {"tunnel", "here"},
        {"name", 4},          {"check_port", 65536}, {"nonsense", 1},
        {"service", nullptr}, {"incarnation", 1.5},
    };
    for (const auto& [key, value] : faults) {
      json announcement = AnnouncementJson();
      announcement[key] = value;
      const auto answer = Post("/v1/targets", kTargets, announcement);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(key, 400, answer.status);
      CPPUNIT_ASSERT(json::parse(answer.body)["error"]["path"] == key);
    }
  }

 private:
  void PublishServices() {
    auto configuration = std::make_shared<Configuration>();
    configuration->version = ConfigVersion{1};
    configuration->workspaces["linaw"].name = "linaw";
    Service& orders = configuration->services["linaw/orders"];
    orders.id = ServiceId{1};
    orders.name = "orders";
    orders.workspace = "linaw";
    orders.address = *Endpoint::Parse("192.0.2.1:80");
    configuration->BuildIndex();
    m_board.configuration.Publish(std::move(configuration));
  }

  void StartServer() {
    HttpServerSettings settings;
    settings.listen = *Endpoint::Parse("127.0.0.1:0");
    settings.threads = 1;
    m_server = std::make_unique<HttpServer>(settings);
    BalancerApi api;
    api.self = NodeId{1};
    api.targets = m_registry.get();
    api.health = m_health.get();
    api.blackboard = &m_board;
    api.metrics = &m_metrics;
    api.access = &m_access;
    api.now = [] { return TimePoint(std::chrono::seconds(1)); };
    api.run = [](const std::function<void()>& task) { task(); };
    BindBalancerApi(api, m_server.get());
    m_bound = m_server->Start().value();
  }

  static json AnnouncementJson() {
    return {{"service", "linaw/orders"}, {"name", "o1"},
            {"tunnel", "127.0.0.1:9"},   {"slots", 3},
            {"incarnation", 7},          {"check_port", 0}};
  }

  HttpClientResponse Post(const std::string& path, const char* token,
                          const json& body) {
    HttpClientRequest call{HttpMethod::kPost, path, token, ""};
    call.body = body.is_null() ? "" : body.dump();
    return SendHttpRequest(m_bound, call).value();
  }
  HttpClientResponse Get(const std::string& path, const char* token) {
    return SendHttpRequest(m_bound, {HttpMethod::kGet, path, token, ""})
        .value();
  }
  json ListedTarget() {
    return json::parse(Get("/v1/targets", kOperator).body)["targets"].at(0);
  }

  const Access m_access = MakeAccess();
  Blackboard m_board;
  Metrics m_metrics;
  std::unique_ptr<Health> m_health;
  std::unique_ptr<TargetRegistry> m_registry;
  std::unique_ptr<HttpServer> m_server;
  Endpoint m_bound;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorApiConcurrentTest);

}  // namespace
}  // namespace sardinelead
