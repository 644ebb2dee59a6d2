#ifndef SARDINELEAD_BLACKBOARD_H_
#define SARDINELEAD_BLACKBOARD_H_

// State shared by the controllers of a node. Each section is an immutable value
// that one controller replaces as a whole and any number of threads read. A
// published value never changes, so readers may hold a reference to it
// indefinitely.
//
// The packet path reads through a BlackboardReader, which costs one atomic load
// per section while nothing has changed.

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

#include "sardinelead/config.h"
#include "sardinelead/target.h"
#include "sardinelead/view.h"

namespace sardinelead {

// A published value protected by a mutex, with a generation counter.
template <typename T>
class Section {
 public:
  using Ptr = std::shared_ptr<const T>;

  explicit Section(Ptr initial) : m_value(std::move(initial)) {}

  void Publish(Ptr value) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_value = std::move(value);
    m_generation.fetch_add(1, std::memory_order_release);
  }

  Ptr Read() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_value;
  }

  std::uint64_t generation() const {  // NOLINT
    return m_generation.load(std::memory_order_acquire);
  }

 private:
  mutable std::mutex m_mutex;
  Ptr m_value;
  std::atomic<std::uint64_t> m_generation{1};
};

struct Blackboard {
  // The configuration in force on this node; its version never decreases.
  Section<Configuration> configuration{std::make_shared<Configuration>()};
  // Targets of this data centre.
  Section<TargetSnapshot> targets{std::make_shared<TargetSnapshot>()};
  // Balancers of this data centre and the flows that each of them holds.
  Section<View> view{std::make_shared<View>()};
};

// A thread-local cache of a section, refreshed after each publication.
template <typename T>
class SectionReader {
 public:
  explicit SectionReader(const Section<T>* section) : m_section(section) {}

  // Valid until the next call.
  const T& Get() {
    const std::uint64_t generation = m_section->generation();
    if (generation != m_generation) {
      m_value = m_section->Read();
      m_generation = generation;
    }
    return *m_value;
  }

 private:
  const Section<T>* m_section;
  std::uint64_t m_generation = 0;
  std::shared_ptr<const T> m_value;
};

// Cached readers of all sections of a blackboard. Not thread-safe.
class BlackboardReader {
 public:
  explicit BlackboardReader(const Blackboard* blackboard)
      : configuration(&blackboard->configuration),
        targets(&blackboard->targets),
        view(&blackboard->view) {}

  SectionReader<Configuration> configuration;
  SectionReader<TargetSnapshot> targets;
  SectionReader<View> view;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_BLACKBOARD_H_
