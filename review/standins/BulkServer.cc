// Stand-in for a sound server of the users' platform: answers each request with
// a body of a fixed length, the server's mark and the attempt's id, one request
// after the other on a connection. Writes a line for each run to standard
// output. With READ-RATE it reads so many bytes a second on each connection.
// Arguments: IP PORT ID BYTES [READ-RATE].
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

namespace {

std::string FindValue(const std::string& head, const std::string& name) {
  const size_t begin = head.find("\r\n" + name + ": ");
  if (begin == std::string::npos) {
    return "";
  }
  const size_t value = begin + name.size() + 4;
  return head.substr(value, head.find("\r\n", value) - value);
}

bool SendAll(int socket, const std::string& bytes) {
  for (size_t at = 0; at < bytes.size();) {
    const ssize_t sent =
        send(socket, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    at += static_cast<size_t>(sent);
  }
  return true;
}

double read_rate = 0;

// Receives bytes, at the rate at which this server reads.
ssize_t Receive(int socket, char* buffer, size_t size) {
  const ssize_t received = recv(socket, buffer, size, 0);
  if (received > 0 && read_rate > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(
        static_cast<double>(received) / read_rate));
  }
  return received;
}

void Serve(int socket, const std::string& id, size_t bytes) {
  std::string input;
  char buffer[65536];
  while (true) {
    const size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
      const ssize_t received = Receive(socket, buffer, sizeof buffer);
      if (received <= 0) {
        break;
      }
      input.append(buffer, static_cast<size_t>(received));
      continue;
    }
    const std::string head = input.substr(0, end + 2);
    const std::string length = FindValue(head, "content-length");
    const size_t whole = end + 4 + (length.empty() ? 0 : std::stoul(length));
    if (input.size() < whole) {
      const ssize_t received = Receive(socket, buffer, sizeof buffer);
      if (received <= 0) {
        break;
      }
      input.append(buffer, static_cast<size_t>(received));
      continue;
    }
    input.erase(0, whole);
    const std::string attempt = FindValue(head, "x-attempt-id");
    if (FindValue(head, "x-expect-instance") != id) {
      if (!SendAll(socket,
                   "HTTP/1.1 421 Misdirected Request\r\n"
                   "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")) {
        break;
      }
      continue;
    }
    printf("ran %s\n", attempt.c_str());
    fflush(stdout);
    std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ";
    answer.append(attempt).append("\r\nX-Server-Stamp: stamp-");
    answer.append(attempt).append("\r\nContent-Length: ");
    answer.append(std::to_string(bytes)).append("\r\n\r\n");
    answer.append(bytes, 'a');
    if (!SendAll(socket, answer)) {
      break;
    }
  }
  close(socket);
}

}  // namespace

int main(int count, char** arguments) {
  if (count != 5 && count != 6) {
    return 2;
  }
  read_rate = count == 6 ? std::stod(arguments[5]) : 0;
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (read_rate > 0) {
    const int window = 65536;
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(std::stoi(arguments[2])));
  inet_pton(AF_INET, arguments[1], &address.sin_addr);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(listener, 64) != 0) {
    perror("listen");
    return 2;
  }
  while (true) {
    const int accepted = accept(listener, nullptr, nullptr);
    if (accepted >= 0) {
      std::thread(Serve, accepted, std::string(arguments[3]),
                  std::stoul(arguments[4]))
          .detach();
    }
  }
}
