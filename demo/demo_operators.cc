// Simulates operators that submit conflicting patches concurrently over HTTP
// while control VMs are killed. On SIGTERM they stop, and every answer received
// is compared with the history that the control VMs report.
//
// Prints each inconsistency. Exits with 0 if there is none.

#include <gflags/gflags.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "clock.h"
#include "demo_traffic.h"
#include "operator_client.h"

DEFINE_string(control, "", "HTTP addresses of the control VMs, with commas");
DEFINE_string(token_file, "", "file with a token for all workspaces");
DEFINE_int32(operators, 4, "operators that race");
DEFINE_int32(pause_ms, 40, "longest pause of an operator between patches");
DEFINE_int32(settle_s, 15, "how long the control VMs may take to agree again");
DEFINE_uint64(seed, 1, "seed of the operators' choices");

namespace sardinelead {
namespace {

using nlohmann::json;

// Control VMs report only the latest 1,000 patches, and all patches are
// compared.
constexpr std::uint64_t kMaxVersions = 900;

volatile std::sig_atomic_t g_stop = 0;
void OnSignal(int) { g_stop = 1; }

struct ReportedOutcome {
  SubmitOutcome outcome = SubmitOutcome::kUnknown;
  std::uint64_t version = 0;
  std::uint64_t base = 0;
};

// The answers received, by patch id. Thread-safe.
class Answers {
 public:
  // Returns an error if the id already has a different known outcome.
  std::optional<std::string> Add(const std::string& id,
                                 const ReportedOutcome& reported) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto [found, is_new] = m_by_id.emplace(id, reported);
    ReportedOutcome& before = found->second;
    if (is_new) return std::nullopt;
    const bool was_known = before.outcome == SubmitOutcome::kAccepted ||
                           before.outcome == SubmitOutcome::kRefused;
    const bool is_known = reported.outcome == SubmitOutcome::kAccepted ||
                          reported.outcome == SubmitOutcome::kRefused;
    if (!was_known) before = reported;
    if (!was_known || !is_known) return std::nullopt;
    if (before.outcome == reported.outcome &&
        before.version == reported.version) {
      return std::nullopt;
    }
    return "patch " + id + " was answered twice, and differently";
  }
  std::map<std::string, ReportedOutcome> all() const {  // NOLINT
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_by_id;
  }

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, ReportedOutcome> m_by_id;
};

class Faults {
 public:
  void Add(const std::string& what) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_count;
    std::printf("FAULT: %s\n", what.c_str());
  }
  int count() const { return m_count; }  // NOLINT

 private:
  std::mutex m_mutex;
  int m_count = 0;
};

std::string Token() {
  std::string token;
  std::ifstream(FLAGS_token_file) >> token;
  return token;
}

OperatorClient MakeClient(std::vector<Endpoint> control,
                          std::chrono::seconds deadline) {
  OperatorClientSettings settings;
  settings.control = std::move(control);
  settings.token = Token();
  settings.deadline = deadline;
  settings.call_deadline = std::chrono::milliseconds(1500);
  OperatorClientHooks hooks;
  hooks.call = SendHttpRequest;
  hooks.now = SteadyNow;
  hooks.sleep = [](Duration pause) { std::this_thread::sleep_for(pause); };
  return {settings, hooks};
}

class ConcurrentOperator {
 public:
  ConcurrentOperator(int number, Answers* answers, Faults* faults)
      : m_name("op" + std::to_string(number)),
        m_answers(answers),
        m_faults(faults),
        m_random(FLAGS_seed * 1000 + static_cast<std::uint64_t>(number)) {}

  void Run() {
    while (g_stop == 0) {
      Step();
      const auto pause = static_cast<int>(
          m_random() % static_cast<std::uint64_t>(FLAGS_pause_ms));
      std::this_thread::sleep_for(std::chrono::milliseconds(pause));
    }
  }

 private:
  // Submits a patch against the version just read, and sometimes submits it
  // twice.
  void Step() {
    auto control = ParseEndpoints(FLAGS_control);
    std::shuffle(control.begin(), control.end(), m_random);
    OperatorClient client = MakeClient(control, std::chrono::seconds(3));
    const auto current = client.GetConfiguration();
    if (!current) return;
    const auto base = current->value("version", std::uint64_t{0});
    if (base >= kMaxVersions) return;
    const json patch = MakePatch(base);
    Submit(&client, patch, base);
    if (m_random() % 4 == 0) Submit(&client, patch, base);
  }

  json MakePatch(std::uint64_t base) {
    const std::uint64_t number = ++m_patches;
    json operations = json::array();
    if (base == 0) {
      operations.push_back({{"kind", "put-workspace"},
                            {"workspace", {{"name", "linaw"}, {"share", 1}}}});
    }
    operations.push_back({{"kind", "put-service"},
                          {"service",
                           {{"workspace", "linaw"},
                            {"name", "orders"},
                            {"address", "192.0.2.1:80"},
                            {"protocol", "tcp"},
                            {"idle_timeout_s", 60 + number % 1000}}}});
    return {{"id", m_name + "-" + std::to_string(number)},
            {"base", base},
            {"operations", operations}};
  }

  void Submit(OperatorClient* client, const json& patch, std::uint64_t base) {
    const SubmitResult answer = client->Submit("/v1/patches", patch);
    ReportedOutcome reported{answer.outcome, 0, base};
    if (answer.body.is_object()) {
      reported.version = answer.body.value("version", std::uint64_t{0});
    }
    const auto fault = m_answers->Add(patch["id"], reported);
    if (fault) m_faults->Add(*fault);
  }

  const std::string m_name;
  Answers* const m_answers;
  Faults* const m_faults;
  std::mt19937_64 m_random;
  std::uint64_t m_patches = 0;
};

// Patch ids by version, as reported by one control VM.
using History = std::map<std::uint64_t, std::string>;

std::optional<History> ReadHistory(const Endpoint& node) {
  OperatorClient client = MakeClient({node}, std::chrono::seconds(3));
  const auto body = client.GetFromControl("/v1/history");
  if (!body) return std::nullopt;
  History history;
  for (const json& record : body->at("patches")) {
    history[record.at("version")] = record.at("patch").at("id");
  }
  return history;
}

// Waits until all control VMs report the same history and returns it, or
// nullopt after FLAGS_settle_s.
std::optional<History> AwaitAgreement(const std::vector<Endpoint>& control) {
  const TimePoint end = SteadyNow() + std::chrono::seconds(FLAGS_settle_s);
  while (SteadyNow() < end) {
    std::set<History> histories;
    for (const Endpoint& node : control) {
      const auto history = ReadHistory(node);
      histories.insert(history.value_or(History{{0, node.ToString()}}));
    }
    const bool agreed = histories.size() == 1 && !histories.begin()->empty() &&
                        histories.begin()->count(0) == 0;
    if (agreed) return *histories.begin();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  return std::nullopt;
}

void CheckHistory(const History& history, Faults* faults) {
  std::set<std::string> ids;
  std::uint64_t expected = 1;
  for (const auto& [version, id] : history) {
    if (version != expected++) {
      faults->Add("the history lacks a version before " +
                  std::to_string(version));
      return;
    }
    if (!ids.insert(id).second) faults->Add("patch " + id + " ran twice");
  }
}

void CheckAnswers(const std::map<std::string, ReportedOutcome>& answers,
                  const History& history, Faults* faults) {
  std::map<std::string, std::uint64_t> version_of;
  for (const auto& [version, id] : history) version_of[id] = version;
  for (const auto& [id, reported] : answers) {
    const auto found = version_of.find(id);
    const bool ran = found != version_of.end();
    const bool is_accepted = reported.outcome == SubmitOutcome::kAccepted;
    if (is_accepted && (!ran || found->second != reported.version)) {
      faults->Add("accepted patch " + id + " is not in the history");
    }
    if (ran && found->second != reported.base + 1) {
      faults->Add("patch " + id + " ran on another version than it named");
    }
    const bool reported_not_run =
        reported.outcome == SubmitOutcome::kRefused ||
        reported.outcome == SubmitOutcome::kUnreachable;
    if (reported_not_run && ran) faults->Add("refused patch " + id + " ran");
    if (version_of.count(id) == 0) continue;
    version_of.erase(id);
  }
  for (const auto& [id, version] : version_of) {
    faults->Add("patch " + id + " ran and was never sent");
  }
}

int Main() {
  std::signal(SIGTERM, OnSignal);
  Answers answers;
  Faults faults;
  std::vector<std::thread> threads;
  for (int i = 1; i <= FLAGS_operators; ++i) {
    threads.emplace_back(
        [&, i] { ConcurrentOperator(i, &answers, &faults).Run(); });
  }
  for (std::thread& thread : threads) thread.join();
  const auto history = AwaitAgreement(ParseEndpoints(FLAGS_control));
  if (!history) faults.Add("the control VMs did not agree on one history");
  if (history) {
    CheckHistory(*history, &faults);
    CheckAnswers(answers.all(), *history, &faults);
  }
  std::map<std::string, int> counts;
  for (const auto& [id, answer] : answers.all()) ++counts[Name(answer.outcome)];
  std::printf("%d accepted, %d refused, %d unknown, %d unreachable, ",
              counts["accepted"], counts["refused"], counts["unknown"],
              counts["unreachable"]);
  std::printf("%zu versions, %d faults\n", history ? history->size() : 0,
              faults.count());
  const bool has_run = counts["accepted"] > 0 && counts["refused"] > 0;
  if (!has_run) std::printf("FAULT: operators did not race\n");
  return faults.count() == 0 && has_run ? 0 : 1;
}

}  // namespace
}  // namespace sardinelead

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return sardinelead::Main();
}
