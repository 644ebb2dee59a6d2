#include "child.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>

namespace sardinelead::soak {

Child::~Child() {
  if (m_pid <= 0) return;
  kill(m_pid, SIGKILL);
  waitpid(m_pid, nullptr, 0);
}

void Child::Start(const std::vector<std::string>& arguments,
                  const std::string& settings_path) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  m_pid = fork();
  if (m_pid != 0) return;
  setenv("SARDINELEAD_BOOT", settings_path.c_str(), 1);
  const int log = open(m_log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(argv[0], argv.data());
  _exit(127);
}

void Child::Signal(int number) const {
  if (m_pid > 0) kill(m_pid, number);
}

int Child::Reap() {
  if (m_pid <= 0) return -1;
  int status = 0;
  if (waitpid(m_pid, &status, WNOHANG) != m_pid) return -1;
  m_pid = 0;
  return status;
}

void Child::LimitFiles(bool is_full) const {
  if (m_pid <= 0) return;
  rlimit limit{};
  prlimit(m_pid, RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = is_full ? 0 : limit.rlim_max;
  prlimit(m_pid, RLIMIT_FSIZE, &limit, nullptr);
}

}  // namespace sardinelead::soak
