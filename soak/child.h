#ifndef SARDINELEAD_SOAK_CHILD_H_
#define SARDINELEAD_SOAK_CHILD_H_

// A child process that runs one program of the system under test.

#include <sys/types.h>

#include <string>
#include <vector>

namespace sardinelead::soak {

class Child {
 public:
  Child(std::string name, std::string log_path)
      : m_name(std::move(name)), m_log_path(std::move(log_path)) {}
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  void Start(const std::vector<std::string>& arguments,
             const std::string& settings_path);
  void Signal(int number) const;
  // Reaps the process if it has exited. Returns its wait status, or -1.
  int Reap();
  bool IsRunning() const { return m_pid > 0; }
  // Simulates a full disk: a file size limit makes writes beyond it fail.
  void LimitFiles(bool is_full) const;
  const std::string& name() const { return m_name; }  // NOLINT

 private:
  std::string m_name;
  std::string m_log_path;
  pid_t m_pid = 0;
};

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_CHILD_H_
