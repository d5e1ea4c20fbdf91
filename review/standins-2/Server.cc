// A server of a plain service, in a process of its own, so that a test can kill
// it. Its answers have no length and end with their channel: one half is sent
// at once, the other one after --work_ms. Writes what it began to run, and what
// it has written whole, to --log.
//
//   Server --ip=IP --id=ID --work_ms=T --log=FILE
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>

namespace {

std::mutex lock;
std::ofstream record;
std::string id = "i-1";
int work_ms = 300;

void Record(const std::string& line) {
  const std::lock_guard guard(lock);
  const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  record << wall.count() << " " << line << std::endl;
}

std::string HeaderOf(const std::string& head, const std::string& name) {
  size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos)
    return "";
  at += name.size() + 4;
  return head.substr(at, head.find("\r\n", at) - at);
}

void Handle(int fd) {
  std::string input;
  char buffer[65536];
  size_t end;
  while ((end = input.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
    if (n <= 0) {
      close(fd);
      return;
    }
    input.append(buffer, static_cast<size_t>(n));
  }
  std::string head = input.substr(0, end + 2);
  for (char& letter : head) {
    if (letter >= 'A' && letter <= 'Z')
      letter = static_cast<char>(letter + 32);
  }
  const size_t length =
      std::strtoul(HeaderOf(head, "content-length").c_str(), nullptr, 10);
  while (input.size() < end + 4 + length) {
    const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
    if (n <= 0)
      break;
    input.append(buffer, static_cast<size_t>(n));
  }
  const std::string attempt = HeaderOf(head, "x-attempt-id");
  const auto send_all = [fd](const std::string& bytes) {
    return send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  };
  if (HeaderOf(head, "x-expect-instance") != id) {
    send_all("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id +
             "\r\nContent-Length: 0\r\n\r\n");
    close(fd);
    return;
  }
  Record("run attempt=" + attempt + " server=" + id);
  send_all("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
           "\r\nX-Server-Stamp: stamp-" + attempt +
           "\r\nConnection: close\r\n\r\nfirst half of " + attempt + ", ");
  std::this_thread::sleep_for(std::chrono::milliseconds(work_ms));
  if (send_all("done " + attempt))
    Record("whole attempt=" + attempt);
  shutdown(fd, SHUT_WR);
  close(fd);
}

}  // namespace

int main(int count, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  std::string ip, log = "server.log";
  for (int i = 1; i < count; ++i) {
    const std::string word = arguments[i];
    const size_t equals = word.find('=');
    const std::string name = word.substr(0, equals);
    const std::string value = word.substr(equals + 1);
    if (name == "--ip")
      ip = value;
    if (name == "--id")
      id = value;
    if (name == "--work_ms")
      work_ms = std::stoi(value);
    if (name == "--log")
      log = value;
  }
  record.open(log, std::ios::app);
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(8000);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(listener, 256) != 0) {
    std::cerr << "cannot listen at " << ip << "\n";
    return 2;
  }
  Record("server " + id + " started");
  while (true) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd < 0)
      continue;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread(Handle, fd).detach();
  }
}
