#include "observed_socket.h"

#include <poll.h>

#include <map>

namespace sardinelead {
namespace {

struct WatchTable {
  std::mutex mutex;
  std::map<ConnectionWatch::Key, std::weak_ptr<ConnectionWatch>> watches;
};

WatchTable& Table() {
  static auto* const kTable = new WatchTable;
  return *kTable;
}

}  // namespace

ConnectionWatch::ConnectionWatch(Key key, int descriptor)
    : m_key(std::move(key)), m_descriptor(descriptor) {}

std::shared_ptr<ConnectionWatch> ConnectionWatch::Find(
    std::uint16_t local_port, const asio::ip::tcp::endpoint& remote) {
  const std::lock_guard<std::mutex> lock(Table().mutex);
  const auto found = Table().watches.find({local_port, remote});
  return found == Table().watches.end() ? nullptr : found->second.lock();
}

std::shared_ptr<ConnectionWatch> ConnectionWatch::Add(
    asio::ip::tcp::socket* socket) {
  asio::error_code error;
  const auto local = socket->local_endpoint(error);
  if (error) return nullptr;
  const auto remote = socket->remote_endpoint(error);
  if (error) return nullptr;
  const Key key{local.port(), remote};
  auto watch = std::make_shared<ConnectionWatch>(key, socket->native_handle());
  const std::lock_guard<std::mutex> lock(Table().mutex);
  Table().watches[key] = watch;
  return watch;
}

bool ConnectionWatch::IsClosed() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_descriptor < 0) return true;
  pollfd poll_state{m_descriptor, POLLRDHUP, 0};
  return poll(&poll_state, 1, 0) > 0;
}

void ConnectionWatch::Remove() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_descriptor = -1;
  }
  const std::lock_guard<std::mutex> lock(Table().mutex);
  const auto found = Table().watches.find(m_key);
  const bool is_own =
      found != Table().watches.end() && found->second.lock().get() == this;
  if (is_own) Table().watches.erase(found);
}

ObservedSocket::ObservedSocket(ObservedSocket&& other) noexcept
    : asio::ip::tcp::socket(std::move(other)),
      m_watch(std::move(other.m_watch)) {
  if (m_watch == nullptr && is_open()) m_watch = ConnectionWatch::Add(this);
}

ObservedSocket::~ObservedSocket() { StopWatching(); }

void ObservedSocket::close() {
  StopWatching();
  asio::ip::tcp::socket::close();
}

void ObservedSocket::StopWatching() {
  if (m_watch != nullptr) m_watch->Remove();
  m_watch.reset();
}

}  // namespace sardinelead
