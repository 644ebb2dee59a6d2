#ifndef SARDINELEAD_SRC_OBSERVED_SOCKET_H_
#define SARDINELEAD_SRC_OBSERVED_SOCKET_H_

// The HTTP server's socket of a connection. RESTinio does not read from a
// connection while a request of it is being handled, so it does not notice that
// the peer closed it. This class keeps a watch of each open connection, which
// answers that at any time and from any thread:
//
//   const auto watch = ConnectionWatch::Find(local_port, remote);
//   if (watch != nullptr && watch->IsClosed()) ...
//
// RESTinio creates the sockets itself and gives handlers no access to them, so
// the watches are found through a table of the whole process.

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace sardinelead {

class ConnectionWatch {
 public:
  using Key = std::pair<std::uint16_t, asio::ip::tcp::endpoint>;

  // Returns nullptr if there is no such connection.
  static std::shared_ptr<ConnectionWatch> Find(
      std::uint16_t local_port, const asio::ip::tcp::endpoint& remote);
  // Returns nullptr if `socket` has no peer any more.
  static std::shared_ptr<ConnectionWatch> Add(asio::ip::tcp::socket* socket);

  ConnectionWatch(Key key, int descriptor);

  // Whether either side closed the connection, the peer also in part.
  bool IsClosed();
  // Must be called before the descriptor is closed.
  void Remove();

 private:
  const Key m_key;
  std::mutex m_mutex;
  int m_descriptor;  // -1 once this side closed it.
};

class ObservedSocket : public asio::ip::tcp::socket {
 public:
  explicit ObservedSocket(asio::io_context& context)  // NOLINT: as asio's.
      : asio::ip::tcp::socket(context) {}
  // An accepted connection is moved out of the socket that accepted it.
  ObservedSocket(ObservedSocket&& other) noexcept;
  ObservedSocket& operator=(ObservedSocket&&) = delete;
  ~ObservedSocket();

  void close();

 private:
  void StopWatching();

  std::shared_ptr<ConnectionWatch> m_watch;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_OBSERVED_SOCKET_H_
