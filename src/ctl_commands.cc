#include "ctl_commands.h"

#include <openssl/rand.h>

#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <sstream>
#include <utility>

#include "sardinelead/access.h"
#include "sardinelead/config.h"
#include "text_table.h"

namespace sardinelead {
namespace {

using nlohmann::json;
using Arguments = std::vector<std::string>;
using Rows = std::vector<std::vector<std::string>>;

constexpr int kJsonIndent = 2;

std::string Dump(const json& body) { return body.dump(kJsonIndent) + "\n"; }

CtlResult Usage(const std::string& message) {
  return {CtlExit::kUsage, "", message + "\n"};
}

CtlResult ErrorResult(const Error& error) {
  const bool reached =
      error.code != ErrorCode::kIo && error.code != ErrorCode::kUnavailable;
  return {reached ? CtlExit::kRefused : CtlExit::kUnreachable, "",
          error.ToString() + "\n"};
}

// Formats a field of `object` as a table cell; "-" if missing or null.
std::string Cell(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) return "-";
  if (found->is_string()) return found->get<std::string>();
  if (!found->is_number_float()) return found->dump();
  std::ostringstream text;
  text.precision(4);
  text << found->get<double>();
  return text.str();
}

Rows MakeRows(const json& list, const std::vector<const char*>& keys) {
  Rows rows(1);
  for (const char* key : keys) rows.front().emplace_back(key);
  for (const json& object : list) {
    rows.emplace_back();
    for (const char* key : keys) rows.back().push_back(Cell(object, key));
  }
  return rows;
}

// Parses a JSON object from the file, or from standard input if `path` is "-".
Result<json> ReadJsonFile(const std::string& path) {
  std::ifstream file;
  if (path != "-") file.open(path);
  std::istream& in = path == "-" ? std::cin : file;
  if (!in) return Fail(ErrorCode::kIo, "cannot read the file", path);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  auto object = ParseJsonObject(text);
  if (!object) object.error().path = path;
  return object;
}

std::string GenerateId() {
  std::array<std::uint8_t, 32> random{};
  RAND_bytes(random.data(), static_cast<int>(random.size()));
  return ToHex(random).substr(0, 16);
}

CtlExit ExitCodeOf(SubmitOutcome outcome) {
  switch (outcome) {
    case SubmitOutcome::kAccepted:
      return CtlExit::kDone;
    case SubmitOutcome::kRefused:
      return CtlExit::kRefused;
    case SubmitOutcome::kUnknown:
      return CtlExit::kUnknown;
    case SubmitOutcome::kUnreachable:
      return CtlExit::kUnreachable;
  }
  return CtlExit::kUnknown;
}

CtlResult Submit(OperatorClient* client, const CtlOptions& options,
                 const std::string& path, const json& change) {
  const SubmitResult answer = client->Submit(path, change);
  json body = answer.body.is_object() ? answer.body : json::object();
  body["outcome"] = Name(answer.outcome);
  body["id"] = change["id"];
  CtlResult result{ExitCodeOf(answer.outcome), "", ""};
  const std::string id = change["id"].get<std::string>();
  result.out = options.json ? Dump(body)
                            : std::string(Name(answer.outcome)) + " id " + id +
                                  " version " + Cell(body, "version") + "\n";
  if (body.contains("error") && body["error"].is_object()) {
    const json& error = body["error"];
    const std::string path = error.value("path", "");
    result.err = path.empty() ? "" : path + ": ";
    result.err += Cell(error, "message") + "\n";
  }
  if (answer.outcome == SubmitOutcome::kUnknown) {
    result.err += "It may have run. Send it again with --id=" + id + "\n";
  }
  if (answer.outcome == SubmitOutcome::kRefused) {
    result.err += "Nothing ran.\n";
  }
  return result;
}

// Reads and validates a patch, with the id and base from the command line.
Result<json> ReadPatch(const CtlOptions& options, const std::string& path) {
  auto patch = ReadJsonFile(path);
  if (!patch) return patch;
  if (!options.id.empty()) (*patch)["id"] = options.id;
  if (!patch->contains("id")) (*patch)["id"] = GenerateId();
  if (!options.base.empty()) {
    (*patch)["base"] = json::parse(options.base, nullptr, false);
  }
  const auto read = PatchFromJson(*patch);
  if (!read) return tl::unexpected<Error>(read.error());
  return patch;
}

CtlResult RunPatch(OperatorClient* client, const CtlOptions& options,
                   const Arguments& arguments) {
  if (arguments.size() != 1) return Usage("patch needs one FILE, or -");
  const auto patch = ReadPatch(options, arguments[0]);
  if (!patch) return Usage(patch.error().ToString());
  return Submit(client, options, "/v1/patches", *patch);
}

CtlResult RunCheckConfig(OperatorClient* client, const CtlOptions& options,
                         const Arguments& arguments) {
  if (arguments.size() != 1) return Usage("check-config needs one FILE, or -");
  auto object = ReadPatch(options, arguments[0]);
  if (!object) return Usage(object.error().ToString());
  auto current_json = client->GetConfiguration();
  if (!current_json) return ErrorResult(current_json.error());
  current_json->erase("stale");
  current_json->erase("staleness_ms");
  const auto current = ConfigurationFromJson(*current_json);
  if (!current) return ErrorResult(current.error());
  const auto next = Apply(*current, PatchFromJson(*object).value());
  if (!next) return {CtlExit::kRefused, "", next.error().ToString() + "\n"};
  const json body = {{"would_apply", true}, {"version", next->version.value}};
  return {CtlExit::kDone,
          options.json ? Dump(body)
                       : "would make version " +
                             std::to_string(next->version.value) + "\n",
          ""};
}

CtlResult RunGet(OperatorClient* client, const CtlOptions& options,
                 const Arguments&) {
  const auto body = client->GetConfiguration();
  if (!body) return ErrorResult(body.error());
  if (options.json) return {CtlExit::kDone, Dump(*body), ""};
  std::string text =
      "version " + Cell(*body, "version") +
      (body->value("stale", true) ? " (may be stale)\n\n" : "\n\n");
  text += FormatTable(MakeRows(body->at("workspaces"), {"name", "share"}));
  text += "\n" + FormatTable(MakeRows(body->at("services"),
                                      {"workspace", "name", "id", "address",
                                       "protocol", "answers"}));
  return {CtlExit::kDone, text, ""};
}

CtlResult RunHistory(OperatorClient* client, const CtlOptions& options,
                     const Arguments&) {
  const auto body =
      client->GetFromControl("/v1/history?after=" + options.after);
  if (!body) return ErrorResult(body.error());
  if (options.json) return {CtlExit::kDone, Dump(*body), ""};
  json list = json::array();
  for (const json& record : body->at("patches")) {
    const json& patch = record.at("patch");
    list.push_back({{"version", record.at("version")},
                    {"operator", record.at("operator")},
                    {"id", patch.at("id")},
                    {"operations", patch.at("operations").size()}});
  }
  return {
      CtlExit::kDone,
      FormatTable(MakeRows(list, {"version", "operator", "id", "operations"})),
      ""};
}

// Concatenates the arrays under `key` from all balancers and adds the
// balancer's address to each item.
Result<json> GetFromBalancers(OperatorClient* client, const std::string& path,
                              const char* key) {
  json list = json::array();
  Result<json> last = Fail(ErrorCode::kIo, "no balancer is configured");
  bool reached = false;
  for (auto& [node, body] :
       client->GetFromEach(client->settings().balancers, path)) {
    if (!body) last = tl::unexpected<Error>(body.error());
    if (!body) continue;
    reached = true;
    for (json& item : body->at(key)) {
      item["balancer"] = node.ToString();
      list.push_back(std::move(item));
    }
  }
  if (!reached) return last;
  return list;
}

CtlResult RunTargets(OperatorClient* client, const CtlOptions& options,
                     const Arguments&) {
  const auto all = GetFromBalancers(client, "/v1/targets", "targets");
  if (!all) return ErrorResult(all.error());
  // All balancers of a data centre list the same targets.
  std::map<std::string, json> by_id;
  for (const json& target : *all) by_id.emplace(Cell(target, "id"), target);
  json list = json::array();
  for (const auto& [id, target] : by_id) list.push_back(target);
  if (options.json) return {CtlExit::kDone, Dump({{"targets", list}}), ""};
  return {CtlExit::kDone,
          FormatTable(MakeRows(
              list, {"id", "service", "name", "tunnel", "slots", "lease",
                     "draining", "state", "weight", "health"})),
          ""};
}

CtlResult RunDrain(OperatorClient* client, const CtlOptions& options,
                   const Arguments& arguments) {
  if (arguments.size() != 1) return Usage("drain needs one target's id");
  const auto body =
      client->PostToBalancers("/v1/targets/" + arguments[0] + "/drain");
  if (!body) return ErrorResult(body.error());
  return {CtlExit::kDone,
          options.json ? Dump(*body) : "draining " + arguments[0] + "\n", ""};
}

CtlResult RunReplace(OperatorClient* client, const CtlOptions& options,
                     const Arguments&) {
  if (options.remove == 0 && options.add == 0) {
    return Usage("replace needs --remove=ID, --add=ID or both");
  }
  json change = {{"id", options.id.empty() ? GenerateId() : options.id}};
  if (options.remove != 0) change["remove"] = options.remove;
  if (options.add != 0) change["add"] = options.add;
  return Submit(client, options, "/v1/replicas/replace", change);
}

CtlResult RunEvacuations(OperatorClient* client, const CtlOptions& options,
                         const Arguments&) {
  const auto body = client->GetFromControl("/v1/evacuations");
  if (!body) return ErrorResult(body.error());
  if (options.json) return {CtlExit::kDone, Dump(*body), ""};
  return {CtlExit::kDone,
          FormatTable(MakeRows(body->at("evacuations"),
                               {"data_centre", "active", "log_index"})),
          ""};
}

// An order has no id: one that finds the state as wanted changes nothing.
CtlResult RunEvacuate(OperatorClient* client, const CtlOptions& options,
                      const Arguments& arguments) {
  const bool is_valid = arguments.size() == 2 &&
                        (arguments[1] == "start" || arguments[1] == "finish");
  if (!is_valid) return Usage("evacuate needs DATA_CENTRE start|finish");
  const SubmitResult answer = client->Submit(
      "/v1/evacuations",
      {{"data_centre", arguments[0]}, {"active", arguments[1] == "start"}});
  CtlResult result{ExitCodeOf(answer.outcome), "", ""};
  result.out = options.json ? Dump(answer.body)
                            : std::string(Name(answer.outcome)) + "\n";
  if (answer.outcome == SubmitOutcome::kAccepted) return result;
  const auto error = answer.body.find("error");
  if (answer.body.is_object() && error != answer.body.end()) {
    result.err = Cell(*error, "message") + "\n";
  }
  return result;
}

CtlResult ShowHistograms(OperatorClient* client, const CtlOptions& options) {
  const auto list = GetFromBalancers(client, "/v1/histograms", "histograms");
  if (!list) return ErrorResult(list.error());
  if (options.json) return {CtlExit::kDone, Dump({{"histograms", *list}}), ""};
  return {CtlExit::kDone,
          FormatTable(
              MakeRows(*list, {"workspace", "service", "name", "balancer",
                               "count", "mean", "p50", "p90", "p99", "max"})),
          ""};
}

json StatusRow(const NodeResponse& answer, const char* kind) {
  json row = answer.body ? *answer.body : json::object();
  row["kind"] = kind;
  row["address"] = answer.node.ToString();
  row["reached"] = answer.body.has_value();
  if (!answer.body) row["error"] = answer.body.error().ToString();
  return row;
}

CtlResult RunStatus(OperatorClient* client, const CtlOptions& options,
                    const Arguments&) {
  if (options.histograms) return ShowHistograms(client, options);
  json list = json::array();
  const OperatorClientSettings& settings = client->settings();
  for (const auto& answer :
       client->GetFromEach(settings.control, "/v1/status")) {
    list.push_back(StatusRow(answer, "control"));
  }
  for (const auto& answer :
       client->GetFromEach(settings.balancers, "/v1/status")) {
    list.push_back(StatusRow(answer, "balancer"));
  }
  bool all_reached = true;
  for (const json& row : list) all_reached &= row["reached"].get<bool>();
  CtlResult result;
  result.exit = all_reached ? CtlExit::kDone : CtlExit::kUnreachable;
  result.out =
      options.json
          ? Dump({{"nodes", list}})
          : FormatTable(MakeRows(
                list, {"kind", "node", "address", "data_centre", "reached",
                       "version", "role", "staleness_ms", "flows"}));
  return result;
}

}  // namespace

const std::vector<CtlCommand>& CtlCommands() {
  static const auto* const kCommands = new std::vector<CtlCommand>{
      {"patch", "FILE",
       "submits a patch (JSON; - for standard input) against the version in\n"
       "    its \"base\" or --base, under its \"id\" or --id",
       RunPatch},
      {"check-config", "FILE",
       "says whether a patch would apply to the current configuration; sends\n"
       "    no change",
       RunCheckConfig},
      {"get", "", "prints the newest configuration", RunGet},
      {"history", "", "lists accepted patches; --after=VERSION", RunHistory},
      {"targets", "", "lists targets with state, weight and health",
       RunTargets},
      {"status", "",
       "shows every VM; --histograms shows those of each workspace and service",
       RunStatus},
      {"drain", "TARGET", "stops new flows to a target, given by id", RunDrain},
      {"replace", "", "replaces a control VM: --remove=ID, --add=ID or both",
       RunReplace},
      {"evacuations", "", "lists the data centres that are or were evacuated",
       RunEvacuations},
      {"evacuate", "DATA_CENTRE start|finish",
       "starts or finishes the evacuation of a data centre", RunEvacuate},
  };
  return *kCommands;
}

}  // namespace sardinelead
