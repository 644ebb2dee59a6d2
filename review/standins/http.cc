#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace review {
namespace {

int MillisecondsUntil(Time end) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      end - Clock::now());
  return left.count() > 0 ? static_cast<int>(left.count()) : 0;
}

bool IsComplete(const std::string& text, HttpAnswer* answer) {
  const std::size_t end = text.find("\r\n\r\n");
  if (end == std::string::npos || text.size() < 12) return false;
  std::size_t length = 0;
  std::size_t at = text.find("Content-Length: ");
  if (at != std::string::npos && at < end) {
    length = static_cast<std::size_t>(std::atoll(text.c_str() + at + 16));
  }
  if (text.size() < end + 4 + length) return false;
  answer->status = std::atoi(text.c_str() + 9);
  answer->body = text.substr(end + 4, length);
  return true;
}

}  // namespace

HttpAnswer Call(const Address& server, const std::string& method,
                const std::string& path, const std::string& body,
                std::chrono::milliseconds deadline) {
  HttpAnswer answer;
  const Time end = Clock::now() + deadline;
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK,
                            0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(server.ip);
  address.sin_port = htons(server.port);
  connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  std::string out = method + " " + path + " HTTP/1.1\r\nHost: " +
                    server.Text() + "\r\nConnection: close\r\n";
  if (!body.empty()) out += "Content-Type: application/json\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string in;
  while (Clock::now() < end) {
    const short events = out.empty() ? POLLIN : POLLIN | POLLOUT;
    pollfd ready{handle, events, 0};
    if (poll(&ready, 1, MillisecondsUntil(end)) != 1) break;
    if ((ready.revents & POLLOUT) != 0 && !out.empty()) {
      const ssize_t sent = send(handle, out.data(), out.size(), MSG_NOSIGNAL);
      if (sent < 0) break;
      out.erase(0, static_cast<std::size_t>(sent));
    }
    if ((ready.revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
    char buffer[65536];
    const ssize_t count = recv(handle, buffer, sizeof(buffer), 0);
    if (count <= 0) break;
    in.append(buffer, static_cast<std::size_t>(count));
    if (IsComplete(in, &answer)) break;
  }
  close(handle);
  return answer;
}

}  // namespace review
