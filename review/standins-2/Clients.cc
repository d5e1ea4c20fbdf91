// Clients of a gateway: sends requests at a steady rate to one or more
// gateways, each on a channel of its own, and writes one line for each to the
// standard output: when it was sent, its attempt id, its path, the status, what
// became of it (whole, cut, closed, refused, late, foreign) and how long it
// took.
//
//   Clients --to=IP:PORT[,IP:PORT] --path=/draft/x --prefix=a --per_second=N
//           --seconds=N [--method=POST] [--key=KEY] [--deadline_ms=N]
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

std::mutex output;

struct Outcome {
  int status = 0;
  std::string what;
};

Outcome Ask(const std::string& ip,
            int port,
            const std::string& request,
            const std::string& attempt,
            int deadline_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const auto until = Clock::now() + milliseconds(deadline_ms);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  timeval wait{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
  Outcome outcome;
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    outcome.what = "unreachable";
    return outcome;
  }
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  std::string input;
  bool is_late = false, is_reset = false;
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
        until - Clock::now());
    if (left.count() <= 0) {
      is_late = true;
      break;
    }
    timeval time{left.count() / 1000000, left.count() % 1000000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    char buffer[65536];
    const ssize_t n = recv(fd, buffer, sizeof buffer, 0);
    if (n == 0)
      break;
    if (n < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) {
        is_late = true;
      } else {
        is_reset = true;
      }
      break;
    }
    input.append(buffer, static_cast<size_t>(n));
    const size_t head = input.find("\r\n\r\n");
    if (head == std::string::npos)
      continue;
    const size_t length = input.find("ontent-length: ");
    if (length != std::string::npos && length < head) {
      const size_t bytes =
          std::strtoul(input.c_str() + length + 15, nullptr, 10);
      if (input.size() >= head + 4 + bytes)
        break;
    } else if (input.ends_with("0\r\n\r\n")) {
      break;
    }
  }
  close(fd);
  const size_t head = input.find("\r\n\r\n");
  if (head != std::string::npos)
    outcome.status = std::atoi(input.c_str() + 9);
  const bool is_chunked =
      input.substr(0, head).find("hunked") != std::string::npos;
  if (is_late) {
    outcome.what = head == std::string::npos ? "late" : "late-cut";
  } else if (head == std::string::npos) {
    outcome.what = is_reset ? "reset" : "closed";
  } else if (outcome.status != 200) {
    outcome.what = outcome.status == 503 ? "refused" : "failed";
  } else if (is_chunked && !input.ends_with("0\r\n\r\n")) {
    outcome.what = "cut";
  } else {
    bool is_right = input.find("stamp-" + attempt) != std::string::npos;
    if (is_chunked) {
      for (int n = 1; n <= 20; ++n) {
        const std::string piece =
            "data: " + attempt + "#" + std::to_string(n) + "\n";
        const size_t at = input.find(piece);
        is_right = is_right && at != std::string::npos &&
                   input.find(piece, at + 1) == std::string::npos;
      }
    } else {
      is_right = is_right && input.ends_with("done " + attempt);
    }
    outcome.what = is_right ? "whole" : "foreign";
  }
  return outcome;
}

}  // namespace

int main(int count, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  std::string to, path = "/draft/x", prefix = "a", method = "POST",
                  key = "key-huber";
  double per_second = 5;
  int seconds = 5, deadline_ms = 8000;
  for (int i = 1; i < count; ++i) {
    const std::string word = arguments[i];
    const size_t equals = word.find('=');
    const std::string name = word.substr(0, equals);
    const std::string value = word.substr(equals + 1);
    if (name == "--to")
      to = value;
    if (name == "--path")
      path = value;
    if (name == "--prefix")
      prefix = value;
    if (name == "--method")
      method = value;
    if (name == "--key")
      key = value;
    if (name == "--per_second")
      per_second = std::stod(value);
    if (name == "--seconds")
      seconds = std::stoi(value);
    if (name == "--deadline_ms")
      deadline_ms = std::stoi(value);
  }
  std::vector<std::string> gateways;
  std::istringstream list(to);
  for (std::string one; std::getline(list, one, ',');)
    gateways.push_back(one);
  const auto begin = Clock::now();
  std::vector<std::thread> threads;
  const int total = static_cast<int>(per_second * seconds);
  for (int n = 0; n < total; ++n) {
    std::this_thread::sleep_until(
        begin + milliseconds(static_cast<int64_t>(1000.0 * n / per_second)));
    threads.emplace_back([&, n] {
      const std::string& gateway =
          gateways[static_cast<size_t>(n) % gateways.size()];
      const size_t colon = gateway.find(':');
      const std::string attempt = prefix + "-" + std::to_string(n);
      const std::string body = method == "GET" ? "" : "prompt";
      std::string request = method;
      request.append(" ").append(path).append(" HTTP/1.1\r\nHost: app.test");
      request.append("\r\nX-Attempt-Id: ").append(attempt);
      request.append("\r\nX-Api-Key: ").append(key);
      request.append("\r\nX-Deadline-Ms: ");
      request.append(std::to_string(deadline_ms));
      request.append("\r\nContent-Length: ");
      request.append(std::to_string(body.size()));
      request.append("\r\n\r\n").append(body);
      const auto wall = std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch());
      const auto sent = Clock::now();
      const Outcome outcome =
          Ask(gateway.substr(0, colon), std::atoi(gateway.c_str() + colon + 1),
              request, attempt, deadline_ms);
      const auto took =
          std::chrono::duration_cast<milliseconds>(Clock::now() - sent);
      const std::lock_guard guard(output);
      std::cout << wall.count() << " " << attempt << " " << path << " "
                << outcome.status << " " << outcome.what << " " << took.count()
                << "ms" << std::endl;
    });
  }
  for (auto& thread : threads)
    thread.join();
}
