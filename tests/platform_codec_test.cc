// Tests the codecs of platform/ with valid, truncated, mistyped and unrelated
// input.

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "boot_settings.h"
#include "config_codec.h"
#include "packet_codec.h"
#include "sardinelead/http_server.h"
#include "target_codec.h"

namespace sardinelead {
namespace {

using nlohmann::json;

json MakeBoot() {
  return {{"nodeName", "edge-a-1"},
          {"role", "edge"},
          {"ip", "10.1.0.10"},
          {"zone", "luzon-a"},
          {"listen",
           {{"datagramAddr", "10.1.0.10:8172"}, {"ready", "10.1.0.10:8167"}}},
          {"internalPorts", {7720, 7735}},
          {"seeds", {"10.1.0.12:8166", "10.2.0.42:8166"}},
          {"bootstrap", true},
          {"dataDir", nullptr},
          {"heartbeatMs", 770},
          {"tolerate", {{"machines", 1}, {"zones", 1}}},
          {"bounds", {{"graceS", 6}, {"drainMs", 3000}}}};
}

json MakeHeartbeat() {
  return {{"service", "huvo11a"},
          {"address", "10.128.0.9:8080"},
          {"zone", "pkc-a"},
          {"version", "v1"},
          {"slots", 2},
          {"state", "ready"},
          {"warmupLeftMs", 1500},
          {"sequence", 4},
          {"born", 1'790'000'000'123}};
}

json MakeConfig() {
  return json::parse(
      R"({"version":7,"routes":[
      {"name":"r-1","hostname":"198.18.0.1","pathPrefix":"/8080/",
       "type":"non_idempotent","timeoutMs":3000,"targetLatencyMs":200,
       "priority":1,"service":"huvo11a","maxAttempts":2},
      {"name":"r-2","hostname":"198.18.0.1","pathPrefix":"/8443/",
       "type":"idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,
       "targets":[{"service":"huvo11a","weight":90},
                  {"service":"wuno96b","weight":10}],"maxAttempts":2}],
      "services":[
      {"name":"huvo11a","healthPath":"/health","maxConns":2000},
      {"name":"wuno96b","healthPath":"/health","maxConns":2000}],
      "limits":{"maxHeaderBytes":16384,"idleTimeoutMs":12000}})");
}

// The example of an opening packet in the platform's documentation.
const Bytes kSyn = {0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00,
                    0xa1, 0xb2, 0xc3, 0xd5, 0x00, 0x00, 0x40, 0x00,
                    0x00, 0x00, 0x00, 0x00, 0x9c, 0x41, 0x64, 0x40,
                    0x00, 0x07, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01};

class PlatformCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformCodecTest);
  CPPUNIT_TEST(ReadsSettings);
  CPPUNIT_TEST(SettingsErrorsNameTheKey);
  CPPUNIT_TEST(ReadsAnOpeningPacket);
  CPPUNIT_TEST(RejectsIncompletePackets);
  CPPUNIT_TEST(WritesTargetAndCookieOnly);
  CPPUNIT_TEST(WritesResets);
  CPPUNIT_TEST(ReadsHeartbeats);
  CPPUNIT_TEST(HeartbeatErrorsNameTheKey);
  CPPUNIT_TEST(OddHeartbeatsAreRefused);
  CPPUNIT_TEST(DeeplyNestedTextIsRefused);
  CPPUNIT_TEST(ReadsTargetIds);
  CPPUNIT_TEST(ReadsDeregistrations);
  CPPUNIT_TEST(LateDeregistrationEndsNoLaterProcess);
  CPPUNIT_TEST(ReadsConfigurations);
  CPPUNIT_TEST(ReadsEachRequestKind);
  CPPUNIT_TEST(ReadsWarmUps);
  CPPUNIT_TEST(ConfigurationErrorsNameTheKey);
  CPPUNIT_TEST(RejectsTruncatedText);
  CPPUNIT_TEST(DocumentsKeepTheOperatorsText);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsSettings() {
    const auto settings = DecodeBootSettings(MakeBoot().dump());
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("luzon-a"), settings->data_centre);
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.10:8172"),
                         settings->packets->ToString());
    CPPUNIT_ASSERT(!settings->control.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{7720}, settings->internal_port);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings->control_vms.size());
    CPPUNIT_ASSERT(settings->is_first_start);
    CPPUNIT_ASSERT(settings->data_folder.empty());
    CPPUNIT_ASSERT(settings->target_heartbeat ==
                   std::chrono::milliseconds(770));
    CPPUNIT_ASSERT(settings->shutdown_grace == std::chrono::seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, settings->link_bytes_per_second);
    CPPUNIT_ASSERT(!settings->evacuation_bound && !settings->warm_up_limit);
    json boot = MakeBoot();
    boot["zones"] = {{"luzon-a", "luzon"}, {"luzon-b", "luzon"}};
    boot["limits"] = {{"maxFds", 4100}, {"linkMbps", 1.5}};
    boot["bounds"]["evacuateMs"] = 5000;
    boot["bounds"]["warmupOverage"] = 1.5;
    boot["bounds"]["warmupSlack"] = 5;
    const auto full = DecodeBootSettings(boot.dump());
    CPPUNIT_ASSERT(full.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, full->data_centres.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{187'500}, full->link_bytes_per_second);
    CPPUNIT_ASSERT(full->evacuation_bound == std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(1.5, full->warm_up_limit->rate_factor);
    CPPUNIT_ASSERT_EQUAL(5.0, full->warm_up_limit->slack);
    // A negative rate must not become a large unsigned one.
    json negative = boot;
    negative["limits"]["linkMbps"] = -1.5;
    AssertRejected(negative, "limits.linkMbps", DecodeBootSettings);
    boot["someNewField"] = {1, 2};
    boot["dataDir"] = "/data/x";
    CPPUNIT_ASSERT_EQUAL(std::string("/data/x"),
                         DecodeBootSettings(boot.dump())->data_folder);
  }

  template <typename Decode>
  static void AssertRejected(const json& value, const std::string& path,
                             Decode decode) {
    const auto decoded = decode(value.dump());
    CPPUNIT_ASSERT_MESSAGE(path, !decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(path, decoded.error().path);
  }

  void SettingsErrorsNameTheKey() {
    for (const char* key :
         {"nodeName", "ip", "zone", "listen", "internalPorts", "seeds",
          "bootstrap", "heartbeatMs", "tolerate", "bounds"}) {
      json missing = MakeBoot();
      missing.erase(key);
      AssertRejected(missing, key, DecodeBootSettings);
      json mistyped = MakeBoot();
      mistyped[key] = json::array({json::object()});
      AssertRejected(mistyped, key, DecodeBootSettings);
    }
    json address = MakeBoot();
    address["listen"]["ready"] = "nowhere";
    AssertRejected(address, "listen.ready", DecodeBootSettings);
    json ports = MakeBoot();
    ports["internalPorts"] = {7735, 7720};
    AssertRejected(ports, "internalPorts", DecodeBootSettings);
  }

  void ReadsAnOpeningPacket() {
    const auto packet = DecodePacket(kSyn);
    CPPUNIT_ASSERT(packet.has_value());
    CPPUNIT_ASSERT(packet->opens && !packet->acknowledges);
    CPPUNIT_ASSERT(!packet->finishes && !packet->resets);
    CPPUNIT_ASSERT_EQUAL(std::string("100.64.0.7:40001"),
                         packet->flow.caller.ToString());
    CPPUNIT_ASSERT_EQUAL(std::string("198.18.0.1:443"),
                         packet->flow.service.ToString());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0x11223344}, packet->sequence);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, packet->cookie);
  }

  void RejectsIncompletePackets() {
    for (std::size_t size = 0; size < kSyn.size(); ++size) {
      CPPUNIT_ASSERT(!DecodePacket(ByteView(kSyn.data(), size)));
    }
    Bytes longer = kSyn;
    longer.push_back(0);
    CPPUNIT_ASSERT_EQUAL(std::string("packet.len"),
                         DecodePacket(longer).error().path);
    Bytes too_long(kPacketHeaderBytes + 1201);
    too_long[12] = 1201 >> 8;
    too_long[13] = 1201 & 0xff;
    CPPUNIT_ASSERT(!DecodePacket(too_long));
    // A target's reply to an opening packet is not an opening packet itself.
    Bytes answer = kSyn;
    answer[14] = 64 | 4;
    CPPUNIT_ASSERT(!DecodePacket(answer)->opens);
  }

  void WritesTargetAndCookieOnly() {
    const TargetPacketHeader header =
        EncodeTargetPacketHeader(kSyn, 0x7f3a91c2, 0xdeadbeef);
    const Bytes prefix(header.begin(), header.begin() + 8);
    CPPUNIT_ASSERT(prefix == Bytes({0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2}));
    Bytes expected = kSyn;
    expected[16] = 0xde;
    expected[17] = 0xad;
    expected[18] = 0xbe;
    expected[19] = 0xef;
    CPPUNIT_ASSERT(Bytes(header.begin() + 8, header.end()) == expected);
  }

  void WritesResets() {
    FlowKey flow;
    flow.caller = *Endpoint::Parse("100.64.0.7:40001");
    flow.service = *Endpoint::Parse("198.18.0.1:443");
    const ResetPacket reset = EncodeReset(flow, 0);
    const Bytes expected = {0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                            0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0x00,
                            0x00, 0x00, 0x00, 0x00, 0x01, 0xbb, 0xc6, 0x12,
                            0x00, 0x01, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07};
    CPPUNIT_ASSERT(Bytes(reset.begin(), reset.end()) == expected);
  }

  static Result<TargetAnnouncement> Heartbeat(const std::string& body) {
    return DecodeHeartbeat("i-7f3a91c2", body);
  }

  void ReadsHeartbeats() {
    const auto announcement = Heartbeat(MakeHeartbeat().dump());
    CPPUNIT_ASSERT(announcement.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x7f3a91c2}, announcement->number);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1'790'000'000'123},
                         announcement->started_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, announcement->sequence);
    CPPUNIT_ASSERT(announcement->warm_up_left ==
                   std::chrono::milliseconds(1500));
    CPPUNIT_ASSERT(announcement->state == AnnouncedState::kReady);
    json draining = MakeHeartbeat();
    draining["state"] = "draining";
    CPPUNIT_ASSERT(Heartbeat(draining.dump())->state ==
                   AnnouncedState::kDraining);
  }

  void HeartbeatErrorsNameTheKey() {
    for (const char* key : {"service", "address", "zone", "slots", "state",
                            "warmupLeftMs", "sequence", "born"}) {
      json missing = MakeHeartbeat();
      missing.erase(key);
      AssertRejected(missing, key, Heartbeat);
      json mistyped = MakeHeartbeat();
      mistyped[key] = json::array();
      AssertRejected(mistyped, key, Heartbeat);
    }
    json state = MakeHeartbeat();
    state["state"] = "asleep";
    AssertRejected(state, "state", Heartbeat);
    json slots = MakeHeartbeat();
    slots["slots"] = 0;
    AssertRejected(slots, "slots", Heartbeat);
    json born = MakeHeartbeat();
    born["born"] = 1.5;
    AssertRejected(born, "born", Heartbeat);
  }

  // Guards against entries of another writer that no reader can use: numbers
  // that are too large, addresses that cannot be sent to, names without bounds.
  void OddHeartbeatsAreRefused() {
    for (const char* key : {"born", "sequence", "slots", "warmupLeftMs"}) {
      for (const char* number :
           {"18446744073709551616", "1e400", "-1", "1e3", "99e99999999"}) {
        json odd = MakeHeartbeat();
        odd[key] = "@";
        std::string text = odd.dump();
        text.replace(text.find("\"@\""), 3, number);
        CPPUNIT_ASSERT_MESSAGE(text, !Heartbeat(text).has_value());
      }
    }
    json born = MakeHeartbeat();
    born["born"] = 253'402'300'800'000;
    AssertRejected(born, "born", Heartbeat);
    for (const char* address :
         {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999999999999",
          "10.0.0.1:-1", "0.0.0.0:80", "10.0.0.1", "[::1]:80", ""}) {
      json odd = MakeHeartbeat();
      odd["address"] = address;
      AssertRejected(odd, "address", Heartbeat);
    }
    for (const char* key : {"service", "zone"}) {
      json odd = MakeHeartbeat();
      odd[key] = std::string(1024, 'x');
      CPPUNIT_ASSERT(Heartbeat(odd.dump()).has_value());
      odd[key] = std::string(1025, 'x');
      AssertRejected(odd, key, Heartbeat);
    }
    json state = MakeHeartbeat();
    state["state"] = std::string(100'000, 'x');
    CPPUNIT_ASSERT(
        ErrorResponse(400, Heartbeat(state.dump()).error()).body.size() < 4096);
  }

  // Guards against a process that ends when it copies or frees such a value.
  void DeeplyNestedTextIsRefused() {
    constexpr std::size_t kLevels = 1'000'000;
    for (const char* open : {"[", "{\"a\":"}) {
      std::string nested;
      for (std::size_t i = 0; i < kLevels; ++i) nested += open;
      json body = MakeHeartbeat();
      body["more"] = "@";
      std::string text = body.dump();
      text.replace(text.find("\"@\""), 3, nested);
      CPPUNIT_ASSERT(!Heartbeat(text));
      CPPUNIT_ASSERT(!DecodeDeregistration("i-1", text));
      CPPUNIT_ASSERT(!DecodeConfig(text));
      CPPUNIT_ASSERT(!DecodeBootSettings(text));
    }
    // Brackets in strings do not count.
    json body = MakeHeartbeat();
    body["more"] = std::string(1000, '[') + "\\\"" + std::string(1000, '{');
    CPPUNIT_ASSERT(Heartbeat(body.dump()).has_value());
    body["more"] = json::parse(std::string(60, '[') + std::string(60, ']'));
    CPPUNIT_ASSERT(Heartbeat(body.dump()).has_value());
    body["more"] = json::parse(std::string(64, '[') + std::string(64, ']'));
    CPPUNIT_ASSERT(!Heartbeat(body.dump()));
  }

  void ReadsTargetIds() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x144eba1e34},
                         *DecodeTargetId("i-144eba1e34"));
    CPPUNIT_ASSERT_EQUAL(std::string("id"), DecodeTargetId("zzz").error().path);
    CPPUNIT_ASSERT(!DecodeTargetId("i-0123456789abcdef0"));
  }

  void ReadsDeregistrations() {
    CPPUNIT_ASSERT(!DecodeDeregistration("i-1", "")->started_ms.has_value());
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{5},
        *DecodeDeregistration("i-1", R"({"born":5})")->started_ms);
    CPPUNIT_ASSERT_EQUAL(
        std::string("born"),
        DecodeDeregistration("i-1", R"({"born":"x"})").error().path);
    CPPUNIT_ASSERT(!DecodeDeregistration("i-1", "{"));
  }

  // Guards against the end, and with it the reset of all flows, of a process
  // that serves, when the deregistration of an earlier one with its id comes
  // late.
  void LateDeregistrationEndsNoLaterProcess() {
    TargetAnnouncement known;
    known.number = 1;
    known.started_ms = 50;
    known.pool = "orders";
    known.address = *Endpoint::Parse("10.0.0.1:80");
    known.sequence = 7;
    const auto end = [&known](const char* body) {
      return EndOf(*DecodeDeregistration("i-1", body), known);
    };
    CPPUNIT_ASSERT(!end(R"({"born":40})").has_value());
    CPPUNIT_ASSERT(end(R"({"born":50})")->state == AnnouncedState::kEnded);
    CPPUNIT_ASSERT(!end("").has_value());
    // A process drains before it deregisters.
    known.state = AnnouncedState::kDraining;
    CPPUNIT_ASSERT(end("")->state == AnnouncedState::kEnded);
  }

  void ReadsConfigurations() {
    const auto table = DecodeConfig(MakeConfig().dump());
    CPPUNIT_ASSERT(table.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, table->version.value);
    const Route* first = table->Find(*Endpoint::Parse("198.18.0.1:8080"));
    CPPUNIT_ASSERT(first != nullptr);
    CPPUNIT_ASSERT(first->kind == RequestKind::kNonIdempotent);
    CPPUNIT_ASSERT_EQUAL(std::string("huvo11a"), first->pools[0].pool);
    const Route* second = table->Find(*Endpoint::Parse("198.18.0.1:8443"));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{10}, second->pools[1].weight);
    CPPUNIT_ASSERT(table->idle_timeout == std::chrono::seconds(12));
  }

  // Each kind that the platform names must survive the operator's text and the
  // encoding for balancers. A configuration with a kind that does not exist is
  // refused as a whole, since nothing says whether its requests may run twice.
  void ReadsEachRequestKind() {
    const struct {
      const char* name;
      RequestKind kind;
      bool is_retryable;
    } kinds[] = {{"idempotent", RequestKind::kIdempotent, true},
                 {"non_idempotent", RequestKind::kNonIdempotent, false},
                 {"download", RequestKind::kDownload, true},
                 {"upload", RequestKind::kUpload, false}};
    for (const auto& expected : kinds) {
      json config = MakeConfig();
      config["routes"][0]["type"] = expected.name;
      const auto table = DecodeConfig(config.dump());
      CPPUNIT_ASSERT_MESSAGE(expected.name, table.has_value());
      const auto copy = DecodeRouteTable(EncodeRouteTable(*table));
      CPPUNIT_ASSERT_MESSAGE(expected.name, copy.has_value());
      CPPUNIT_ASSERT(copy->routes[0].kind == expected.kind);
      CPPUNIT_ASSERT_EQUAL(expected.is_retryable, IsRetryable(expected.kind));
    }
    json unknown = MakeConfig();
    unknown["routes"][0]["type"] = "stream";
    AssertRejected(unknown, "routes[0].type", DecodeConfig);
  }

  void ReadsWarmUps() {
    json config = MakeConfig();
    json& service = config["services"][0];
    service["warmupS"] = 12.0005;
    service["warmupPerS"] = 2.3;
    const auto table = DecodeConfig(config.dump());
    CPPUNIT_ASSERT(table.has_value());
    CPPUNIT_ASSERT(table->pools[0].warm_up ==
                   std::chrono::milliseconds(12'001));
    CPPUNIT_ASSERT_EQUAL(2.3, table->pools[0].warm_up_rate);
    CPPUNIT_ASSERT(table->pools[1].warm_up == Duration{0});
    for (const char* key : {"warmupS", "warmupPerS"}) {
      for (const json& value : {json(-0.5), json(1e300), json("1")}) {
        json odd = MakeConfig();
        odd["services"][1][key] = value;
        AssertRejected(odd, std::string("services[1].") + key, DecodeConfig);
      }
    }
  }

  void ConfigurationErrorsNameTheKey() {
    json unknown = MakeConfig();
    unknown["routes"][0]["service"] = "nowhere";
    AssertRejected(unknown, "routes[0].pools", DecodeConfig);
    json twice = MakeConfig();
    twice["routes"][1]["pathPrefix"] = "/8080/";
    AssertRejected(twice, "routes[1].address", DecodeConfig);
    json timeout = MakeConfig();
    timeout["routes"][1]["timeoutMs"] = 0;
    AssertRejected(timeout, "routes[1].timeout", DecodeConfig);
    json weight = MakeConfig();
    weight["routes"][1]["targets"][0].erase("weight");
    AssertRejected(weight, "routes[1].targets[0].weight", DecodeConfig);
    for (const char* key : {"hostname", "pathPrefix", "type", "timeoutMs"}) {
      json missing = MakeConfig();
      missing["routes"][0].erase(key);
      AssertRejected(missing, std::string("routes[0].") + key, DecodeConfig);
    }
    for (const char* prefix : {"/", "//", "/0/", "/70000/", "8080", "/80a/"}) {
      json port = MakeConfig();
      port["routes"][0]["pathPrefix"] = prefix;
      AssertRejected(port, "routes[0].pathPrefix", DecodeConfig);
    }
    for (const char* key : {"version", "routes", "services"}) {
      json missing = MakeConfig();
      missing.erase(key);
      AssertRejected(missing, key, DecodeConfig);
    }
  }

  void RejectsTruncatedText() {
    const std::string config = MakeConfig().dump();
    for (std::size_t size = 0; size < config.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeConfig(config.substr(0, size)));
    }
    const std::string heartbeat = MakeHeartbeat().dump();
    for (std::size_t size = 0; size < heartbeat.size(); ++size) {
      CPPUNIT_ASSERT(!Heartbeat(heartbeat.substr(0, size)));
    }
    CPPUNIT_ASSERT(!Heartbeat("\xff\xfe not text"));
    CPPUNIT_ASSERT(!Heartbeat("[1]"));
  }

  void DocumentsKeepTheOperatorsText() {
    const std::string text = MakeConfig().dump(2) + "\n";
    const Document document = ToDocument(ConfigVersion{7}, text);
    CPPUNIT_ASSERT_EQUAL(text, *ConfigTextFromDocument(document));
    Document damaged = document;
    damaged.content = std::make_shared<const Bytes>(Bytes{1, 2, 3, 4, 5});
    CPPUNIT_ASSERT(!ConfigTextFromDocument(damaged));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCodecTest);

}  // namespace
}  // namespace sardinelead
