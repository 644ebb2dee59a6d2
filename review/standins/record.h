#ifndef REVIEW_STANDINS_RECORD_H_
#define REVIEW_STANDINS_RECORD_H_

// record.txt: what was sent, answered and run, with milliseconds since the
// start of the case. Thread-safe.

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

class Record {
 public:
  explicit Record(const std::string& path) : m_file(path) {}

  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto age = std::chrono::steady_clock::now() - m_start;
    m_file << std::chrono::duration_cast<std::chrono::milliseconds>(age).count()
           << " ms  " << text << std::endl;
  }

 private:
  const std::chrono::steady_clock::time_point m_start =
      std::chrono::steady_clock::now();
  std::mutex m_mutex;
  std::ofstream m_file;
};

}  // namespace review

#endif  // REVIEW_STANDINS_RECORD_H_
