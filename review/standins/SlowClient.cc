// Stand-in for a client that reads slowly: sends one request, reads the answer
// at a fixed rate and prints "STATUS READ-BYTES of ANNOUNCED-BYTES after MS
// ms". Arguments: IP PORT PATH ATTEMPT DEADLINE-MS BYTES-PER-SECOND
// [BODY-BYTES].
#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

int main(int count, char** arguments) {
  if (count != 7 && count != 8) {
    return 2;
  }
  using Clock = std::chrono::steady_clock;
  const int channel = socket(AF_INET, SOCK_STREAM, 0);
  const int window = 32768;
  setsockopt(channel, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  const timeval limit{.tv_sec = 10, .tv_usec = 0};
  setsockopt(channel, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(channel, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(std::stoi(arguments[2])));
  inet_pton(AF_INET, arguments[1], &address.sin_addr);
  if (connect(channel, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    perror("connect");
    return 2;
  }
  const std::string body_length = count == 8 ? arguments[7] : "1";
  const std::string request =
      "POST " + std::string(arguments[3]) +
      " HTTP/1.1\r\nHost: app.test\r\nX-Attempt-Id: " + arguments[4] +
      "\r\nX-Api-Key: key-huber\r\nX-Deadline-Ms: " + arguments[5] +
      "\r\nContent-Length: " + body_length + "\r\n\r\n" +
      std::string(std::stoul(body_length), 'x');
  for (size_t at = 0; at < request.size();) {
    const ssize_t sent =
        send(channel, request.data() + at, request.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) {
      break;
    }
    at += static_cast<size_t>(sent);
  }
  const double rate = std::stod(arguments[6]);
  const auto begin = Clock::now();
  std::string head;
  size_t head_bytes = 0;
  size_t read_bytes = 0;
  size_t announced = 0;
  char buffer[16384];
  while (head_bytes == 0 || read_bytes < announced) {
    const ssize_t received = recv(channel, buffer, sizeof buffer, 0);
    if (received <= 0) {
      break;
    }
    read_bytes += static_cast<size_t>(received);
    if (head_bytes == 0) {
      head.append(buffer, static_cast<size_t>(received));
      const size_t end = head.find("\r\n\r\n");
      const size_t length = head.find("content-length: ");
      if (end == std::string::npos || length == std::string::npos) {
        continue;
      }
      head_bytes = end + 4;
      announced = std::stoul(head.substr(length + 16));
      read_bytes -= head_bytes;
    }
    const auto due = begin + std::chrono::duration_cast<Clock::duration>(
                                 std::chrono::duration<double>(
                                     static_cast<double>(read_bytes) / rate));
    std::this_thread::sleep_until(due);
  }
  close(channel);
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - begin);
  printf("%s %zu of %zu after %lld ms\n",
         head.size() > 12 ? head.substr(9, 3).c_str() : "none", read_bytes,
         announced, static_cast<long long>(took.count()));
  return 0;
}
